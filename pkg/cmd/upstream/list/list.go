// Package list lists the upstreams known to a node.
package list

import (
	"context"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/upstream"
	"github.com/jaystage/jaystage/pkg/cmd/factory"
)

// Client is the subset of operator.Client that the command uses.
type Client interface {
	Upstreams(ctx context.Context) ([]upstream.Entry, error)
	Config(ctx context.Context) (config.View, error)
}

// Options holds the dependencies, flags and arguments of the command.
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
		Name: "list", ShortUsage: "jaystage upstream list [flags]", ShortHelp: "List the upstreams known to a node",
		LongHelp: "Example:\n  jaystage upstream list --json",
		FlagSet:  fs, Options: factory.ParseOptions(),
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
	view, err := opts.Client(opts.Target).Config(ctx)
	if err != nil {
		return err
	}
	rows := make([][]string, 0, len(list))
	for _, e := range list {
		rows = append(rows, []string{e.ID, e.Domain, e.Address, formatServing(e), formatState(e, view), strconv.FormatUint(e.Load.Running, 10)})
	}
	return opts.Streams.PrintTable([]string{"UPSTREAM", "DOMAIN", "ADDRESS", "SERVES", "STATE", "RUNNING"}, rows)
}

func formatServing(e upstream.Entry) string {
	text := ""
	for i, s := range e.Serving {
		if i > 0 {
			text += ","
		}
		text += s.Service + "@" + s.Version
	}
	return text
}

func formatState(e upstream.Entry, view config.View) string {
	_, domainDrained := view.DrainedDomains[e.Domain]
	_, drained := view.DrainedUpstreams[e.ID]
	switch {
	case e.Leaving:
		return "leaving"
	case !e.Ready:
		return "starting"
	case drained:
		return "drained"
	case domainDrained:
		return "domain drained"
	default:
		return "ready"
	}
}
