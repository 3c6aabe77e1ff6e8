// Package apply submits a site configuration.
package apply

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/pkg/cmd/factory"
	"github.com/jaystage/jaystage/pkg/cmd/shared/force"
	"github.com/jaystage/jaystage/pkg/wire"
)

// Client is the subset of operator.Client that the command uses.
type Client interface {
	Config(ctx context.Context) (config.View, error)
	Change(ctx context.Context, c wire.Change) (wire.Changed, error)
	force.Client
}

// Options holds the dependencies, flags and arguments of the command.
type Options struct {
	Streams factory.Streams
	Client  func(factory.Target) Client
	Target  factory.Target
	// Files are the paths of the base file and the overlays, in order.
	Files []string
	// ID is the change ID. A change that is submitted again with the same ID takes
	// effect only once.
	ID string
	// Base is the version that the change is based on. A negative value means the current
	// version.
	Base   int64
	Reason string
	// Wait makes the command wait until the change is in force on every node.
	Wait bool
}

// NewCmdApply returns the command "config apply".
func NewCmdApply(f *factory.Factory) *ffcli.Command {
	opts := &Options{Streams: f.Streams, Client: func(t factory.Target) Client { return f.Client(t) }}
	fs := f.NewFlagSet("config apply")
	opts.Target.Bind(fs)
	fs.StringVar(&opts.ID, "id", "", "change ID; reuse it to retry a change whose reply was lost (default: a new ID)")
	fs.Int64Var(&opts.Base, "base", -1, "version that the files are based on; a negative value means the current version")
	fs.StringVar(&opts.Reason, "reason", "", "reason for the change, recorded in the history")
	fs.BoolVar(&opts.Wait, "wait", false, "wait until the change is in force on every node")
	return &ffcli.Command{
		Name: "apply", ShortUsage: "jaystage config apply [flags] BASE [OVERLAY...]", ShortHelp: "Submit a site configuration",
		LongHelp: "Merges the base file with the overlays, checks the result and submits it.\n\nExample:\n  jaystage config apply --base 41 base.toml lahore.toml",
		FlagSet:  fs, Options: factory.ParseOptions(),
		Exec: func(ctx context.Context, args []string) error {
			opts.Files = args
			return applyRun(ctx, opts)
		},
	}
}

func applyRun(ctx context.Context, opts *Options) error {
	if len(opts.Files) == 0 {
		return &factory.ExitError{Code: factory.ExitUsage, Err: errors.New("specify the base file, followed by any overlays: jaystage config apply BASE [OVERLAY...]")}
	}
	site, err := config.Load(opts.Files[0], opts.Files[1:]...)
	if err != nil {
		return &factory.ExitError{Code: factory.ExitInvalid, Err: err}
	}
	items, err := config.Items(site)
	if err != nil {
		return err
	}
	client := opts.Client(opts.Target)
	if opts.Base < 0 {
		view, err := client.Config(ctx)
		if err != nil {
			return err
		}
		opts.Base = int64(view.Version)
	}
	if opts.ID == "" {
		opts.ID = rand.Text()
	}
	result, err := client.Change(ctx, wire.Change{ID: opts.ID, Base: uint64(opts.Base), Reason: opts.Reason, Prefix: config.SitePrefixes(), Items: items})
	if err != nil {
		return fmt.Errorf("%w (to retry, run the command again with --id %s)", err, opts.ID)
	}
	if err := printResult(opts, result); err != nil || !opts.Wait {
		return err
	}
	return force.Wait(ctx, opts.Streams, client, result.Version)
}

func printResult(opts *Options, result wire.Changed) error {
	if len(result.Conflict) > 0 {
		var b strings.Builder
		for _, item := range result.Conflict {
			fmt.Fprintf(&b, "\n  version %d: %s = %s", item.Version, item.Key, item.Value)
		}
		return &factory.ExitError{Code: factory.ExitConflict, Err: fmt.Errorf("the change conflicts with a newer one; review it and apply yours again with --base %d:%s", result.Version, b.String())}
	}
	if opts.Target.JSON {
		return opts.Streams.PrintJSON(result)
	}
	_, err := fmt.Fprintf(opts.Streams.Out, "accepted as version %d\n", result.Version)
	return err
}
