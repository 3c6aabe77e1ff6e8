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

// kindReport is the message kind of a node's report on the peer links.
const kindReport = "tally"

const (
	// stepInterval is how often nodes report and the leader evaluates rollouts. The leader
	// ends the session of an unreachable node after 2.1 s, when the node's lease has expired
	// and the node admits no more requests. Both times together keep a bad version's last
	// request within 5 s of the first answer that proves it bad.
	stepInterval = 500 * time.Millisecond
	callTimeout  = 2 * time.Second
	// inForceTimeout is the timeout of one check whether a rollback is in force on all nodes.
	inForceTimeout = 100 * time.Millisecond
)

// errNotLeader is the reply of a node that is not the leader.
var errNotLeader = errors.New("this node does not lead the group")

// State is the part of the replicated state that rollouts use.
type State interface {
	View(now time.Time) (*config.View, bool)
	Change(ctx context.Context, c wire.Change) (wire.Changed, error)
	WaitInForce(ctx context.Context, version uint64) error
	Leading() (term uint64, ok bool)
	Leader() string
}

// Links exchanges messages with other nodes.
type Links interface {
	Handle(kind string, h peer.Handler)
	Call(ctx context.Context, to, kind string, message, reply any) error
}

// Upstreams lists the known upstreams.
type Upstreams interface {
	List() []upstream.Entry
}

// Controller reports a node's outcome counts and traffic in rollouts to the leader and,
// while the node is the leader, runs all rollouts.
type Controller struct {
	Node      string
	Tracker   *Tracker
	State     State
	Links     Links
	Upstreams Upstreams
	Log       logrus.FieldLogger
	Now       func() time.Time

	mu          sync.Mutex
	term        uint64
	evaluations map[string]*evaluation // by rollout id
}

// evaluation is the leader's in-memory state of one rollout. It is rebuilt from reports
// after a change of leader.
type evaluation struct {
	collector    *rollout.Collector
	allocator    *rollout.Allocator
	lastDecision rollout.Decision
}

// RegisterHandlers registers the message handlers. Call it before the links start.
func (c *Controller) RegisterHandlers() {
	c.evaluations = make(map[string]*evaluation)
	c.Links.Handle(kindReport, func(_ context.Context, _ string, body []byte) (any, error) {
		var report wire.Tally
		if err := wire.Unmarshal(body, &report); err != nil {
			return nil, err
		}
		return c.handleReport(report)
	})
}

// Run sends reports, and evaluates rollouts while the node is the leader, until ctx is
// done. The returned channel is closed when it has stopped.
func (c *Controller) Run(ctx context.Context) <-chan struct{} {
	return periodic.Run(ctx, c.Log, stepInterval, func(ctx context.Context, _ time.Time) {
		c.sendReport(ctx)
		c.evaluate(ctx)
	})
}

// sendReport sends the node's counts to the leader and applies the permits in the reply.
// Counts are cumulative, so the next report makes up for a lost one.
func (c *Controller) sendReport(ctx context.Context) {
	view, ok := c.State.View(c.Now())
	report, running := c.Tracker.Report(view)
	if !ok || !running {
		return
	}
	if leader := c.State.Leader(); leader != c.Node {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var reply wire.Tallied
		if leader != "" && c.Links.Call(ctx, leader, kindReport, report, &reply) == nil {
			c.Tracker.Accept(reply.Permits)
		}
		return
	}
	if reply, err := c.handleReport(report); err == nil {
		c.Tracker.Accept(reply.Permits)
	}
}

// handleReport adds one node's report to the evaluations and returns the node's permits.
func (c *Controller) handleReport(report wire.Tally) (wire.Tallied, error) {
	term, leads := c.State.Leading()
	if !leads {
		return wire.Tallied{}, errNotLeader
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resetOnNewTerm(term)
	for _, body := range report.Reports {
		r, err := rollout.DecodeReport(body)
		if err != nil {
			return wire.Tallied{}, fmt.Errorf("report of node %s: %w", report.Node, err)
		}
		if eval := c.evaluations[r.Rollout]; eval != nil {
			eval.collector.Add(r)
		}
	}
	var out wire.Tallied
	for _, reported := range report.Usages {
		eval := c.evaluations[reported.Rollout]
		if eval == nil {
			continue
		}
		usage := usageFromWire(report.Node, report.Process, reported)
		usage.Term = term
		eval.allocator.AddUsage(usage)
		for _, g := range eval.allocator.Grants() {
			if g.Node == report.Node {
				limit := wire.Amount{Requests: g.Limit.Requests, Tokens: g.Limit.Tokens}
				out.Permits = append(out.Permits, wire.Permit{Rollout: g.Rollout, Term: g.Term, Limit: limit})
			}
		}
	}
	return out, nil
}

// resetOnNewTerm discards the evaluations of an earlier term. The caller holds c.mu.
func (c *Controller) resetOnNewTerm(term uint64) {
	if c.term != term {
		c.term = term
		c.evaluations = make(map[string]*evaluation)
	}
}

// evaluate advances each running rollout if the node is the leader.
func (c *Controller) evaluate(ctx context.Context) {
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
		if err := c.stepRollout(ctx, now, term, view, r); err != nil && ctx.Err() == nil {
			event.With(c.Log, event.RolloutStalled).WithField("service", service).WithError(err).Warn("decision about a rollout could not be recorded")
		}
	}
}

// stepRollout decides on the next state of a rollout and records it if it changed.
func (c *Controller) stepRollout(ctx context.Context, now time.Time, term uint64, view *config.View, r rollout.Rollout) error {
	c.mu.Lock()
	c.resetOnNewTerm(term)
	current := c.evaluations[r.ID]
	if current == nil {
		current = &evaluation{collector: rollout.NewCollector(), allocator: rollout.NewAllocator(r.ID, term)}
		c.evaluations[r.ID] = current
	}
	evidence := current.collector.Evidence(now, r)
	c.mu.Unlock()
	c.addLocalEvidence(ctx, &evidence, view, r)
	decision := rollout.Step(now, r, evidence)
	c.mu.Lock()
	current.lastDecision = decision
	c.mu.Unlock()
	if !decision.Changed {
		return nil
	}
	if err := storeRollout(ctx, c.State, view, decision.Rollout); err != nil {
		return err
	}
	c.logStep(r, decision)
	return nil
}

// addLocalEvidence adds the evidence that does not come from reports: drained failure
// domains, ready upstreams of each version, and whether a rollback is in force on all nodes.
func (c *Controller) addLocalEvidence(ctx context.Context, evidence *rollout.Evidence, view *config.View, r rollout.Rollout) {
	evidence.DrainedDomains = make(map[string]bool, len(view.DrainedDomains))
	for name := range view.DrainedDomains {
		evidence.DrainedDomains[name] = true
	}
	for _, u := range c.Upstreams.List() {
		if !u.Ready || u.Leaving || evidence.DrainedDomains[u.Domain] {
			continue
		}
		for _, s := range u.Serving {
			switch {
			case s.Service != r.Service:
			case s.Version == r.From:
				evidence.OldReady++
			case s.Version == r.To:
				evidence.NewReady++
			}
		}
	}
	if r.Phase == rollout.RollingBack {
		ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
		defer cancel()
		evidence.RollbackInForce = c.State.WaitInForce(ctx, view.Version) == nil
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
	log.Info("rollout state updated")
}

// storeRollout records a rollout's state and, when it is done, the service's new version.
// It fails with ErrConflict if another leader or an operator has changed either since
// the view.
func storeRollout(ctx context.Context, state State, view *config.View, r rollout.Rollout) error {
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
