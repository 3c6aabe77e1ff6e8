// Package table prints the tables of docs/CAPACITY.md.
package table

import (
	"context"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jaystage/jaystage/internal/capacity"
	"github.com/jaystage/jaystage/pkg/cmd/factory"
)

// Options holds the dependencies, flags and arguments of the command.
type Options struct {
	Streams factory.Streams
	JSON    bool
	// Slopes is the path of the file of measured slopes.
	Slopes string
	// Size is the name of a capacity.Size: full or today.
	Size string
}

// NewCmdTable returns the command "capacity table".
func NewCmdTable(f *factory.Factory) *ffcli.Command {
	opts := &Options{Streams: f.Streams}
	fs := f.NewFlagSet("capacity table")
	fs.StringVar(&opts.Slopes, "slopes", "docs/capacity.toml", "file of measured slopes")
	fs.StringVar(&opts.Size, "size", capacity.FullSize.Name, "size of the system: full or today")
	fs.BoolVar(&opts.JSON, "json", false, "print JSON")
	return &ffcli.Command{
		Name: "table", ShortUsage: "jaystage capacity table [--slopes FILE] [--size full|today] [--json]", ShortHelp: "Print the resources that each role needs at a size",
		LongHelp: "Calculates the messages, bytes, memory and processor time of each role from\nmeasured slopes and prints them as Markdown tables.\n\nExample:\n  jaystage capacity table --slopes docs/capacity.toml --size today",
		FlagSet:  fs, Options: factory.ParseOptions(),
		Exec: func(context.Context, []string) error { return tableRun(opts) },
	}
}

func tableRun(opts *Options) error {
	var size capacity.Size
	switch opts.Size {
	case capacity.FullSize.Name:
		size = capacity.FullSize
	case capacity.TodaySize.Name:
		size = capacity.TodaySize
	default:
		return &factory.ExitError{Code: factory.ExitUsage, Err: fmt.Errorf("unknown size %q; use full or today", opts.Size)}
	}
	slopes, err := capacity.Load(opts.Slopes)
	if err != nil {
		return &factory.ExitError{Code: factory.ExitInvalid, Err: err}
	}
	plan, err := capacity.NewPlan(slopes, size)
	if err != nil {
		return &factory.ExitError{Code: factory.ExitInvalid, Err: fmt.Errorf("%s: %w", opts.Slopes, err)}
	}
	if opts.JSON {
		return opts.Streams.PrintJSON(plan)
	}
	_, err = fmt.Fprint(opts.Streams.Out, strings.Join(plan.Markdown(), "\n"))
	return err
}
