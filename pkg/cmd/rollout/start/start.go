// Package start starts a rollout.
package start

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jaystage/jaystage/internal/rollouts"
	"github.com/jaystage/jaystage/pkg/cmd/factory"
	"github.com/jaystage/jaystage/pkg/rollout"
)

// Client is the subset of operator.Client that the command uses.
type Client interface {
	StartRollout(ctx context.Context, o rollouts.StartRequest) (rollout.Rollout, error)
}

// Options holds the dependencies, flags and arguments of the command.
type Options struct {
	Streams factory.Streams
	Client  func(factory.Target) Client
	Target  factory.Target
	Now     func() time.Time
	Service string
	To      string
	// By is the deadline: an RFC 3339 time or a duration from now.
	By    string
	ID    string
	Force bool
}

// NewCmdStart returns the command "rollout start".
func NewCmdStart(f *factory.Factory) *ffcli.Command {
	opts := &Options{Streams: f.Streams, Client: func(t factory.Target) Client { return f.Client(t) }, Now: time.Now}
	fs := f.NewFlagSet("rollout start")
	opts.Target.Bind(fs)
	fs.StringVar(&opts.To, "to", "", "version to move the traffic to")
	fs.StringVar(&opts.By, "by", "", "deadline: a time such as 2026-12-05T06:00:00Z, or a duration from now such as 45m")
	fs.StringVar(&opts.ID, "id", "", "rollout ID; reuse it to retry a request whose reply was lost (default: a new ID)")
	fs.BoolVar(&opts.Force, "force", false, "allow a version that an earlier rollout judged bad")
	return &ffcli.Command{
		Name: "start", ShortUsage: "jaystage rollout start --to VERSION --by TIME [flags] SERVICE", ShortHelp: "Move a service's traffic to another version",
		LongHelp: "The rollout ends by its deadline, either done or undone.\n\nExample:\n  jaystage rollout start --to v2 --by 45m chat",
		FlagSet:  fs, Options: factory.ParseOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 || opts.To == "" || opts.By == "" {
				return &factory.ExitError{Code: factory.ExitUsage, Err: errors.New("specify the service, the version and the deadline: jaystage rollout start --to VERSION --by TIME SERVICE")}
			}
			opts.Service = args[0]
			return startRun(ctx, opts)
		},
	}
}

func startRun(ctx context.Context, opts *Options) error {
	deadline, err := parseDeadline(opts.Now(), opts.By)
	if err != nil {
		return &factory.ExitError{Code: factory.ExitUsage, Err: err}
	}
	if opts.ID == "" {
		opts.ID = rand.Text()
	}
	r, err := opts.Client(opts.Target).StartRollout(ctx, rollouts.StartRequest{ID: opts.ID, Service: opts.Service, To: opts.To, Deadline: deadline, Force: opts.Force})
	if err != nil {
		return fmt.Errorf("%w (to retry, run the command again with --id %s)", err, opts.ID)
	}
	if opts.Target.JSON {
		return opts.Streams.PrintJSON(r)
	}
	_, err = fmt.Fprintf(opts.Streams.Out, "rollout of %s from %s to %s started, ends by %s; watch it with jaystage rollout view %s\n",
		r.Service, r.From, r.To, r.Deadline.UTC().Format(time.RFC3339), r.Service)
	return err
}

func parseDeadline(now time.Time, text string) (time.Time, error) {
	if duration, err := time.ParseDuration(text); err == nil {
		return now.Add(duration), nil
	}
	deadline, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, fmt.Errorf("--by %q is neither a time such as 2026-12-05T06:00:00Z nor a duration such as 45m", text)
	}
	return deadline, nil
}
