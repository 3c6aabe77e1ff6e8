// Package rollouts runs rollouts of new service versions. Each node counts the outcomes
// and the traffic of the services in a rollout and reports them to the leader, which
// evaluates the new version, changes its share of the traffic and grants the nodes
// permits for it.
package rollouts

import (
	"sync"
	"time"

	"github.com/jaystage/jaystage/internal/caller"
	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/pkg/rollout"
	"github.com/jaystage/jaystage/pkg/wire"
)

// Tracker decides which calls on a node go to the new version of a service in a rollout
// and counts their outcomes. It implements caller.Versions and is safe for concurrent
// use.
type Tracker struct {
	node        string
	incarnation uint64

	mu       sync.Mutex
	services map[string]*serviceRollout
}

// serviceRollout holds a node's permits and counts for one service's rollout.
type serviceRollout struct {
	share    config.Share
	permits  *rollout.PermitHolder
	counts   rollout.CountSet
	sequence uint64
}

// NewTracker returns the tracker of one node process.
func NewTracker(node string, incarnation uint64) *Tracker {
	return &Tracker{node: node, incarnation: incarnation, services: make(map[string]*serviceRollout)}
}

// applyShare applies a service's current share and returns the service's state. A new
// rollout starts with new state, a new step with new counts. The caller holds t.mu.
func (t *Tracker) applyShare(service string, share config.Share) *serviceRollout {
	state := t.services[service]
	if state == nil || state.share.ID != share.ID {
		state = &serviceRollout{permits: rollout.NewPermitHolder(share.ID, t.node, t.incarnation), counts: rollout.CountSet{}}
		t.services[service] = state
	}
	if state.share.Step != share.Step {
		state.counts = rollout.CountSet{}
	}
	state.share = share
	state.permits.SetShare(0, share.Fraction) // a term of 0 keeps the current term
	if share.Bad || share.Fraction == 0 {
		state.permits.Revoke()
	}
	return state
}

// Admit counts a new call of a service in a rollout, with its estimated tokens, and
// reports whether the new version serves it. Calls of one session go to the same version
// as long as there are permits.
func (t *Tracker) Admit(service string, share config.Share, tokens float64, session string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.applyShare(service, share)
	preferNew := session == "" || rollout.StickyToNew(share.ID, session, share.Fraction)
	return state.permits.Admit(tokens, preferNew)
}

// RecordAttempt counts the outcome of an attempt that has ended. It ignores versions that
// are not part of the rollout.
func (t *Tracker) RecordAttempt(now time.Time, attempt caller.AttemptReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.services[attempt.Service]
	if state == nil || attempt.Version != state.share.From && attempt.Version != state.share.To {
		return
	}
	counts := state.counts.GetOrCreate(rollout.Key{
		Version: attempt.Version, Route: attempt.Route, Class: attempt.Class, Domain: attempt.Domain,
		Cold: now.Sub(attempt.Joined) < state.share.Rules.Warmup,
	})
	counts.Requests++
	switch attempt.Result {
	case caller.ResultFailed:
		counts.Failures++
	case caller.ResultCrashed:
		counts.Crashes++
	case caller.ResultTruncated:
		counts.Truncated++
	}
	if attempt.TimeToFirstToken > 0 {
		counts.TimeToFirstToken.Add(attempt.TimeToFirstToken)
	}
	if attempt.InterTokenLatency > 0 {
		counts.InterTokenLatency.Add(attempt.InterTokenLatency)
	}
	if attempt.Result == caller.ResultAnswered {
		counts.CompletionTime.Add(attempt.CompletionTime)
	}
}

// Report returns the node's report to the leader, or false if no rollout is running.
func (t *Tracker) Report(view *config.View) (wire.Tally, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := wire.Tally{Node: t.node, Process: t.incarnation}
	for service := range t.services {
		if share, ok := view.Shares[service]; !ok || share.Ended() {
			delete(t.services, service)
		}
	}
	for service, share := range view.Shares {
		if share.Ended() {
			continue
		}
		state := t.applyShare(service, share)
		state.sequence++
		body, err := rollout.Report{
			Rollout: share.ID, Step: share.Step, Node: t.node, Incarnation: t.incarnation, Sequence: state.sequence, Counts: state.counts,
		}.Encode()
		if err != nil {
			continue // cannot happen: counts and names can always be encoded
		}
		out.Reports = append(out.Reports, body)
		out.Usages = append(out.Usages, usageToWire(state.permits.Usage()))
	}
	return out, len(out.Usages) > 0
}

// Accept applies the permits that the leader granted.
func (t *Tracker) Accept(permits []wire.Permit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range permits {
		for _, state := range t.services {
			state.permits.Accept(rollout.Grant{
				Rollout: p.Rollout, Node: t.node, Incarnation: t.incarnation, Term: p.Term,
				Limit: rollout.Amount{Requests: p.Limit.Requests, Tokens: p.Limit.Tokens},
			})
		}
	}
}

func usageToWire(u rollout.Usage) wire.Usage {
	amount := func(a rollout.Amount) wire.Amount { return wire.Amount{Requests: a.Requests, Tokens: a.Tokens} }
	return wire.Usage{
		Rollout: u.Rollout, Term: u.Term, Share: u.Share,
		Total: amount(u.Total), Granted: amount(u.Granted), Spent: amount(u.Spent),
	}
}

func usageFromWire(node string, incarnation uint64, u wire.Usage) rollout.Usage {
	amount := func(a wire.Amount) rollout.Amount { return rollout.Amount{Requests: a.Requests, Tokens: a.Tokens} }
	return rollout.Usage{
		Rollout: u.Rollout, Node: node, Incarnation: incarnation, Term: u.Term, Share: u.Share,
		Total: amount(u.Total), Granted: amount(u.Granted), Spent: amount(u.Spent),
	}
}
