// Package history lists the latest configuration changes.
package history

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jaystage/jaystage/pkg/cmd/factory"
	"github.com/jaystage/jaystage/pkg/wire"
)

// maxKeysShown limits the number of keys on one line; --json prints all of them.
const maxKeysShown = 4

// Client is the subset of operator.Client that the command uses.
type Client interface {
	History(ctx context.Context, since uint64) ([]wire.Record, error)
}

// Options holds the dependencies, flags and arguments of the command.
type Options struct {
	Streams factory.Streams
	Client  func(factory.Target) Client
	Target  factory.Target
	Since   uint64
}

// NewCmdHistory returns the command "config history".
func NewCmdHistory(f *factory.Factory) *ffcli.Command {
	opts := &Options{Streams: f.Streams, Client: func(t factory.Target) Client { return f.Client(t) }}
	fs := f.NewFlagSet("config history")
	opts.Target.Bind(fs)
	fs.Uint64Var(&opts.Since, "since", 0, "list only changes after this version")
	return &ffcli.Command{
		Name: "history", ShortUsage: "jaystage config history [flags]", ShortHelp: "List the latest configuration changes",
		LongHelp: "Example:\n  jaystage config history --since 40", FlagSet: fs, Options: factory.ParseOptions(),
		Exec: func(ctx context.Context, _ []string) error { return historyRun(ctx, opts) },
	}
}

func historyRun(ctx context.Context, opts *Options) error {
	records, err := opts.Client(opts.Target).History(ctx, opts.Since)
	if err != nil {
		return err
	}
	if opts.Target.JSON {
		return opts.Streams.PrintJSON(records)
	}
	rows := make([][]string, 0, len(records))
	for _, r := range records {
		changedAt := ""
		if r.Time > 0 {
			changedAt = time.UnixMilli(int64(r.Time)).UTC().Format(time.DateTime)
		}
		rows = append(rows, []string{strconv.FormatUint(r.Version, 10), changedAt, r.Author, r.Reason, formatKeys(r.Keys)})
	}
	return opts.Streams.PrintTable([]string{"VERSION", "TIME (UTC)", "AUTHOR", "REASON", "KEYS"}, rows)
}

func formatKeys(list []string) string {
	if len(list) <= maxKeysShown {
		return strings.Join(list, " ")
	}
	return strings.Join(list[:maxKeysShown], " ") + " and " + strconv.Itoa(len(list)-maxKeysShown) + " more"
}
