// Package version prints the program's version.
package version

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jaystage/jaystage/pkg/cmd/factory"
)

// Options holds the dependencies, flags and arguments of the command.
type Options struct {
	Streams factory.Streams
	Info    func() (*debug.BuildInfo, bool)
}

// NewCmdVersion returns the command "version".
func NewCmdVersion(f *factory.Factory) *ffcli.Command {
	opts := &Options{Streams: f.Streams, Info: debug.ReadBuildInfo}
	return &ffcli.Command{
		Name: "version", ShortUsage: "jaystage version", ShortHelp: "Print the version",
		FlagSet: f.NewFlagSet("version"),
		Exec:    func(context.Context, []string) error { return versionRun(opts) },
	}
}

func versionRun(opts *Options) error {
	version := "unknown"
	if info, ok := opts.Info(); ok {
		version = info.Main.Version
	}
	_, err := fmt.Fprintln(opts.Streams.Out, "jaystage", version)
	return err
}
