// Package startup decides what a node does with requests while it can serve none, because it
// has just started or has lost its session: which of them wait, and when the others should
// come back. It does no I/O and reads no clock.
package startup

import "time"

const (
	// ServeTime is the time within which a deployment serves after all its processes start
	// together. With 107 entry nodes of 0.134 of a core, leases came 0.6 to 0.95 s after the
	// start of the entry nodes: voters start within 0.5 s, wait 0.28 s before they vote, and
	// all sessions start within 0.25 s after that.
	ServeTime = 1000 * time.Millisecond
	// SessionTime is the time within which a node that knows the leader gets its session, its
	// lease and the configuration.
	SessionTime = 250 * time.Millisecond
	// MinRetryAfter is the shortest Retry-After of a node that does not know when it will serve.
	// An election takes about as long.
	MinRetryAfter = 500 * time.Millisecond
	// waitShare is the largest share of the client's timeout for which a request waits, so
	// that a third is left to run it.
	waitShare = 2.0 / 3
	// freeShare is the share of the client's timeout for which a request may wait longer than
	// expected. A client that is refused comes back no sooner than a node that is late serves,
	// and has one try less; an eighth of its time is left over for that in any case.
	freeShare = 1.0 / 8
	// maxOverrun bounds that time, so that a node which does not get a lease refuses requests
	// about as soon as its clients could have asked another node.
	maxOverrun = time.Second
	// spreadShare is the part of MinRetryAfter over which returning clients are spread.
	spreadShare = 0.5
)

// Node is what a node knows about when it will serve.
type Node struct {
	// Started is when its process started.
	Started time.Time
	// LeaderSince is since when it has known the leader and had to get a lease from it; zero while
	// it knows none.
	LeaderSince time.Time
}

// servesAt returns when the node is expected to serve; false if nothing tells.
func (n Node) servesAt(now time.Time) (time.Time, bool) {
	if at := n.Started.Add(ServeTime); now.Before(at) {
		return at, true
	}
	at := n.LeaderSince.Add(SessionTime)
	return at, !n.LeaderSince.IsZero() && now.Before(at)
}

// Decision is what happens to a request that cannot be served yet.
type Decision struct {
	// Until is how long it waits; zero if it is refused at once.
	Until time.Time
	// RetryAfter is when its client should come back if it is refused.
	RetryAfter time.Duration
}

// Decide decides about a request that arrives, or is refused after its wait, at now. timeout is
// the time that its client waits from now on, zero if it named none; spread is in [0, 1) and
// differs between requests, so that clients do not come back in step.
//
// A request that waits is served as soon as the node serves. A client that is refused comes
// back no earlier, on a new connection and with one try less, and honours Retry-After only up
// to a third of its time. So a request waits whenever the node expects to serve with enough of
// the client's time left, and is refused at once otherwise.
func Decide(now time.Time, n Node, timeout time.Duration, spread float64) Decision {
	at, known := n.servesAt(now)
	remaining := MinRetryAfter
	if known {
		remaining = at.Sub(now)
	}
	d := Decision{RetryAfter: remaining + time.Duration(spread*spreadShare*float64(MinRetryAfter))}
	if known && float64(remaining) <= waitShare*float64(timeout) {
		overrun := min(time.Duration(freeShare*float64(timeout)), maxOverrun)
		d.Until = now.Add(max(remaining, overrun))
	}
	return d
}
