// Package drain decides which requests a node that is stopping still starts. It does no I/O
// and reads no clock.
package drain

import "time"

const (
	// The longest recent answer is multiplied by headroomFactor, and headroom added: the next
	// one may take longer than all before. Fewer than manySamples answers tell less.
	headroomFactor    = 1.25
	fewHeadroomFactor = 2.0
	headroom          = 100 * time.Millisecond
	// earlyShare is the share of the window in which a request may start that is only likely
	// to end in time. It has twice as long as the node has been stopping.
	earlyShare = 1.0 / 3
)

// Window is the time that a node has from its stop signal to its end. The zero value is that
// of a node that is not stopping.
type Window struct {
	// Start is when the stop was requested.
	Start time.Time
	// Settled is when the load balancer sends no new clients any more; not before Start.
	Settled time.Time
	// End is when the requests that are still open are ended; not before Settled.
	End time.Time
}

// Stopping reports whether the node has been told to stop.
func (w Window) Stopping() bool { return !w.Start.IsZero() }

// Admits reports whether a request may start at a time. Its answer has to be complete before
// the end: by its deadline, or judging by the recent answers to requests like it.
//
// Until the load balancer has noticed the stop, but no longer than earlyShare of the window, a
// request is admitted unless its usual time is longer than what is left, since clients have no
// other node yet. Later, the longest recent time must fit: a client that is refused is served
// by another node at once, one whose answer is cut may not repeat its request. What is breakable,
// since no verdict can take the place of the end of its answer once that has begun, must then
// fit by its deadline: an upstream may have become slower than all recent answers tell.
func (w Window) Admits(now, deadline time.Time, breakable bool, e Estimate) bool {
	switch {
	case !w.Stopping(), !deadline.Add(headroom).After(w.End):
		return true
	case now.Before(w.Settled) && now.Sub(w.Start) < time.Duration(earlyShare*float64(w.End.Sub(w.Start))):
		return !e.Known || !now.Add(e.Mean).After(w.End)
	case breakable:
		return false
	}
	factor := headroomFactor
	if e.Count < manySamples {
		factor = fewHeadroomFactor
	}
	return e.Known && !now.Add(time.Duration(factor*float64(e.Longest))+headroom).After(w.End)
}
