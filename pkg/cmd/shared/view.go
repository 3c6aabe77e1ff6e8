// Package shared holds what several commands have in common.
package shared

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/pkg/cmd/factory"
)

// Viewer is the part of the operators' client that the listing commands use.
type Viewer interface {
	Config(ctx context.Context) (config.View, error)
}

// Options holds what a command that lists a part of the configuration uses.
type Options struct {
	Streams factory.Streams
	Client  func(factory.Target) Viewer
	Target  factory.Target
}

// NewCmdList returns a command that reads the configuration and hands it to run.
func NewCmdList(f *factory.Factory, noun, help string, run func(context.Context, *Options) error) *ffcli.Command {
	opts := &Options{Streams: f.Streams, Client: func(t factory.Target) Viewer { return f.Client(t) }}
	fs := f.NewFlagSet(noun + " list")
	opts.Target.Bind(fs)
	return &ffcli.Command{
		Name: "list", ShortUsage: fmt.Sprintf("jaystage %s list [flags]", noun), ShortHelp: help,
		LongHelp: fmt.Sprintf("Example:\n  jaystage %s list --json", noun),
		FlagSet:  fs, Options: factory.ParseOptions(),
		Exec: func(ctx context.Context, _ []string) error { return run(ctx, opts) },
	}
}
