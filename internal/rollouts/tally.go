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

// Tally is a node's part in rollouts. It implements caller.Versions and is safe for
// concurrent use.
type Tally struct {
	node    string
	process uint64

	mu       sync.Mutex
	services map[string]*count
}

// count is a node's part in one service's rollout.
type count struct {
	share  config.Share
	holder *rollout.PermitHolder
	set    rollout.CountSet
	seq    uint64
}

// NewTally returns the tally of one node process.
func NewTally(node string, process uint64) *Tally {
	return &Tally{node: node, process: process, services: make(map[string]*count)}
}

// follow returns the count for a share; a new rollout or step starts a new one.
func (t *Tally) follow(service string, share config.Share) *count {
	c := t.services[service]
	if c == nil || c.share.ID != share.ID {
		c = &count{holder: rollout.NewPermitHolder(share.ID, t.node, t.process), set: rollout.CountSet{}}
		t.services[service] = c
	}
	if c.share.Step != share.Step {
		c.set = rollout.CountSet{}
	}
	c.share = share
	c.holder.SetShare(0, share.Fraction)
	if share.Bad || share.Fraction == 0 {
		c.holder.Revoke()
	}
	return c
}

// Admit counts a new call of a service in a rollout, with its estimated tokens, and
// tells whether the new version serves it. Calls of one session stay together while
// there are permits.
func (t *Tally) Admit(service string, share config.Share, tokens float64, session string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.follow(service, share)
	wanted := session == "" || rollout.StickyToNew(share.ID, session, share.Fraction)
	return c.holder.Admit(tokens, wanted)
}

// RecordAttempt counts an attempt that ended. Outcomes of versions outside the rollout are
// not counted.
func (t *Tally) RecordAttempt(now time.Time, e caller.AttemptReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.services[e.Service]
	if c == nil || e.Version != c.share.From && e.Version != c.share.To {
		return
	}
	counts := c.set.GetOrCreate(rollout.Key{
		Version: e.Version, Route: e.Route, Class: e.Class, Domain: e.Domain,
		Cold: now.Sub(e.Joined) < c.share.Rules.Warmup,
	})
	counts.Requests++
	switch e.Result {
	case caller.ResultFailed:
		counts.Failures++
	case caller.ResultCrashed:
		counts.Crashes++
	case caller.ResultTruncated:
		counts.Truncated++
	}
	if e.TimeToFirstToken > 0 {
		counts.TimeToFirstToken.Add(e.TimeToFirstToken)
	}
	if e.TimeBetweenTokens > 0 {
		counts.TimeBetweenTokens.Add(e.TimeBetweenTokens)
	}
	if e.Result == caller.ResultAnswered {
		counts.CompletionTime.Add(e.CompletionTime)
	}
}

// Report returns what the leader has to know; false when no rollout runs.
func (t *Tally) Report(view *config.View) (wire.Tally, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := wire.Tally{Node: t.node, Process: t.process}
	for service := range t.services {
		if share, ok := view.Shares[service]; !ok || share.Ended() {
			delete(t.services, service)
		}
	}
	for service, share := range view.Shares {
		if share.Ended() {
			continue
		}
		c := t.follow(service, share)
		c.seq++
		body, err := rollout.Report{
			Rollout: share.ID, Step: share.Step, Node: t.node, Incarnation: t.process, Sequence: c.seq, Counts: c.set,
		}.Encode()
		if err != nil {
			continue // counts and names always encode
		}
		out.Reports = append(out.Reports, body)
		out.Usages = append(out.Usages, usageToWire(c.holder.Usage()))
	}
	return out, len(out.Usages) > 0
}

// Accept takes the leader's permits.
func (t *Tally) Accept(permits []wire.Permit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range permits {
		for _, c := range t.services {
			c.holder.Accept(rollout.Grant{
				Rollout: p.Rollout, Node: t.node, Incarnation: t.process, Term: p.Term,
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

func usageFromWire(node string, process uint64, u wire.Usage) rollout.Usage {
	amount := func(a wire.Amount) rollout.Amount { return rollout.Amount{Requests: a.Requests, Tokens: a.Tokens} }
	return rollout.Usage{
		Rollout: u.Rollout, Node: node, Incarnation: process, Term: u.Term, Share: u.Share,
		Total: amount(u.Total), Granted: amount(u.Granted), Spent: amount(u.Spent),
	}
}
