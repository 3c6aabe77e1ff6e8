package admission

import "time"

// Status describes the state of a Controller for operators.
type Status struct {
	Capacity int
	Running  int
	Waiting  int
	// OldestWait is how long the oldest waiting request has waited.
	OldestWait time.Duration
	// WaitingByClass and WaitingByAccount count waiting requests.
	WaitingByClass   map[string]int
	WaitingByAccount map[string]int
	// Load is the recently offered work relative to the capacity.
	Load float64
}

// Status returns the current state.
func (c *Controller) Status(now time.Time) Status {
	s := Status{
		Capacity: c.capacity, Running: len(c.running), Waiting: len(c.queue),
		WaitingByClass: make(map[string]int), WaitingByAccount: make(map[string]int),
	}
	for _, e := range c.queue {
		s.WaitingByClass[e.Request.Class]++
		s.WaitingByAccount[e.Account]++
		s.OldestWait = max(s.OldestWait, now.Sub(e.accepted))
	}
	work := 0.0
	for _, u := range c.offeredByClass {
		work += u.value(now)
	}
	s.Load = work / loadTimeConstant.Seconds() * c.durations.mean / float64(max(1, c.capacity))
	return s
}
