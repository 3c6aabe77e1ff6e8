// Package shared implements the parts that the list and view commands share.
package shared

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/pkg/cmd/factory"
)

// Viewer is the subset of operator.Client that commands use to read the configuration.
type Viewer interface {
	Config(ctx context.Context) (config.View, error)
}

// Options holds the dependencies and flags of a command that shows a part of the
// configuration.
type Options struct {
	Streams factory.Streams
	Client  func(factory.Target) Viewer
	Target  factory.Target
}

// NewCmdList returns the list command of a noun, such as "domain list". The command
// calls run with its options.
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
