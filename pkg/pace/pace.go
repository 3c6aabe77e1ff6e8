// Package pace keeps the requests of all nodes together within the limits that upstreams
// name. A few nodes, which are the same by a hash at all nodes, share the rate of an
// upstream and space their requests. It does no I/O and reads no clock.
package pace

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// utilization is the part of a limit that is used, because requests of several nodes may
	// arrive together.
	utilization = 0.9
	// minNodeRate is the lowest rate that a node gets, in requests per second. If the limit
	// is too low for all nodes, fewer nodes use the upstream.
	minNodeRate = 0.5
	// minRate is the rate at which an upstream that names less is asked whether it still
	// does, in requests per second.
	minRate = 0.1
	// idleStep is the time without an answer of the upstream after which one further node
	// may send a request, and then the next in turn: the nodes that share its rate may have
	// no clients.
	idleStep = 2 * time.Second
	// retention is how long the answers of an upstream are remembered.
	retention = time.Minute
)

// Limit is the limit that an upstream named in an answer.
type Limit struct {
	// Upstream identifies one incarnation of an upstream.
	Upstream string
	// Rate is the number of requests per second that it takes from all nodes together; zero
	// if it named none.
	Rate float64
	// At is when the answer arrived.
	At time.Time
}

// ParseRate parses the limit that an upstream names, in requests per second; zero if it names
// none or what it names is no rate.
func ParseRate(value string) float64 {
	rate, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return 0
	}
	return usableRate(rate, rate >= 0)
}

// usableRate returns a named rate, at least minRate; zero if none is named or it is no rate.
func usableRate(rate float64, named bool) float64 {
	if !named || math.IsNaN(rate) || math.IsInf(rate, 0) {
		return 0
	}
	return max(rate, minRate)
}

type entry struct {
	Limit
	// own is when the last answer to this node arrived.
	own      time.Time
	lastSend time.Time
	rank     rank
}

// rank is this node's place in the order of nodes for an upstream, with the list that it is
// for.
type rank struct {
	// first points to the first name of the list and keeps the list alive, so that no other
	// list has the same address.
	first *string
	count int
	place int // -1 for a node that is not in the list
}

// Limits holds the limits of all upstreams that named one, as one node knows them.
type Limits struct {
	self    string
	entries map[string]*entry
}

// New returns the limits of a node.
func New(self string) *Limits { return &Limits{self: self, entries: make(map[string]*entry)} }

// Empty reports whether no upstream has named a limit.
func (l *Limits) Empty() bool { return len(l.entries) == 0 }

// Hear records the limit in an answer to this node. It reports whether the limit changed.
func (l *Limits) Hear(in Limit) (changed bool) {
	e := l.entries[in.Upstream]
	if e == nil && in.Rate == 0 {
		return false
	}
	changed = l.Merge(in)
	if e == nil {
		l.entries[in.Upstream].lastSend = in.At // not before
	}
	l.entries[in.Upstream].own = in.At
	return changed
}

// Merge records the limit in an answer to another node. It reports whether the limit
// changed.
func (l *Limits) Merge(in Limit) (changed bool) {
	e := l.entries[in.Upstream]
	if e == nil {
		e = &entry{}
		l.entries[in.Upstream] = e
	}
	if !in.At.After(e.At) {
		return false
	}
	in.Rate = usableRate(in.Rate, in.Rate > 0)
	changed = in.Rate != e.Rate
	e.Limit = in
	return changed
}

// Allows reports whether this node may send a request to the upstream now. nodes lists all
// nodes that send to upstreams and must not be modified afterwards.
func (l *Limits) Allows(now time.Time, upstream string, nodes []string) bool {
	e := l.entries[upstream]
	if e == nil || e.Rate == 0 {
		return true
	}
	place := e.place(l.self, nodes)
	sharing := max(1, min(len(nodes), int(e.Rate*utilization/minNodeRate)))
	interval := time.Duration(float64(sharing) / (e.Rate * utilization) * float64(time.Second))
	switch {
	case place < 0:
		return false // the node is about to get or to lose its session
	case place >= sharing:
		turn := int(now.Sub(e.At)/idleStep) - 1
		if turn < 0 || turn%(len(nodes)-sharing) != place-sharing {
			return false
		}
	}
	return now.Sub(e.lastSend) >= interval
}

// RecordSend records that a request is sent to the upstream.
func (l *Limits) RecordSend(now time.Time, upstream string) {
	if e := l.entries[upstream]; e != nil {
		e.lastSend = now
	}
}

// Known lists the limits of all upstreams, and forgets old ones.
func (l *Limits) Known(now time.Time) []Limit {
	return l.list(now, func(*entry) bool { return true })
}

// Own lists the limits whose last answer came to this node, and forgets old ones.
func (l *Limits) Own(now time.Time) []Limit {
	return l.list(now, func(e *entry) bool { return e.own.Equal(e.At) })
}

func (l *Limits) list(now time.Time, include func(*entry) bool) []Limit {
	var out []Limit
	for upstream, e := range l.entries {
		switch {
		case now.Sub(e.At) >= retention:
			delete(l.entries, upstream)
		case include(e):
			out = append(out, e.Limit)
		}
	}
	return out
}

// place returns this node's place in the order of nodes by hash, which differs between
// upstreams; -1 if the list does not have it.
func (e *entry) place(self string, nodes []string) int {
	if len(nodes) == 0 {
		return -1
	}
	if e.rank.first == &nodes[0] && e.rank.count == len(nodes) {
		return e.rank.place
	}
	e.rank = rank{&nodes[0], len(nodes), -1}
	if slices.Contains(nodes, self) {
		own := order(e.Upstream, self)
		e.rank.place = 0
		for _, n := range nodes {
			if n != self && order(e.Upstream, n) < own {
				e.rank.place++
			}
		}
	}
	return e.rank.place
}

func order(upstream, node string) uint64 { return xxhash.Sum64String(upstream + "\x00" + node) }
