// Package list lists the upstreams that a node knows.
package list

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jaystage/jaystage/internal/upstream"
	"github.com/jaystage/jaystage/pkg/cmd/factory"
)

// Client is the part of the operators' client that the command uses.
type Client interface {
	Upstreams(ctx context.Context) ([]upstream.Entry, error)
}

// Options holds what the command uses.
type Options struct {
	Streams factory.Streams
	Client  func(factory.Target) Client
	Target  factory.Target
}

// NewCmdList returns the command "upstream list".
func NewCmdList(f *factory.Factory) *ffcli.Command {
	opts := &Options{Streams: f.Streams, Client: func(t factory.Target) Client { return f.Client(t) }}
	fs := f.NewFlagSet("upstream list")
	opts.Target.Bind(fs)
	return &ffcli.Command{
		Name: "list", ShortUsage: "jaystage upstream list [flags]", ShortHelp: "List the upstreams that a node knows",
		LongHelp: "Example:\n  jaystage upstream list --json",
		FlagSet:  fs, Options: factory.Options(),
		Exec: func(ctx context.Context, _ []string) error { return listRun(ctx, opts) },
	}
}

func listRun(ctx context.Context, opts *Options) error {
	list, err := opts.Client(opts.Target).Upstreams(ctx)
	if err != nil {
		return err
	}
	if opts.Target.JSON {
		return opts.Streams.PrintJSON(list)
	}
	w := tabwriter.NewWriter(opts.Streams.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "UPSTREAM\tDOMAIN\tADDRESS\tSERVES\tSTATE\tRUNNING")
	for _, e := range list {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\n", e.ID, e.Domain, e.Address, serves(e), status(e), e.Load.Running)
	}
	return w.Flush()
}

func serves(e upstream.Entry) string {
	text := ""
	for i, s := range e.Serving {
		if i > 0 {
			text += ","
		}
		text += s.Service + "@" + s.Version
	}
	return text
}

func status(e upstream.Entry) string {
	switch {
	case e.Leaving:
		return "leaving"
	case !e.Ready:
		return "starting"
	default:
		return "ready"
	}
}
