// Package run compares a node with simple load balancers under load.
package run

import (
	"context"
	"fmt"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jaystage/jaystage/internal/load"
	"github.com/jaystage/jaystage/pkg/cmd/factory"
)

const (
	defaultRate     = 20
	defaultDuration = 10 * time.Second
)

// Options holds the dependencies, flags and arguments of the command.
type Options struct {
	Streams   factory.Streams
	Load      load.Options
	Events    string
	Balancers string
	JSON      bool
}

// NewCmdRun returns the command "load run".
func NewCmdRun(f *factory.Factory) *ffcli.Command {
	opts := &Options{Streams: f.Streams}
	fs := f.NewFlagSet("load run")
	fs.StringVar(&opts.Load.Deployment, "deployment", "consortium", "request mix: consortium or federwerk")
	fs.IntVar(&opts.Load.Rate, "rate", defaultRate, "requests per second")
	fs.DurationVar(&opts.Load.Duration, "duration", defaultDuration, "duration of each run")
	fs.Uint64Var(&opts.Load.Seed, "seed", 1, "random seed of the request arrivals")
	fs.StringVar(&opts.Events, "events", "calm,reclaim,cold", "comma-separated list of events, each triggered in the middle of a separate run")
	fs.StringVar(&opts.Balancers, "balancers", strings.Join(load.Balancers(), ","), "comma-separated list of load balancers")
	fs.BoolVar(&opts.JSON, "json", false, "print JSON")
	return &ffcli.Command{
		Name: "run", ShortUsage: "jaystage load run [flags]", ShortHelp: "Compare a node with simple load balancers under load",
		LongHelp: "Runs a node and fake upstreams in this process, on loopback only.\n\nExample:\n  jaystage load run --deployment federwerk --events reclaim",
		FlagSet:  fs, Options: factory.ParseOptions(),
		Exec: func(ctx context.Context, _ []string) error { return runRun(ctx, opts) },
	}
}

func runRun(ctx context.Context, opts *Options) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	for event := range strings.SplitSeq(opts.Events, ",") {
		switch e := load.Event(event); e {
		case load.Calm, load.Reclaim, load.Cold:
			opts.Load.Events = append(opts.Load.Events, e)
		default:
			return &factory.ExitError{Code: factory.ExitUsage, Err: fmt.Errorf("--events: unknown event %q; use calm, reclaim or cold", event)}
		}
	}
	opts.Load.Balancers = strings.Split(opts.Balancers, ",")
	results, err := load.Run(ctx, opts.Load)
	if opts.JSON && err == nil {
		return opts.Streams.PrintJSON(results)
	}
	table := tabwriter.NewWriter(opts.Streams.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "EVENT\tBALANCER\tSENT\tANSWERED\tLATE\tREFUSED\tLOST\tFIRST P50 MS\tFIRST P95 MS\tCOST\tRECOMPUTED")
	for _, r := range results {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.3f\t%d\n",
			r.Event, r.Balancer, r.Sent, r.Answered, r.Late, r.Refused, r.Lost, r.FirstTokenP50, r.FirstTokenP95, r.Cost, r.Recomputed)
	}
	_ = table.Flush()
	return err
}
