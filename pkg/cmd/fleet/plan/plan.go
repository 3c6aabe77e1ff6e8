// Package plan computes and prints a fleet plan from an inputs file.
package plan

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jaystage/jaystage/pkg/cmd/factory"
	"github.com/jaystage/jaystage/pkg/fleet"
)

// Options holds the dependencies, flags and arguments of the command.
type Options struct {
	Streams factory.Streams
	Now     func() time.Time
	JSON    bool
	File    string
}

// NewCmdPlan returns the command "fleet plan".
func NewCmdPlan(f *factory.Factory) *ffcli.Command {
	opts := &Options{Streams: f.Streams, Now: time.Now}
	fs := f.NewFlagSet("fleet plan")
	fs.BoolVar(&opts.JSON, "json", false, "print the full decision as JSON")
	return &ffcli.Command{
		Name: "plan", ShortUsage: "jaystage fleet plan [--json] FILE", ShortHelp: "Print the fleet plan for the given inputs without applying it",
		LongHelp: "The file lists the prices, the pools with their load, and the existing VMs.\n\nExample:\n  jaystage fleet plan examples/fleet/consortium.toml",
		FlagSet:  fs, Options: factory.ParseOptions(),
		Exec: func(_ context.Context, args []string) error {
			name, err := factory.SingleArg(args, "specify one file: jaystage fleet plan FILE")
			if err != nil {
				return err
			}
			opts.File = name
			return planRun(opts)
		},
	}
}

func planRun(opts *Options) error {
	now := opts.Now()
	in, err := loadInputs(opts.File, now)
	if err != nil {
		return &factory.ExitError{Code: factory.ExitInvalid, Err: err}
	}
	d := fleet.Plan(now, in)
	if opts.JSON {
		return opts.Streams.PrintJSON(d)
	}
	rows := make([][]string, 0, len(d.Pools))
	for _, p := range d.Pools {
		rows = append(rows, []string{
			p.Pool, fmt.Sprintf("%.0f", p.Load), fmt.Sprintf("%.0f", p.Forecast), fmt.Sprintf("%.0f", p.Need), fmt.Sprintf("%.0f", p.Surviving),
			fmt.Sprintf("%.2f", p.Chosen), fmt.Sprintf("%.2f", p.Other), p.Placement, strings.Join(p.Waiting, "; "),
		})
	}
	if err := opts.Streams.PrintTable([]string{"POOL", "LOAD", "FORECAST", "NEED", "SURVIVING", "COST/H", "NEXT BEST", "PLACEMENT", "WAITING"}, rows); err != nil {
		return err
	}
	for _, o := range d.Orders {
		if _, err := fmt.Fprintf(opts.Streams.Out, "%s %s %s %s %s: %s\n", o.Action, o.Pool, o.Offer.Class, o.Offer.Domain, o.VM, o.Why); err != nil {
			return err
		}
	}
	return nil
}
