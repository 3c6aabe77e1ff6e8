package admission

import (
	"slices"
	"time"
)

// Class is a class of requests with its priority and latency targets.
type Class struct {
	Name string
	// Priority orders the classes: the class with the lowest number starts first and is
	// shed last.
	Priority int
	// FirstTokenTarget is the target for the time to the first token; zero for none.
	FirstTokenTarget time.Duration
	// CompletionTarget is the deadline for the whole response, above zero.
	CompletionTarget time.Duration
	// Deferrable is true if requests may wait until just before their deadline. Requests
	// of other classes are accepted only if their expected wait is within half of
	// FirstTokenTarget, and wait for at most four fifths of it.
	Deferrable bool
}

// Account is a client account.
type Account struct {
	// Weight is the account's relative share of contended capacity, above zero.
	Weight float64
	// Concurrency is the maximum number of requests that the account may run at a time
	// on all nodes together; zero for no limit.
	Concurrency int
}

// Policy holds the settings of a Controller.
type Policy struct {
	Classes  map[string]Class
	Accounts map[string]Account
	// MaxWaiting is the maximum number of waiting requests, above zero.
	MaxWaiting int
	// InitialUnitTime is the initial estimate of the time that one unit of work takes.
	InitialUnitTime time.Duration
}

// Request is a request to be admitted.
type Request struct {
	// ID is unique among the waiting and running requests of the Controller.
	ID      uint64
	Account string
	Class   string
	// Work is the estimated number of prompt and output tokens, above zero.
	Work float64
	// Deadline is set by the client; zero for the deadline of the class.
	Deadline time.Time
}

// Quota limits the requests that an account runs on all nodes together. In the
// serving system, these are slots of a routing.Holder under the name of the account.
type Quota interface {
	// Acquire takes a slot of the account. It returns false if none is free.
	Acquire(now time.Time, account string) bool
	// Release gives a slot back.
	Release(account string)
}

// A request is accepted if its expected wait is at most a fraction of the time until
// its startTarget. The rest is reserved for requests that may overtake it: those of
// higher classes and of accounts that use less than their share.
const (
	// classWaitStep is subtracted from the fraction for each higher priority.
	classWaitStep = 0.1
	// minWaitFraction is the lowest fraction after these subtractions.
	minWaitFraction = 0.6
	// overShareFactor scales the fraction for accounts that use more than their share. It
	// also scales the startLimit of the requests that such an account overtakes.
	overShareFactor = 0.7
)

// waitFraction returns the fraction for a class, which depends on the number of
// distinct priorities above its own.
func (p Policy) waitFraction(c Class) float64 {
	var higher []int
	for _, o := range p.Classes {
		if o.Priority < c.Priority && !slices.Contains(higher, o.Priority) {
			higher = append(higher, o.Priority)
		}
	}
	return max(minWaitFraction, 1-classWaitStep*float64(len(higher)))
}
