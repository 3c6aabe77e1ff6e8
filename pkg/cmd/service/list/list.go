// Package list lists the services of the configuration.
package list

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/pkg/cmd/factory"
	"github.com/jaystage/jaystage/pkg/cmd/shared"
)

// NewCmdList returns the command "service list".
func NewCmdList(f *factory.Factory) *ffcli.Command {
	return shared.NewCmdList(f, "service", "List the services", listRun)
}

func listRun(ctx context.Context, opts *shared.Options) error {
	view, err := opts.Client(opts.Target).Config(ctx)
	if err != nil {
		return err
	}
	list := make([]config.Service, 0, len(view.Services))
	for _, name := range slices.Sorted(maps.Keys(view.Services)) {
		list = append(list, view.Services[name])
	}
	if opts.Target.JSON {
		return opts.Streams.PrintJSON(list)
	}
	rows := make([][]string, 0, len(list))
	for _, s := range list {
		classes := make([]string, 0, len(s.Classes))
		for _, c := range s.Classes {
			classes = append(classes, c.Name)
		}
		rollout := ""
		if share, ok := view.Shares[s.Name]; ok {
			rollout = fmt.Sprintf("%s to %s at %.0f%%", share.From, share.To, share.Fraction*100)
		}
		rows = append(rows, []string{s.Name, string(s.Kind), s.Version, strings.Join(classes, ","), rollout})
	}
	return opts.Streams.PrintTable([]string{"SERVICE", "KIND", "VERSION", "CLASSES", "ROLLOUT"}, rows)
}
