// Package view prints an upstream's last announcement.
package view

import (
	"context"
	"fmt"
	"slices"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jaystage/jaystage/internal/upstream"
	"github.com/jaystage/jaystage/pkg/cmd/factory"
)

// Client is the subset of operator.Client that the command uses.
type Client interface {
	Upstreams(ctx context.Context) ([]upstream.Entry, error)
}

// Options holds the dependencies, flags and arguments of the command.
type Options struct {
	Streams factory.Streams
	Client  func(factory.Target) Client
	Target  factory.Target
	Name    string
}

// NewCmdView returns the command "upstream view".
func NewCmdView(f *factory.Factory) *ffcli.Command {
	opts := &Options{Streams: f.Streams, Client: func(t factory.Target) Client { return f.Client(t) }}
	fs := f.NewFlagSet("upstream view")
	opts.Target.Bind(fs)
	return &ffcli.Command{
		Name: "view", ShortUsage: "jaystage upstream view [flags] UPSTREAM", ShortHelp: "Print an upstream's last announcement as JSON",
		LongHelp: "Example:\n  jaystage upstream view model-1", FlagSet: fs, Options: factory.ParseOptions(),
		Exec: func(ctx context.Context, args []string) error {
			name, err := factory.SingleArg(args, "specify one upstream: jaystage upstream view UPSTREAM")
			if err != nil {
				return err
			}
			opts.Name = name
			return viewRun(ctx, opts)
		},
	}
}

func viewRun(ctx context.Context, opts *Options) error {
	list, err := opts.Client(opts.Target).Upstreams(ctx)
	if err != nil {
		return err
	}
	i := slices.IndexFunc(list, func(e upstream.Entry) bool { return e.ID == opts.Name })
	if i < 0 {
		return fmt.Errorf("the node has no upstream %q; see jaystage upstream list", opts.Name)
	}
	return opts.Streams.PrintJSON(list[i])
}
