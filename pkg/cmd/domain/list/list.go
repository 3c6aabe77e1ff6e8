// Package list lists the failure domains and their drains.
package list

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/pkg/cmd/factory"
	"github.com/jaystage/jaystage/pkg/cmd/shared"
)

// NewCmdList returns the command "domain list".
func NewCmdList(f *factory.Factory) *ffcli.Command {
	return shared.NewCmdList(f, "domain", "List the failure domains and their drains", listRun)
}

type row struct {
	config.Domain
	Drain *config.Drain `json:"drain,omitempty"`
}

func listRun(ctx context.Context, opts *shared.Options) error {
	view, err := opts.Client(opts.Target).Config(ctx)
	if err != nil {
		return err
	}
	list := make([]row, 0, len(view.Domains))
	for _, name := range slices.Sorted(maps.Keys(view.Domains)) {
		r := row{Domain: view.Domains[name]}
		if d, ok := view.DrainedDomains[name]; ok {
			r.Drain = &d
		}
		list = append(list, r)
	}
	if opts.Target.JSON {
		return opts.Streams.PrintJSON(list)
	}
	rows := make([][]string, 0, len(list))
	for _, r := range list {
		line := []string{r.Name, r.Region, "in service", "", "", ""}
		if r.Drain != nil {
			line = []string{r.Name, r.Region, "drained", time.UnixMilli(r.Drain.Since).UTC().Format(time.DateTime), r.Drain.Author, r.Drain.Reason}
		}
		rows = append(rows, line)
	}
	return opts.Streams.PrintTable([]string{"FAILURE DOMAIN", "REGION", "STATE", "SINCE (UTC)", "AUTHOR", "REASON"}, rows)
}
