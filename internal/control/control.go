// Package control is the part of a voter that faces upstreams and operators: it takes
// the statuses of upstreams, the traffic plan, drains of failure domains and moves to
// new versions, and carries out the duties of which one node at a time is in charge.
package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/internal/peer"
	"github.com/jaystage/jaystage/internal/roster"
	"github.com/jaystage/jaystage/pkg/traffic"
	"github.com/jaystage/jaystage/pkg/wire"
)

// State is the replicated state as a voter uses it.
type State interface {
	View(now time.Time) (*config.View, bool)
	// Current returns a view that holds every change acknowledged before the call.
	Current(ctx context.Context) (*config.View, error)
	Change(ctx context.Context, c wire.Change) (wire.Changed, error)
	Leading() (term uint64, ok bool)
	Leader() string
}

// Links carries messages to other nodes.
type Links interface {
	Handle(kind string, h peer.Handler)
	Send(to, kind string, message any) error
}

// ErrInvalid is the kind of error for an order that can never be carried out.
var ErrInvalid = errors.New("the order is invalid")

// ErrNoPlan means that no traffic plan has been recorded yet.
var ErrNoPlan = errors.New("there is no traffic plan yet")

// Control serves one voter. New returns one; the exported fields are set before Run.
type Control struct {
	Self  string
	State State
	Links Links
	Log   logrus.FieldLogger
	// Platform carries out the duties; nil for none.
	Platform Platform
	// ScalingEnabled is true when this system orders upstreams from the platform.
	ScalingEnabled bool
	// UsageWindow is the length of a usage window; zero when usage is not reported.
	UsageWindow time.Duration
	// MinLeadTime is how long this voter leads before it calls the platform: within it, the
	// platform allows no holder of a duty between two calls of another.
	MinLeadTime time.Duration
	// MaxExposure is the largest share of all requests that a bad version may get.
	MaxExposure float64

	roster        *roster.Roster
	relay         relay
	ledger        *ledger
	usageReporter usageReporter
	mover         mover
	scaler        scaler
}

// New returns the control of a voter.
func New(self string, state State, links Links, log logrus.FieldLogger) *Control {
	c := &Control{Self: self, State: state, Links: links, Log: log, roster: roster.New(), ledger: newLedger()}
	c.usageReporter.c, c.mover.c, c.scaler.c = c, c, c
	c.relay.synced = make(map[string]uint64)
	return c
}

// PutPlan makes a plan the present one unless a plan of the same or a higher version
// is in force. It returns once the outcome is recorded on a majority of the voters.
func (c *Control) PutPlan(ctx context.Context, p *traffic.Plan) error {
	if err := p.Check(); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	value, err := traffic.Encode(p)
	if err != nil {
		return err
	}
	view, err := c.State.Current(ctx)
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		if view.Plan != nil && view.Plan.Version >= p.Version {
			event.With(c.Log, event.PlanUnchanged).WithFields(logrus.Fields{"plan": p.Version, "present": view.Plan.Version}).Info("plan changes nothing")
			return nil
		}
		changed, err := c.State.Change(ctx, wire.Change{Base: view.Version, Author: "operator", Items: []wire.Item{{Key: config.KeyPlan, Value: value}}})
		if err != nil {
			return err
		}
		if len(changed.Conflict) == 0 {
			event.With(c.Log, event.PlanRecorded).WithFields(logrus.Fields{"plan": p.Version, "version": changed.Version, "routes": len(p.Routes)}).Info("plan recorded")
			return nil
		}
		if view, err = c.State.Current(ctx); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// Plan returns the newest plan.
func (c *Control) Plan(ctx context.Context) (*traffic.Plan, error) {
	view, err := c.State.Current(ctx)
	if err != nil {
		return nil, err
	}
	if view.Plan == nil {
		return nil, ErrNoPlan
	}
	return view.Plan, nil
}

// DrainDomain takes a failure domain out of service.
func (c *Control) DrainDomain(ctx context.Context, now time.Time, domain string) error {
	view, err := c.State.Current(ctx)
	if err != nil {
		return err
	}
	if _, drained := view.DrainedDomains[domain]; drained {
		return nil
	}
	return c.overwrite(ctx, config.PrefixDrainDomain+domain, config.Drain{Author: "operator", Since: now.UnixMilli()})
}

// ResumeDomain takes a failure domain back into service.
func (c *Control) ResumeDomain(ctx context.Context, domain string) error {
	_, err := c.State.Change(ctx, wire.Change{Base: unconditionalBase, Author: "operator", Items: []wire.Item{{Key: config.PrefixDrainDomain + domain, Deleted: true}}})
	if err == nil {
		event.With(c.Log, event.DomainResumed).WithField("domain", domain).Info("failure domain is back in service")
	}
	return err
}

// last is a base version that conflicts with no change.
const unconditionalBase = ^uint64(0)

// write stores an entry whatever it held before.
func (c *Control) overwrite(ctx context.Context, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	changed, err := c.State.Change(ctx, wire.Change{Base: unconditionalBase, Author: c.Self, Items: []wire.Item{{Key: key, Value: data}}})
	if err != nil {
		return err
	}
	event.With(c.Log, event.EntryRecorded).WithFields(logrus.Fields{"key": key, "version": changed.Version}).Info("entry recorded")
	return nil
}
