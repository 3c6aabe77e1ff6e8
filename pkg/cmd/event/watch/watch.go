// Package watch prints the events of a node as they occur.
package watch

import (
	"context"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jaystage/jaystage/pkg/cmd/event/list"
	"github.com/jaystage/jaystage/pkg/cmd/factory"
)

const pollInterval = time.Second

// Options holds the dependencies, flags and arguments of the command.
type Options struct {
	list.Options
	// Wait blocks until the next poll is due; it returns false to end the command.
	Wait func(ctx context.Context) bool
}

// NewCmdWatch returns the command "event watch".
func NewCmdWatch(f *factory.Factory) *ffcli.Command {
	opts := &Options{
		Options: list.Options{Streams: f.Streams, Client: func(t factory.Target) list.Client { return f.Client(t) }},
		Wait: func(ctx context.Context) bool {
			select {
			case <-ctx.Done():
				return false
			case <-time.After(pollInterval):
				return true
			}
		},
	}
	fs := f.NewFlagSet("event watch")
	opts.Target.Bind(fs)
	return &ffcli.Command{
		Name: "watch", ShortUsage: "jaystage event watch [flags]", ShortHelp: "Print the events of a node as they occur",
		LongHelp: "Runs until interrupted.\n\nExample:\n  jaystage event watch --address 10.0.0.7:7003", FlagSet: fs, Options: factory.ParseOptions(),
		Exec: func(ctx context.Context, _ []string) error { return watchRun(ctx, opts) },
	}
}

func watchRun(ctx context.Context, opts *Options) error {
	for {
		records, err := opts.Client(opts.Target).Events(ctx, opts.Since)
		if err != nil {
			return err
		}
		for _, r := range records {
			if opts.Target.JSON {
				err = opts.Streams.PrintJSON(r)
			} else {
				err = list.Print(opts.Streams, r)
			}
			if err != nil {
				return err
			}
			opts.Since = r.Sequence
		}
		if !opts.Wait(ctx) {
			return nil
		}
	}
}
