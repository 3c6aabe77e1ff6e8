// Package control implements the control plane of a voter. Every voter accepts upstream
// statuses, traffic plans, drains of failure domains and moves to new versions. The
// leader of the voters also reports usage to the platform, orders upstreams from it and
// advances moves.
package control

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/boottime"
	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/internal/peer"
	"github.com/jaystage/jaystage/internal/roster"
	"github.com/jaystage/jaystage/pkg/traffic"
	"github.com/jaystage/jaystage/pkg/wire"
)

// State is a voter's access to the replicated state.
type State interface {
	View(now time.Time) (*config.View, bool)
	// Current returns a view that contains every change acknowledged before the call.
	Current(ctx context.Context) (*config.View, error)
	Change(ctx context.Context, c wire.Change) (wire.Changed, error)
	// Leading returns the current term and reports whether this voter leads in it.
	Leading() (term uint64, ok bool)
	// ConfirmLeading returns nil if a quorum has confirmed, after the call began, that this
	// voter leads in term.
	ConfirmLeading(term uint64) error
	// Leader returns the name of the leader; empty when unknown.
	Leader() string
}

// Links sends messages to other nodes and registers handlers for theirs.
type Links interface {
	Handle(kind string, h peer.Handler)
	Send(to, kind string, message any) error
}

// ErrInvalid is returned for a request that can never succeed.
var ErrInvalid = errors.New("the order is invalid")

// ErrNoPlan is returned while no traffic plan has been recorded.
var ErrNoPlan = errors.New("there is no traffic plan yet")

// Control is the control plane of one voter. Create it with New and set the exported
// fields before Run.
type Control struct {
	Self  string
	State State
	Links Links
	Log   logrus.FieldLogger
	// Platform receives usage reports and scaling orders. Without one no usage is settled or
	// reported, and ScalingEnabled must be false.
	Platform Platform
	// ScalingEnabled makes the leader order upstreams from the platform.
	ScalingEnabled bool
	// UsageWindow is the length of a usage window; zero disables usage reports.
	UsageWindow time.Duration
	// ReadPlan reads the document of a traffic plan that an earlier release has recorded.
	ReadPlan func(source []byte) (*traffic.Plan, error)
	// CountStore keeps this voter's copy of the counts of usage windows; nil for none.
	CountStore CountStore
	// MinLeadTime is how long this voter must have led before it calls the platform: the
	// platform forbids nodes to call it alternately within this time.
	MinLeadTime time.Duration
	// MaxExposure is the largest share of all requests that a faulty version may receive.
	MaxExposure float64

	// bootTime returns the time since the start of the VM, with the time that it was
	// suspended. It is replaced in tests.
	bootTime      func() time.Time
	roster        *roster.Roster
	relay         relay
	ledger        *ledger
	usageReporter usageReporter
	countCopier   countCopier
	mover         mover
	scaler        scaler
	parts         partBlocker
	limits        limits
	planConverter planConverter
	openUses      openUses
}

// New returns the control plane of a voter.
func New(self string, state State, links Links, log logrus.FieldLogger) *Control {
	c := &Control{Self: self, State: state, Links: links, Log: log, roster: roster.New(), ledger: newLedger(), bootTime: boottime.Now}
	c.usageReporter.c, c.countCopier.c, c.mover.c, c.scaler.c, c.parts.c, c.planConverter.c = c, c, c, c, c, c
	c.relay.synced = make(map[string]uint64)
	c.roster.Configured = func(now time.Time, service string) bool {
		view, _ := state.View(now)
		return view.PlanHasService(service)
	}
	return c
}

// DrainDomain takes a failure domain out of service.
func (c *Control) DrainDomain(ctx context.Context, now time.Time, domain string) error {
	item, err := encodeItem(config.PrefixDrainDomain+domain, config.Drain{Author: authorOperator, Since: now.UnixMilli()})
	if err != nil {
		return err
	}
	return c.setDrained(ctx, domain, true, item)
}

// ResumeDomain returns a drained failure domain to service.
func (c *Control) ResumeDomain(ctx context.Context, domain string) error {
	err := c.setDrained(ctx, domain, false, wire.Item{Key: config.PrefixDrainDomain + domain, Deleted: true})
	if err == nil {
		event.With(c.Log, event.DomainResumed).WithField("domain", domain).Info("failure domain resumed")
	}
	return err
}

// setDrained records the entry that drains or resumes a failure domain, unless it is drained or
// in service already. Two orders that came first and cancel each other overtake it.
func (c *Control) setDrained(ctx context.Context, domain string, drained bool, item wire.Item) error {
	tried := false
	return c.executeOrder(ctx, func(view *config.View) (wire.Item, bool, error) {
		if _, is := view.DrainedDomains[domain]; is == drained {
			return wire.Item{}, false, nil
		}
		if tried {
			return wire.Item{}, false, ErrOvertaken
		}
		tried = true
		return item, true, nil
	})
}
