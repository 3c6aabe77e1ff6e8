// Package undo rolls back a rollout.
package undo

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jaystage/jaystage/pkg/cmd/factory"
	"github.com/jaystage/jaystage/pkg/rollout"
)

// Client is the subset of operator.Client that the command uses.
type Client interface {
	RollbackRollout(ctx context.Context, service string) (rollout.Rollout, error)
}

// Options holds the dependencies, flags and arguments of the command.
type Options struct {
	Streams factory.Streams
	Client  func(factory.Target) Client
	Target  factory.Target
	Service string
}

// NewCmdUndo returns the command "rollout undo".
func NewCmdUndo(f *factory.Factory) *ffcli.Command {
	opts := &Options{Streams: f.Streams, Client: func(t factory.Target) Client { return f.Client(t) }}
	fs := f.NewFlagSet("rollout undo")
	opts.Target.Bind(fs)
	return &ffcli.Command{
		Name: "undo", ShortUsage: "jaystage rollout undo [flags] SERVICE", ShortHelp: "Roll back a service's rollout",
		LongHelp: "Fails if the rollout has already ended.\n\nExample:\n  jaystage rollout undo chat", FlagSet: fs, Options: factory.ParseOptions(),
		Exec: func(ctx context.Context, args []string) error {
			name, err := factory.SingleArg(args, "specify one service: jaystage rollout undo SERVICE")
			if err != nil {
				return err
			}
			opts.Service = name
			return undoRun(ctx, opts)
		},
	}
}

func undoRun(ctx context.Context, opts *Options) error {
	r, err := opts.Client(opts.Target).RollbackRollout(ctx, opts.Service)
	if err != nil {
		return err
	}
	if opts.Target.JSON {
		return opts.Streams.PrintJSON(r)
	}
	_, err = fmt.Fprintf(opts.Streams.Out, "rollout of %s to %s is being rolled back; new work goes to %s\n", r.Service, r.To, r.From)
	return err
}
