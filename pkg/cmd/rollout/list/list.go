// Package list lists the latest rollout of each service.
package list

import (
	"context"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jaystage/jaystage/internal/rollouts"
	"github.com/jaystage/jaystage/pkg/cmd/factory"
)

// Client is the subset of operator.Client that the command uses.
type Client interface {
	Rollouts(ctx context.Context) ([]rollouts.Status, error)
}

// Options holds the dependencies, flags and arguments of the command.
type Options struct {
	Streams factory.Streams
	Client  func(factory.Target) Client
	Target  factory.Target
}

// NewCmdList returns the command "rollout list".
func NewCmdList(f *factory.Factory) *ffcli.Command {
	opts := &Options{Streams: f.Streams, Client: func(t factory.Target) Client { return f.Client(t) }}
	fs := f.NewFlagSet("rollout list")
	opts.Target.Bind(fs)
	return &ffcli.Command{
		Name: "list", ShortUsage: "jaystage rollout list [flags]", ShortHelp: "List the latest rollout of each service",
		LongHelp: "Example:\n  jaystage rollout list", FlagSet: fs, Options: factory.ParseOptions(),
		Exec: func(ctx context.Context, _ []string) error { return listRun(ctx, opts) },
	}
}

func listRun(ctx context.Context, opts *Options) error {
	list, err := opts.Client(opts.Target).Rollouts(ctx)
	if err != nil {
		return err
	}
	if opts.Target.JSON {
		return opts.Streams.PrintJSON(list)
	}
	rows := make([][]string, 0, len(list))
	for _, s := range list {
		rows = append(rows, []string{
			s.Service, s.From, s.To, string(s.Phase), fmt.Sprintf("%d/%d", s.Step+1, len(s.Rules.Steps)),
			fmt.Sprintf("%.0f%%", s.Share*100), s.Deadline.UTC().Format(time.RFC3339),
		})
	}
	return opts.Streams.PrintTable([]string{"SERVICE", "FROM", "TO", "PHASE", "STEP", "SHARE", "DEADLINE"}, rows)
}
