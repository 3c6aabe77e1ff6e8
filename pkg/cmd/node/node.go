// Package node runs one node of the serving system.
package node

import (
	"context"
	"errors"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/node"
	"github.com/jaystage/jaystage/internal/settings"
	"github.com/jaystage/jaystage/pkg/cmd/factory"
)

// Options holds the dependencies, flags and arguments of the command.
type Options struct {
	Streams  factory.Streams
	Settings string
}

// NewCmdNode returns the command "node" with its subcommands.
func NewCmdNode(f *factory.Factory, subcommands ...*ffcli.Command) *ffcli.Command {
	opts := &Options{Streams: f.Streams}
	fs := f.NewFlagSet("node")
	fs.StringVar(&opts.Settings, "settings", "", "TOML file with the node's settings")
	return &ffcli.Command{
		Name: "node", ShortUsage: "jaystage node --settings FILE", ShortHelp: "Run a node",
		LongHelp: "Runs one node until it is interrupted, then shuts down gracefully.\n\nExample:\n  jaystage node --settings /etc/jaystage/node.toml",
		FlagSet:  fs, Options: factory.ParseOptions(), Subcommands: subcommands,
		Exec: func(ctx context.Context, _ []string) error { return nodeRun(ctx, opts) },
	}
}

func nodeRun(ctx context.Context, opts *Options) error {
	// The start may take long, for a large log, so the signals are handled from here.
	ctx, stop := notify(ctx)
	defer stop()
	if opts.Settings == "" {
		return &factory.ExitError{Code: factory.ExitUsage, Err: errors.New("--settings is required; see docs/operators.md for the settings file")}
	}
	s, err := settings.Load(opts.Settings)
	if err != nil {
		return &factory.ExitError{Code: factory.ExitInvalid, Err: err}
	}
	log := NewLogger(opts.Streams, s.Node.Log)
	n, err := node.New(s, log)
	if err != nil {
		return err
	}
	if err := n.Run(ctx); err != nil {
		return fmt.Errorf("node %s: %w", s.Node.Name, err)
	}
	return nil
}

// notify returns a context that ends with the first SIGTERM or SIGINT. A second SIGINT, from
// an operator at a terminal, ends the process at once. Further SIGTERMs do nothing, because
// supervisors repeat them, and neither does SIGHUP: the settings are read only at the start.
func notify(ctx context.Context) (context.Context, context.CancelFunc) {
	signal.Ignore(syscall.SIGHUP)
	ctx, stopTerminate := signal.NotifyContext(ctx, syscall.SIGTERM)
	interruptible, stopInterrupt := signal.NotifyContext(ctx, syscall.SIGINT)
	context.AfterFunc(interruptible, stopInterrupt)
	return interruptible, func() { stopInterrupt(); stopTerminate() }
}

// NewLogger returns a logger that writes to the error stream, as JSON if format is
// "json" and as text otherwise.
func NewLogger(streams factory.Streams, format string) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(streams.Err)
	if format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{})
	}
	return log
}
