// Package drain implements the commands that drain and resume failure domains and
// upstreams.
package drain

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/pkg/cmd/factory"
	"github.com/jaystage/jaystage/pkg/cmd/shared/force"
	"github.com/jaystage/jaystage/pkg/wire"
)

// Client is the subset of operator.Client that the commands use.
type Client interface {
	Config(ctx context.Context) (config.View, error)
	Change(ctx context.Context, c wire.Change) (wire.Changed, error)
	force.Client
}

// Kind describes a kind of object that can be drained.
type Kind struct {
	// Noun names the kind on the command line, such as domain.
	Noun string
	// Label names the kind in messages, such as failure domain.
	Label string
	// Prefix is the prefix of the configuration keys under which the drains are stored.
	Prefix string
	// Drains returns the drains of this kind in a view, by name.
	Drains func(config.View) map[string]config.Drain
	// Exists reports whether the view has an object of that name; nil if any name is
	// accepted.
	Exists func(config.View, string) bool
}

// Domain is the kind for failure domains.
var Domain = Kind{
	Noun: "domain", Label: "failure domain", Prefix: config.PrefixDrainDomain,
	Drains: func(v config.View) map[string]config.Drain { return v.DrainedDomains },
	Exists: func(v config.View, name string) bool { _, ok := v.Domains[name]; return ok },
}

// Upstream is the kind for upstreams. It accepts any name: upstreams announce
// themselves, so one can be drained before its first announcement.
var Upstream = Kind{
	Noun: "upstream", Label: "upstream", Prefix: config.PrefixDrainUpstream,
	Drains: func(v config.View) map[string]config.Drain { return v.DrainedUpstreams },
}

// Options holds the dependencies, flags and arguments of the commands.
type Options struct {
	Streams factory.Streams
	Client  func(factory.Target) Client
	Target  factory.Target
	Now     func() time.Time
	Kind    Kind
	// Resume makes the command end the drain instead of starting it.
	Resume bool
	Name   string
	Reason string
	ID     string
	// Wait makes the command wait until the change is in force on every node.
	Wait bool
}

// NewCmd returns the command that drains or resumes the kind.
func NewCmd(f *factory.Factory, kind Kind, resume bool) *ffcli.Command {
	opts := &Options{Streams: f.Streams, Client: func(t factory.Target) Client { return f.Client(t) }, Now: time.Now, Kind: kind, Resume: resume}
	verb, help := "drain", "Stop routing new work to the "+kind.Label
	if resume {
		verb, help = "resume", "Resume routing new work to the "+kind.Label
	}
	fs := f.NewFlagSet(kind.Noun + " " + verb)
	opts.Target.Bind(fs)
	fs.StringVar(&opts.ID, "id", "", "change ID; reuse it to retry a change whose reply was lost (default: a new ID)")
	fs.StringVar(&opts.Reason, "reason", "", "reason, shown with the drain and recorded in the history")
	fs.BoolVar(&opts.Wait, "wait", false, "wait until the change is in force on every node")
	return &ffcli.Command{
		Name: verb, ShortUsage: fmt.Sprintf("jaystage %s %s [flags] NAME", kind.Noun, verb), ShortHelp: help,
		LongHelp: fmt.Sprintf("Example:\n  jaystage %s %s --reason \"rack maintenance\" NAME", kind.Noun, verb),
		FlagSet:  fs, Options: factory.ParseOptions(),
		Exec: func(ctx context.Context, args []string) error {
			name, err := factory.SingleArg(args, fmt.Sprintf("specify one %s: jaystage %s %s [flags] NAME", kind.Label, kind.Noun, verb))
			if err != nil {
				return err
			}
			opts.Name = name
			return Run(ctx, opts)
		},
	}
}

// Run submits the change that drains or resumes the named object, unless it is already
// in that state.
func Run(ctx context.Context, opts *Options) error {
	client := opts.Client(opts.Target)
	view, err := client.Config(ctx)
	if err != nil {
		return err
	}
	if opts.Kind.Exists != nil && !opts.Kind.Exists(view, opts.Name) {
		return fmt.Errorf("the configuration has no %s %q; see jaystage %s list", opts.Kind.Label, opts.Name, opts.Kind.Noun)
	}
	_, drained := opts.Kind.Drains(view)[opts.Name]
	if drained != opts.Resume {
		_, err := fmt.Fprintf(opts.Streams.Out, "%s %s is already in the requested state\n", opts.Kind.Label, opts.Name)
		return err
	}
	item := wire.Item{Key: opts.Kind.Prefix + opts.Name, Deleted: opts.Resume}
	if !opts.Resume {
		item.Value, err = json.Marshal(config.Drain{Reason: opts.Reason, Since: opts.Now().UnixMilli()})
		if err != nil {
			return err
		}
	}
	if opts.ID == "" {
		opts.ID = rand.Text()
	}
	result, err := client.Change(ctx, wire.Change{ID: opts.ID, Base: view.Version, Reason: opts.Reason, Items: []wire.Item{item}})
	if err != nil {
		return fmt.Errorf("%w (to retry, run the command again with --id %s)", err, opts.ID)
	}
	if len(result.Conflict) > 0 {
		return &factory.ExitError{Code: factory.ExitConflict, Err: fmt.Errorf("another operator changed the %s %s at version %d; review the change and try again", opts.Kind.Label, opts.Name, result.Version)}
	}
	if opts.Target.JSON {
		err = opts.Streams.PrintJSON(result)
	} else {
		_, err = fmt.Fprintf(opts.Streams.Out, "accepted as version %d\n", result.Version)
	}
	if err != nil || !opts.Wait {
		return err
	}
	return force.Wait(ctx, opts.Streams, client, result.Version)
}
