// Package view shows one service.
package view

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jaystage/jaystage/pkg/cmd/factory"
	"github.com/jaystage/jaystage/pkg/cmd/shared"
)

// Options holds the dependencies, flags and arguments of the command.
type Options struct {
	shared.Options
	Name string
}

// NewCmdView returns the command "service view".
func NewCmdView(f *factory.Factory) *ffcli.Command {
	opts := &Options{Options: shared.Options{Streams: f.Streams, Client: func(t factory.Target) shared.Viewer { return f.Client(t) }}}
	fs := f.NewFlagSet("service view")
	opts.Target.Bind(fs)
	return &ffcli.Command{
		Name: "view", ShortUsage: "jaystage service view [flags] SERVICE", ShortHelp: "Show a service, its classes and routes",
		LongHelp: "Example:\n  jaystage service view chat", FlagSet: fs, Options: factory.ParseOptions(),
		Exec: func(ctx context.Context, args []string) error {
			name, err := factory.SingleArg(args, "specify one service: jaystage service view SERVICE")
			if err != nil {
				return err
			}
			opts.Name = name
			return viewRun(ctx, opts)
		},
	}
}

func viewRun(ctx context.Context, opts *Options) error {
	view, err := opts.Client(opts.Target).Config(ctx)
	if err != nil {
		return err
	}
	service, ok := view.Services[opts.Name]
	if !ok {
		return fmt.Errorf("the configuration has no service %q; see jaystage service list", opts.Name)
	}
	if opts.Target.JSON {
		return opts.Streams.PrintJSON(service)
	}
	out := opts.Streams.Out
	_, _ = fmt.Fprintf(out, "%s: %s service, version %s\n\n", service.Name, service.Kind, service.Version)
	rows := make([][]string, 0, len(service.Classes))
	for _, c := range service.Classes {
		rows = append(rows, []string{c.Name, fmt.Sprint(c.Priority), c.FirstTokenTarget.Std().String(), c.InterTokenTarget.Std().String(), c.CompletionTarget.Std().String(), fmt.Sprint(c.Deferrable)})
	}
	if err := opts.Streams.PrintTable([]string{"CLASS", "PRIORITY", "FIRST", "BETWEEN", "COMPLETE", "DELAY"}, rows); err != nil || len(service.Routes) == 0 {
		return err
	}
	_, _ = fmt.Fprintln(out)
	rows = rows[:0]
	for _, r := range service.Routes {
		rows = append(rows, []string{r.Path, fmt.Sprint(r.Methods), r.Class, fmt.Sprint(r.AtMostOnce)})
	}
	return opts.Streams.PrintTable([]string{"ROUTE", "METHODS", "CLASS", "ONCE"}, rows)
}
