package rollouts

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/internal/peer"
	"github.com/jaystage/jaystage/internal/periodic"
	"github.com/jaystage/jaystage/internal/upstream"
	"github.com/jaystage/jaystage/pkg/rollout"
	"github.com/jaystage/jaystage/pkg/wire"
)

const kindTally = "tally"

const (
	// stepInterval is how often the leader judges and nodes report. With the 2.1 s of
	// a session it keeps a bad version's last request within 5 s of the first answer
	// that convicts it.
	stepInterval = 500 * time.Millisecond
	callTimeout  = 2 * time.Second
	// forceTimeout bounds one question whether an undo is in force everywhere.
	forceTimeout = 100 * time.Millisecond
)

// errNotLeader is the reply of a node that does not lead the group.
var errNotLeader = errors.New("this node does not lead the group")

// State is the replicated state as rollouts use it.
type State interface {
	View(now time.Time) (*config.View, bool)
	Change(ctx context.Context, c wire.Change) (wire.Changed, error)
	WaitInForce(ctx context.Context, version uint64) error
	Leading() (term uint64, ok bool)
	Leader() string
}

// Links carries messages to other nodes.
type Links interface {
	Handle(kind string, h peer.Handler)
	Call(ctx context.Context, to, kind string, message, reply any) error
}

// Upstreams lists the upstreams that the node knows.
type Upstreams interface {
	List() []upstream.Entry
}

// Controller runs a node's part in rollouts, and all rollouts while the node leads.
type Controller struct {
	Node      string
	Tally     *Tally
	State     State
	Links     Links
	Upstreams Upstreams
	Log       logrus.FieldLogger
	Now       func() time.Time

	mu   sync.Mutex
	term uint64
	runs map[string]*run // by rollout
}

// run is the leader's soft state of one rollout.
type run struct {
	collector *rollout.Collector
	allocator *rollout.Allocator
	last      rollout.Decision
}

// Open prepares the controller; it sets the handler of the links, which must not
// run yet.
func (c *Controller) Open() {
	c.runs = make(map[string]*run)
	c.Links.Handle(kindTally, func(_ context.Context, _ string, body []byte) (any, error) {
		var t wire.Tally
		if err := wire.Unmarshal(body, &t); err != nil {
			return nil, err
		}
		return c.take(t)
	})
}

// Run reports, and judges while the node leads, until ctx ends. The channel closes
// after that.
func (c *Controller) Run(ctx context.Context) <-chan struct{} {
	return periodic.Run(ctx, stepInterval, func(ctx context.Context, _ time.Time) {
		c.report(ctx)
		c.judge(ctx)
	})
}

// report sends the node's counts to the leader and takes the permits of the reply.
// A lost report is made up by the next one.
func (c *Controller) report(ctx context.Context) {
	view, ok := c.State.View(c.Now())
	tally, running := c.Tally.Report(view)
	if !ok || !running {
		return
	}
	if leader := c.State.Leader(); leader != c.Node {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var reply wire.Tallied
		if leader != "" && c.Links.Call(ctx, leader, kindTally, tally, &reply) == nil {
			c.Tally.Accept(reply.Permits)
		}
		return
	}
	if reply, err := c.take(tally); err == nil {
		c.Tally.Accept(reply.Permits)
	}
}

