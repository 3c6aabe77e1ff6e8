// Package list lists the latest events of a node.
package list

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/pkg/cmd/factory"
)

// Client is the subset of operator.Client that the command uses.
type Client interface {
	Events(ctx context.Context, since uint64) ([]event.Record, error)
}

// Options holds the dependencies, flags and arguments of the command.
type Options struct {
	Streams factory.Streams
	Client  func(factory.Target) Client
	Target  factory.Target
	Since   uint64
}

// NewCmdList returns the command "event list".
func NewCmdList(f *factory.Factory) *ffcli.Command {
	opts := &Options{Streams: f.Streams, Client: func(t factory.Target) Client { return f.Client(t) }}
	fs := f.NewFlagSet("event list")
	opts.Target.Bind(fs)
	fs.Uint64Var(&opts.Since, "since", 0, "list only events after this sequence number")
	return &ffcli.Command{
		Name: "list", ShortUsage: "jaystage event list [flags]", ShortHelp: "List the latest events of a node",
		LongHelp: "Example:\n  jaystage event list --since 120", FlagSet: fs, Options: factory.ParseOptions(),
		Exec: func(ctx context.Context, _ []string) error { return listRun(ctx, opts) },
	}
}

func listRun(ctx context.Context, opts *Options) error {
	records, err := opts.Client(opts.Target).Events(ctx, opts.Since)
	if err != nil {
		return err
	}
	if opts.Target.JSON {
		return opts.Streams.PrintJSON(records)
	}
	for _, r := range records {
		if err := Print(opts.Streams, r); err != nil {
			return err
		}
	}
	return nil
}

// Print writes an event as one line.
func Print(streams factory.Streams, r event.Record) error {
	fields := ""
	for _, key := range slices.Sorted(maps.Keys(r.Fields)) {
		fields += fmt.Sprintf(" %s=%q", key, r.Fields[key])
	}
	_, err := fmt.Fprintf(streams.Out, "%d %s %d %s %s%s\n", r.Sequence, r.Time.UTC().Format(time.RFC3339), r.Event, r.Level, r.Message, fields)
	return err
}
