package traffic

import "time"

// Parameters of a move to a new version.
const (
	// canaryPart is the part of the allowed exposure that the new version gets until it
	// is judged; the rest is for the time in which a fault shows under full load.
	canaryPart = 0.6
	// canaryTime is the part of a move's time in which the new version gets the canary
	// share only.
	canaryTime = 0.55
	// finishTime is how long before the deadline the move is declared done: the order
	// has to be recorded and read back by then.
	finishTime = 800 * time.Millisecond
	// leastFailures is the number of failures from which on they count as evidence.
	leastFailures = 3
	// failureMargin is how much higher the failure rate of a bad version is.
	failureMargin = 0.08
	// leastTimed is the number of answers whose mean time is compared, and slowFactor
	// how many times slower a bad version answers. Equal versions differ by less than
	// half between cold and warm upstreams.
	leastTimed = 6
	slowFactor = 2.5
	// slowFloor keeps differences of short answers from counting.
	slowFloor = 60 * time.Millisecond
)

// Outcomes counts the answers of one version on one route since a move began.
type Outcomes struct {
	Route string
	Sent  int
	Bad   int
	// Took is the sum of the times to the answers, or first events, that were good.
	Took time.Duration
}

// MoveState is a running move as its judge sees it.
type MoveState struct {
	Started, Deadline time.Time
	// Share is the share of the new version at present.
	Share float64
	// Exposure is the largest share of all requests that a bad version may get.
	Exposure float64
	// Present is true once the new version has upstreams.
	Present bool
	// Next and Before are the outcomes of the new and of the earlier versions.
	Next, Before []Outcomes
}

// MoveStep is what to do with a move now.
type MoveStep struct {
	Share float64
	Done  bool
	// Undo is the reason to take the move back; empty otherwise.
	Undo string
}

// Step decides on a move. A good version gets a canary share, then all requests, and
// is done before the deadline; a bad one is taken back as soon as the evidence shows.
func (m MoveState) Step(now time.Time) MoveStep {
	if cause := m.fault(); cause != "" {
		return MoveStep{Undo: cause}
	}
	finish := m.Deadline.Add(-finishTime)
	switch {
	case !now.Before(finish) && m.Share >= 1 && m.Present:
		return MoveStep{Share: 1, Done: true}
	case !now.Before(finish):
		return MoveStep{Undo: "the new version did not get all requests in time"}
	case !m.Present:
		return MoveStep{Share: m.Exposure * canaryPart}
	case m.Share >= 1, now.Sub(m.Started) >= time.Duration(canaryTime*float64(m.Deadline.Sub(m.Started))):
		return MoveStep{Share: 1}
	}
	return MoveStep{Share: m.Exposure * canaryPart}
}

// fault returns what shows that the new version is bad.
func (m MoveState) fault() string {
	next, before := sum(m.Next), sum(m.Before)
	if worse(next, before) {
		return "the new version fails more often"
	}
	for _, n := range m.Next {
		for _, b := range m.Before {
			if n.Route != b.Route {
				continue
			}
			if worse(n, b) {
				return "the new version fails more often on route " + n.Route
			}
			if slower(n, b) {
				return "the new version is slower on route " + n.Route
			}
		}
	}
	return ""
}

func sum(list []Outcomes) Outcomes {
	var s Outcomes
	for _, o := range list {
		s.Sent, s.Bad, s.Took = s.Sent+o.Sent, s.Bad+o.Bad, s.Took+o.Took
	}
	return s
}

func (o Outcomes) failureRate() float64 { return float64(o.Bad) / float64(max(1, o.Sent)) }

func worse(next, before Outcomes) bool {
	return next.Bad >= leastFailures && next.failureRate() > 2*before.failureRate()+failureMargin
}

func slower(next, before Outcomes) bool {
	if next.Sent-next.Bad < leastTimed || before.Sent-before.Bad < leastTimed {
		return false
	}
	n, b := next.Took/time.Duration(next.Sent-next.Bad), before.Took/time.Duration(before.Sent-before.Bad)
	return n > slowFloor && float64(n) > slowFactor*float64(b)
}
