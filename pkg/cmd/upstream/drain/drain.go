// Package drain stops routing new work to an upstream.
package drain

import (
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jaystage/jaystage/pkg/cmd/factory"
	"github.com/jaystage/jaystage/pkg/cmd/shared/drain"
)

// NewCmdDrain returns the command "upstream drain".
func NewCmdDrain(f *factory.Factory) *ffcli.Command {
	return drain.NewCmd(f, drain.Upstream, false)
}
