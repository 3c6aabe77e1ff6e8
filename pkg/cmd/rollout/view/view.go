// Package view shows the latest rollout of a service.
package view

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jaystage/jaystage/internal/rollouts"
	"github.com/jaystage/jaystage/pkg/cmd/factory"
	"github.com/jaystage/jaystage/pkg/cmd/rollout/list"
	"github.com/jaystage/jaystage/pkg/rollout"
)

// Options holds the dependencies, flags and arguments of the command.
type Options struct {
	list.Options
	Service string
}

// NewCmdView returns the command "rollout view".
func NewCmdView(f *factory.Factory) *ffcli.Command {
	opts := &Options{Options: list.Options{Streams: f.Streams, Client: func(t factory.Target) list.Client { return f.Client(t) }}}
	fs := f.NewFlagSet("rollout view")
	opts.Target.Bind(fs)
	return &ffcli.Command{
		Name: "view", ShortUsage: "jaystage rollout view [flags] SERVICE", ShortHelp: "Show the step, share, evidence, time left and forecast of a rollout",
		LongHelp: "Only the leader of the consensus group knows what a running rollout is waiting for;\nquery that node (--address) for the reasons and the forecast.\n\nExample:\n  jaystage rollout view chat",
		FlagSet:  fs, Options: factory.ParseOptions(),
		Exec: func(ctx context.Context, args []string) error {
			name, err := factory.SingleArg(args, "specify one service: jaystage rollout view SERVICE")
			if err != nil {
				return err
			}
			opts.Service = name
			return viewRun(ctx, opts)
		},
	}
}

func viewRun(ctx context.Context, opts *Options) error {
	statuses, err := opts.Client(opts.Target).Rollouts(ctx)
	if err != nil {
		return err
	}
	i := slices.IndexFunc(statuses, func(s rollouts.Status) bool { return s.Service == opts.Service })
	if i < 0 {
		return fmt.Errorf("no rollout found for service %q; see jaystage rollout list", opts.Service)
	}
	if opts.Target.JSON {
		return opts.Streams.PrintJSON(statuses[i])
	}
	return printStatus(opts.Streams, statuses[i])
}

func printStatus(streams factory.Streams, s rollouts.Status) error {
	_, _ = fmt.Fprintf(streams.Out, "%s from %s to %s: %s, step %d of %d, share %.0f%%\n", s.Service, s.From, s.To, s.Phase, s.Step+1, len(s.Rules.Steps), s.Share*100)
	_, _ = fmt.Fprintf(streams.Out, "started %s, deadline %s", s.Started.UTC().Format(time.RFC3339), s.Deadline.UTC().Format(time.RFC3339))
	switch {
	case s.Phase.Final():
		_, _ = fmt.Fprintf(streams.Out, ", ended %s", s.Ended.UTC().Format(time.RFC3339))
	case s.Forecast.IsZero():
		_, _ = fmt.Fprintf(streams.Out, ", %s left", s.Remaining.Round(time.Second))
	default:
		_, _ = fmt.Fprintf(streams.Out, ", %s left, end expected %s", s.Remaining.Round(time.Second), s.Forecast.UTC().Format(time.RFC3339))
	}
	_, _ = fmt.Fprintln(streams.Out)
	rows := make([][]string, 0, len(s.Reasons))
	for _, r := range s.Reasons {
		rows = append(rows, []string{string(r.Code), r.Text, formatEvidence(r)})
	}
	return streams.PrintTable([]string{"REASON", "DETAIL", "EVIDENCE"}, rows)
}

func formatEvidence(r rollout.Reason) string {
	if r.Threshold == 0 {
		return ""
	}
	return fmt.Sprintf("%s: old %.3f, new %.3f, evidence %.1f of %.1f", r.Metric, r.OldRate, r.NewRate, r.LogLikelihoodRatio, r.Threshold)
}
