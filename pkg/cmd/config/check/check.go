// Package check validates a site configuration without a server.
package check

import (
	"context"
	"errors"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/tomlfile"
	"github.com/jaystage/jaystage/pkg/cmd/factory"
)

// Options holds the dependencies, flags and arguments of the command.
type Options struct {
	Streams factory.Streams
	JSON    bool
	// Files are the paths of the base file and the overlays, in order.
	Files []string
}

// NewCmdCheck returns the command "config check".
func NewCmdCheck(f *factory.Factory) *ffcli.Command {
	opts := &Options{Streams: f.Streams}
	fs := f.NewFlagSet("config check")
	fs.BoolVar(&opts.JSON, "json", false, "print the problems as JSON")
	return &ffcli.Command{
		Name: "check", ShortUsage: "jaystage config check [--json] BASE [OVERLAY...]", ShortHelp: "Validate a site configuration without a server",
		LongHelp: "Merges the base file with the overlays and reports every problem with its file,\nline and key. The exit code is 3 if there are any problems.\n\nExample:\n  jaystage config check base.toml lahore.toml",
		FlagSet:  fs, Options: factory.ParseOptions(),
		Exec: func(_ context.Context, args []string) error {
			opts.Files = args
			return checkRun(opts)
		},
	}
}

func checkRun(opts *Options) error {
	if len(opts.Files) == 0 {
		return &factory.ExitError{Code: factory.ExitUsage, Err: errors.New("specify the base file, followed by any overlays: jaystage config check BASE [OVERLAY...]")}
	}
	site, err := config.Load(opts.Files[0], opts.Files[1:]...)
	if opts.JSON {
		problems := tomlfile.Problems{}
		errors.As(err, &problems)
		if printErr := opts.Streams.PrintJSON(problems); printErr != nil {
			return printErr
		}
	}
	if err != nil {
		return &factory.ExitError{Code: factory.ExitInvalid, Err: err}
	}
	if !opts.JSON {
		_, err = fmt.Fprintf(opts.Streams.Out, "%s: %d client accounts, %d failure domains, %d services\n", site.Name, len(site.Accounts), len(site.Domains), len(site.Services))
	}
	return err
}