// take adds one node's report and returns its permits.
func (c *Controller) take(t wire.Tally) (wire.Tallied, error) {
	term, leads := c.State.Leading()
	if !leads {
		return wire.Tallied{}, errNotLeader
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enter(term)
	for _, body := range t.Reports {
		r, err := rollout.DecodeReport(body)
		if err != nil {
			return wire.Tallied{}, fmt.Errorf("report of node %s: %w", t.Node, err)
		}
		if run := c.runs[r.Rollout]; run != nil {
			run.collector.Add(r)
		}
	}
	var out wire.Tallied
	for _, u := range t.Usages {
		run := c.runs[u.Rollout]
		if run == nil {
			continue
		}
		usage := usageFromWire(t.Node, t.Process, u)
		usage.Term = term
		run.allocator.AddUsage(usage)
		for _, g := range run.allocator.Grants() {
			if g.Node == t.Node {
				limit := wire.Amount{Requests: g.Limit.Requests, Tokens: g.Limit.Tokens}
				out.Permits = append(out.Permits, wire.Permit{Rollout: g.Rollout, Term: g.Term, Limit: limit})
			}
		}
	}
	return out, nil
}

// enter drops the soft state of an earlier term.
func (c *Controller) enter(term uint64) {
	if c.term != term {
		c.term = term
		c.runs = make(map[string]*run)
	}
}

// judge takes each running rollout one step further while the node leads.
func (c *Controller) judge(ctx context.Context) {
	term, leads := c.State.Leading()
	now := c.Now()
	view, ok := c.State.View(now)
	if !leads || !ok {
		return
	}
	for _, service := range slices.Sorted(maps.Keys(view.Rollouts)) {
		var r rollout.Rollout
		if err := json.Unmarshal(view.Rollouts[service], &r); err != nil || r.Phase.Final() {
			continue
		}
		if err := c.step(ctx, now, term, view, r); err != nil && ctx.Err() == nil {
			event.With(c.Log, event.RolloutStalled).WithField("service", service).WithError(err).Warn("decision about a rollout could not be recorded")
		}
	}
}

func (c *Controller) step(ctx context.Context, now time.Time, term uint64, view *config.View, r rollout.Rollout) error {
	c.mu.Lock()
	c.enter(term)
	current := c.runs[r.ID]
	if current == nil {
		current = &run{collector: rollout.NewCollector(), allocator: rollout.NewAllocator(r.ID, term)}
		c.runs[r.ID] = current
	}
	evidence := current.collector.Evidence(now, r)
	c.mu.Unlock()
	c.complete(ctx, &evidence, view, r)
	decision := rollout.Step(now, r, evidence)
	c.mu.Lock()
	current.last = decision
	c.mu.Unlock()
	if !decision.Changed {
		return nil
	}
	if err := store(ctx, c.State, view, decision.Rollout); err != nil {
		return err
	}
	c.logStep(r, decision)
	return nil
}

// complete adds to the evidence what does not come from reports.
func (c *Controller) complete(ctx context.Context, e *rollout.Evidence, view *config.View, r rollout.Rollout) {
	e.DrainedDomains = make(map[string]bool, len(view.DrainedDomains))
	for name := range view.DrainedDomains {
		e.DrainedDomains[name] = true
	}
	for _, u := range c.Upstreams.List() {
		if !u.Ready || u.Leaving || e.DrainedDomains[u.Domain] {
			continue
		}
		for _, s := range u.Serving {
			switch {
			case s.Service != r.Service:
			case s.Version == r.From:
				e.OldReady++
			case s.Version == r.To:
				e.NewReady++
			}
		}
	}
	if r.Phase == rollout.RollingBack {
		ctx, cancel := context.WithTimeout(ctx, forceTimeout)
		defer cancel()
		e.RollbackInForce = c.State.WaitInForce(ctx, view.Version) == nil
	}
}

func (c *Controller) logStep(old rollout.Rollout, d rollout.Decision) {
	log := event.With(c.Log, event.RolloutChanged).WithField("service", old.Service).WithField("rollout", old.ID).
		WithField("phase", d.Rollout.Phase).WithField("step", d.Rollout.Step+1).WithField("share", d.Rollout.Share).
		WithField("cause", d.Rollout.Cause.Text)
	if d.Rollout.Bad && !old.Bad {
		log.Warn("new version was judged bad")
		return
	}
	log.Info("rollout goes on")
}

// store writes a rollout's state, and with its end the service's version. The
// change is refused when another leader or an operator wrote since the view.
func store(ctx context.Context, state State, view *config.View, r rollout.Rollout) error {
	value, err := json.Marshal(r)
	if err != nil {
		return err
	}
	change := wire.Change{Base: view.Version, Author: "rollout", Reason: r.Cause.Text, Items: []wire.Item{{Key: config.PrefixRollout + r.Service, Value: value}}}
	if r.Phase == rollout.Done {
		service := view.Services[r.Service]
		service.Version = r.To
		if value, err = json.Marshal(service); err != nil {
			return err
		}
		change.Items = append(change.Items, wire.Item{Key: config.PrefixService + r.Service, Value: value})
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result, err := state.Change(ctx, change)
	if err != nil {
		return err
	}
	if len(result.Conflict) > 0 {
		return fmt.Errorf("%w at version %d", ErrConflict, result.Version)
	}
	return nil
}
