// Package show prints the configuration in force on a node.
package show

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/pkg/cmd/factory"
)

// Client is the subset of operator.Client that the command uses.
type Client interface {
	Config(ctx context.Context) (config.View, error)
}

// Options holds the dependencies, flags and arguments of the command.
type Options struct {
	Streams factory.Streams
	Client  func(factory.Target) Client
	Target  factory.Target
}

// NewCmdShow returns the command "config show".
func NewCmdShow(f *factory.Factory) *ffcli.Command {
	opts := &Options{Streams: f.Streams, Client: func(t factory.Target) Client { return f.Client(t) }}
	fs := f.NewFlagSet("config show")
	opts.Target.Bind(fs)
	return &ffcli.Command{
		Name: "show", ShortUsage: "jaystage config show [flags]", ShortHelp: "Print the configuration in force on a node",
		LongHelp: "Example:\n  jaystage config show --address 10.0.0.7:7003",
		FlagSet:  fs, Options: factory.ParseOptions(),
		Exec: func(ctx context.Context, _ []string) error { return showRun(ctx, opts) },
	}
}

func showRun(ctx context.Context, opts *Options) error {
	view, err := opts.Client(opts.Target).Config(ctx)
	if err != nil {
		return err
	}
	return opts.Streams.PrintJSON(view)
}
