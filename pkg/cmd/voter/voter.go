// Package voter adds, promotes and removes members of the consensus group.
package voter

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jaystage/jaystage/pkg/cmd/factory"
	"github.com/jaystage/jaystage/pkg/wire"
)

// Client is the subset of operator.Client that the commands use.
type Client interface {
	ChangeVoters(ctx context.Context, v wire.Voters) error
}

// Options holds the dependencies, flags and arguments of the commands.
type Options struct {
	Streams factory.Streams
	Client  func(factory.Target) Client
	Target  factory.Target
	// Verb is add, promote or remove.
	Verb string
	// Name is the name of the voter's node.
	Name        string
	Incarnation uint64
}

// NewCmdAdd returns the command "voter add".
func NewCmdAdd(f *factory.Factory) *ffcli.Command {
	return newCmd(f, "add", "Add a voter with a new data directory as a learner")
}

// NewCmdPromote returns the command "voter promote".
func NewCmdPromote(f *factory.Factory) *ffcli.Command {
	return newCmd(f, "promote", "Promote a learner that has all committed entries to a voter")
}

// NewCmdRemove returns the command "voter remove".
func NewCmdRemove(f *factory.Factory) *ffcli.Command {
	return newCmd(f, "remove", "Remove a member from the consensus group")
}

func newCmd(f *factory.Factory, verb, help string) *ffcli.Command {
	opts := &Options{Streams: f.Streams, Client: func(t factory.Target) Client { return f.Client(t) }, Verb: verb}
	fs := f.NewFlagSet("voter " + verb)
	opts.Target.Bind(fs)
	fs.Uint64Var(&opts.Incarnation, "incarnation", 0, "incarnation of the voter's data directory (default: the one that it reported)")
	return &ffcli.Command{
		Name: verb, ShortUsage: fmt.Sprintf("jaystage voter %s [flags] NAME", verb), ShortHelp: help,
		LongHelp: fmt.Sprintf("Example:\n  jaystage voter %s n2", verb),
		FlagSet:  fs, Options: factory.ParseOptions(),
		Exec: func(ctx context.Context, args []string) error {
			name, err := factory.SingleArg(args, "specify one voter: jaystage voter "+verb+" NAME")
			if err != nil {
				return err
			}
			opts.Name = name
			return voterRun(ctx, opts)
		},
	}
}

func voterRun(ctx context.Context, opts *Options) error {
	err := opts.Client(opts.Target).ChangeVoters(ctx, wire.Voters{Verb: opts.Verb, Name: opts.Name, Incarnation: opts.Incarnation})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(opts.Streams.Out, "voter %s: %s done\n", opts.Name, opts.Verb)
	return err
}
