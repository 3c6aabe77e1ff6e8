// Package list lists the nodes with a live session.
package list

import (
	"context"
	"maps"
	"slices"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/pkg/cmd/factory"
	"github.com/jaystage/jaystage/pkg/cmd/shared"
)

// NewCmdList returns the command "node list".
func NewCmdList(f *factory.Factory) *ffcli.Command {
	return shared.NewCmdList(f, "node", "List the nodes with a live session", listRun)
}

func listRun(ctx context.Context, opts *shared.Options) error {
	view, err := opts.Client(opts.Target).Config(ctx)
	if err != nil {
		return err
	}
	list := make([]config.Node, 0, len(view.Nodes))
	for _, name := range slices.Sorted(maps.Keys(view.Nodes)) {
		list = append(list, view.Nodes[name])
	}
	if opts.Target.JSON {
		return opts.Streams.PrintJSON(list)
	}
	rows := make([][]string, 0, len(list))
	for _, n := range list {
		rows = append(rows, []string{n.Name, n.Domain, n.Cell, n.PeerAddress, strconv.FormatUint(n.Incarnation, 10)})
	}
	return opts.Streams.PrintTable([]string{"NODE", "FAILURE DOMAIN", "CELL", "PEERS", "INCARNATION"}, rows)
}
