// Package reach tells a node that has lost its own path to upstreams from upstreams that are
// gone, and orders the other nodes through which it may reach them. A node that cannot
// connect to an upstream itself, while another node can, has lost its path to it. It does no
// I/O and reads no clock.
package reach

import "time"

const (
	// failureWindow is how long a failure counts as evidence.
	failureWindow = 3 * time.Second
	// minFailing is the number of upstreams that must fail together before other nodes are
	// asked, and that other nodes must reach before the path to all upstreams counts as lost.
	minFailing = 2
	// askInterval is the time between questions about an upstream that other nodes did not
	// reach either.
	askInterval = 500 * time.Millisecond
	// probeInterval is the time between direct connects while a path is lost.
	probeInterval = 500 * time.Millisecond
	// relayedRetention is how long a path to one upstream counts as lost after the last
	// connection through another node.
	relayedRetention = 10 * time.Second
)

// Failure is the way in which a node failed to reach an upstream.
type Failure int

const (
	// NoConnection means that a connect failed.
	NoConnection Failure = iota
	// NoAnswer means that no byte arrived over an open connection.
	NoAnswer
)

// failing is an upstream that the node has failed to reach since it last answered.
type failing struct {
	kind    Failure
	count   int
	first   time.Time
	last    time.Time
	asked   time.Time // when the other nodes last did not reach it either
	relayed time.Time // when another node last reached it; zero if none has
	probed  time.Time
}

// Paths holds what one node knows of its paths to upstreams.
type Paths struct {
	failing map[string]*failing // by address
	lost    bool
	since   time.Time
	nodes   map[string]time.Time // until when another node is not asked
}

// New returns paths of which none has failed.
func New() *Paths {
	return &Paths{failing: make(map[string]*failing), nodes: make(map[string]time.Time)}
}

// RecordFailure records that the node failed to reach an upstream over its own path.
func (p *Paths) RecordFailure(now time.Time, address string, kind Failure) {
	p.prune(now)
	f := p.failing[address]
	if f == nil {
		f = &failing{first: now}
		p.failing[address] = f
	}
	f.kind, f.last = kind, now
	f.count++
}

// RecordAnswer records that an upstream answered over a direct connection that was opened at
// a time. It reports whether the path to all upstreams was lost until now. A connection that
// is older than the failures says nothing: it may live on while new ones fail.
func (p *Paths) RecordAnswer(opened time.Time, address string) (regained bool) {
	if f := p.failing[address]; f == nil || opened.Before(f.first) {
		return false
	}
	if p.lost {
		p.lost = false
		clear(p.failing)
		return true
	}
	delete(p.failing, address)
	return false
}

// RecordRelayed records that another node reached an upstream. It reports whether the path to
// all upstreams is lost since now.
func (p *Paths) RecordRelayed(now time.Time, address string) (lost bool) {
	f := p.failing[address]
	if f == nil {
		if p.lost {
			p.failing[address] = &failing{first: now, last: now, relayed: now}
		}
		return false
	}
	f.relayed = now
	if p.lost {
		return false
	}
	relayed := 0
	for _, other := range p.failing {
		if now.Sub(other.relayed) < failureWindow {
			relayed++
		}
	}
	if relayed >= minFailing {
		p.lost, p.since = true, now
	}
	return p.lost
}

// RecordUnreached records that other nodes did not reach an upstream either.
func (p *Paths) RecordUnreached(now time.Time, address string) {
	if f := p.failing[address]; f != nil {
		f.asked = now
		if !p.lost {
			f.relayed = time.Time{}
		}
	}
}

// Lost reports whether the path to all upstreams is lost, and since when.
func (p *Paths) Lost() (since time.Time, lost bool) { return p.since, p.lost }

// Suspected reports whether several upstreams fail together, so that the node's own path may
// be at fault.
func (p *Paths) Suspected(now time.Time) bool {
	if p.lost {
		return true
	}
	recent := 0
	for _, f := range p.failing {
		if now.Sub(f.last) < failureWindow {
			recent++
		}
	}
	return recent >= minFailing
}

// Relayed reports whether a connection to an upstream goes through another node in the first
// place.
func (p *Paths) Relayed(now time.Time, address string) bool {
	if p.lost {
		return true
	}
	f := p.failing[address]
	switch {
	case f == nil:
		return false
	case now.Sub(f.relayed) < relayedRetention:
		return true
	}
	return f.kind == NoAnswer && now.Sub(f.asked) >= askInterval && p.Suspected(now)
}

// ShouldAsk reports whether other nodes are asked for an upstream that this node has just
// failed to reach.
func (p *Paths) ShouldAsk(now time.Time, address string) bool {
	f := p.failing[address]
	return f != nil && now.Sub(f.asked) >= askInterval && (f.count >= minFailing || p.Suspected(now))
}

// Blameless reports whether a failure at an upstream says nothing of it, because the node has
// lost its path to it. A mere suspicion is not enough: several upstreams may crash together.
func (p *Paths) Blameless(now time.Time, address string) bool {
	f := p.failing[address]
	return p.lost || f != nil && now.Sub(f.relayed) < relayedRetention
}

// Probe returns the address to which a direct connection is tried now, if one is due: that
// of the upstream that another node reached last.
func (p *Paths) Probe(now time.Time) (address string, due bool) {
	p.prune(now)
	var best *failing
	for a, f := range p.failing {
		if f.relayed.IsZero() || now.Sub(f.probed) < probeInterval {
			continue
		}
		if best == nil || f.relayed.After(best.relayed) {
			address, best = a, f
		}
	}
	if best == nil {
		return "", false
	}
	best.probed = now
	return address, true
}

// prune forgets upstreams that have not failed recently.
func (p *Paths) prune(now time.Time) {
	if p.lost {
		return
	}
	for a, f := range p.failing {
		if now.Sub(f.last) >= failureWindow && now.Sub(f.relayed) >= relayedRetention {
			delete(p.failing, a)
		}
	}
}
