// Package rollouts runs rollouts: each node counts the outcomes and the traffic of
// the services in a rollout and sends them to the leader, which judges the new
// version, moves its share and hands out permits for it.
package rollouts

import (
	"sync"
	"time"

	"github.com/jaystage/jaystage/internal/caller"
	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/pkg/rollout"
	"github.com/jaystage/jaystage/pkg/wire"
)

// Tracker is a node's part in rollouts. It implements caller.Versions and is safe for
// concurrent use.
type Tracker struct {
	node        string
	incarnation uint64

	mu       sync.Mutex
	services map[string]*serviceRollout
}

// serviceRollout is a node's part in one service's rollout.
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

// applyShare returns the count for a share; a new rollout or step starts a new one.
func (t *Tracker) applyShare(service string, share config.Share) *serviceRollout {
	c := t.services[service]
	if c == nil || c.share.ID != share.ID {
		c = &serviceRollout{permits: rollout.NewPermitHolder(share.ID, t.node, t.incarnation), counts: rollout.CountSet{}}
		t.services[service] = c
	}
	if c.share.Step != share.Step {
		c.counts = rollout.CountSet{}
	}
	c.share = share
	c.permits.SetShare(0, share.Fraction)
	if share.Bad || share.Fraction == 0 {
		c.permits.Revoke()
	}
	return c
}

// Admit counts a new call of a service in a rollout, with its estimated tokens, and
// tells whether the new version serves it. Calls of one session stay together while
// there are permits.
func (t *Tracker) Admit(service string, share config.Share, tokens float64, session string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.applyShare(service, share)
	preferNew := session == "" || rollout.StickyToNew(share.ID, session, share.Fraction)
	return c.permits.Admit(tokens, preferNew)
}

// RecordAttempt counts an attempt that ended. Outcomes of versions outside the rollout are
// not counted.
func (t *Tracker) RecordAttempt(now time.Time, attempt caller.AttemptReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.services[attempt.Service]
	if c == nil || attempt.Version != c.share.From && attempt.Version != c.share.To {
		return
	}
	counts := c.counts.GetOrCreate(rollout.Key{
		Version: attempt.Version, Route: attempt.Route, Class: attempt.Class, Domain: attempt.Domain,
		Cold: now.Sub(attempt.Joined) < c.share.Rules.Warmup,
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
	if attempt.TimeBetweenTokens > 0 {
		counts.TimeBetweenTokens.Add(attempt.TimeBetweenTokens)
	}
	if attempt.Result == caller.ResultAnswered {
		counts.CompletionTime.Add(attempt.CompletionTime)
	}
}

// Report returns what the leader has to know; false when no rollout runs.
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
		c := t.applyShare(service, share)
		c.sequence++
		body, err := rollout.Report{
			Rollout: share.ID, Step: share.Step, Node: t.node, Incarnation: t.incarnation, Sequence: c.sequence, Counts: c.counts,
		}.Encode()
		if err != nil {
			continue // counts and names always encode
		}
		out.Reports = append(out.Reports, body)
		out.Usages = append(out.Usages, usageToWire(c.permits.Usage()))
	}
	return out, len(out.Usages) > 0
}

// Accept takes the leader's permits.
func (t *Tracker) Accept(permits []wire.Permit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range permits {
		for _, c := range t.services {
			c.permits.Accept(rollout.Grant{
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
