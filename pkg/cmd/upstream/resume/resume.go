// Package resume ends the drain of an upstream.
package resume

import (
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jaystage/jaystage/pkg/cmd/factory"
	"github.com/jaystage/jaystage/pkg/cmd/shared/drain"
)

// NewCmdResume returns the command "upstream resume".
func NewCmdResume(f *factory.Factory) *ffcli.Command {
	return drain.NewCmd(f, drain.Upstream, true)
}
