// Package root builds the command tree and runs it.
package root

import (
	"context"
	"errors"
	"flag"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jaystage/jaystage/pkg/cmd/capacity/table"
	"github.com/jaystage/jaystage/pkg/cmd/completion"
	"github.com/jaystage/jaystage/pkg/cmd/config/apply"
	"github.com/jaystage/jaystage/pkg/cmd/config/check"
	"github.com/jaystage/jaystage/pkg/cmd/config/history"
	"github.com/jaystage/jaystage/pkg/cmd/config/show"
	"github.com/jaystage/jaystage/pkg/cmd/demo"
	domaindrain "github.com/jaystage/jaystage/pkg/cmd/domain/drain"
	domainlist "github.com/jaystage/jaystage/pkg/cmd/domain/list"
	domainresume "github.com/jaystage/jaystage/pkg/cmd/domain/resume"
	eventlist "github.com/jaystage/jaystage/pkg/cmd/event/list"
	"github.com/jaystage/jaystage/pkg/cmd/event/watch"
	"github.com/jaystage/jaystage/pkg/cmd/factory"
	fakeupstream "github.com/jaystage/jaystage/pkg/cmd/fake/upstream"
	fleetplan "github.com/jaystage/jaystage/pkg/cmd/fleet/plan"
	loadrun "github.com/jaystage/jaystage/pkg/cmd/load/run"
	"github.com/jaystage/jaystage/pkg/cmd/node"
	nodelist "github.com/jaystage/jaystage/pkg/cmd/node/list"
	rolloutlist "github.com/jaystage/jaystage/pkg/cmd/rollout/list"
	"github.com/jaystage/jaystage/pkg/cmd/rollout/start"
	"github.com/jaystage/jaystage/pkg/cmd/rollout/undo"
	rolloutview "github.com/jaystage/jaystage/pkg/cmd/rollout/view"
	servicelist "github.com/jaystage/jaystage/pkg/cmd/service/list"
	serviceview "github.com/jaystage/jaystage/pkg/cmd/service/view"
	upstreamdrain "github.com/jaystage/jaystage/pkg/cmd/upstream/drain"
	upstreamlist "github.com/jaystage/jaystage/pkg/cmd/upstream/list"
	upstreamresume "github.com/jaystage/jaystage/pkg/cmd/upstream/resume"
	upstreamview "github.com/jaystage/jaystage/pkg/cmd/upstream/view"
	"github.com/jaystage/jaystage/pkg/cmd/version"
	"github.com/jaystage/jaystage/pkg/cmd/voter"
)

// NewCmdRoot returns the command tree.
func NewCmdRoot(f *factory.Factory) *ffcli.Command {
	return group(f, "jaystage", "", "Serve models and bookings on reclaimable VMs",
		node.NewCmdNode(f, nodelist.NewCmdList(f)),
		demo.NewCmdDemo(f),
		group(f, "config", "jaystage ", "Manage the site configuration", check.NewCmdCheck(f), apply.NewCmdApply(f), show.NewCmdShow(f), history.NewCmdHistory(f)),
		group(f, "service", "jaystage ", "Show services", servicelist.NewCmdList(f), serviceview.NewCmdView(f)),
		group(f, "upstream", "jaystage ", "Manage upstreams",
			upstreamlist.NewCmdList(f), upstreamview.NewCmdView(f), upstreamdrain.NewCmdDrain(f), upstreamresume.NewCmdResume(f)),
		group(f, "domain", "jaystage ", "Manage failure domains",
			domainlist.NewCmdList(f), domaindrain.NewCmdDrain(f), domainresume.NewCmdResume(f)),
		group(f, "rollout", "jaystage ", "Move traffic between versions",
			start.NewCmdStart(f), rolloutview.NewCmdView(f), rolloutlist.NewCmdList(f), undo.NewCmdUndo(f)),
		group(f, "fleet", "jaystage ", "Plan the fleet", fleetplan.NewCmdPlan(f)),
		group(f, "voter", "jaystage ", "Manage the voters of the replicated state", voter.NewCmdAdd(f), voter.NewCmdPromote(f), voter.NewCmdRemove(f)),
		group(f, "event", "jaystage ", "Read a node's events", eventlist.NewCmdList(f), watch.NewCmdWatch(f)),
		group(f, "load", "jaystage ", "Run load tests", loadrun.NewCmdRun(f)),
		group(f, "capacity", "jaystage ", "Calculate the resources that each role needs", table.NewCmdTable(f)),
		group(f, "fake", "jaystage ", "Run fake upstreams", fakeupstream.NewCmdUpstream(f)),
		completion.NewCmdCompletion(f, func() *ffcli.Command { return NewCmdRoot(f) }),
		version.NewCmdVersion(f),
	)
}

// group returns a command that only groups subcommands.
func group(f *factory.Factory, name, parent, help string, subcommands ...*ffcli.Command) *ffcli.Command {
	return &ffcli.Command{
		Name: name, ShortUsage: parent + name + " <command> [flags]", ShortHelp: help,
		FlagSet: f.NewFlagSet(name), Subcommands: subcommands,
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return &factory.ExitError{Code: factory.ExitUsage, Err: fmt.Errorf("unknown command %q; see %s%s --help", args[0], parent, name)}
			}
			return flag.ErrHelp
		},
	}
}

// Main runs the command line, prints its error and returns the exit code.
func Main(ctx context.Context, f *factory.Factory, args []string) int {
	err := NewCmdRoot(f).ParseAndRun(ctx, args)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		_, _ = fmt.Fprintln(f.Streams.Err, "jaystage:", err)
	}
	return factory.ExitCode(err)
}
