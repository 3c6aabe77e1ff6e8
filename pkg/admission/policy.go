package admission

import (
	"slices"
	"time"
)

// Class is a kind of request with its targets.
type Class struct {
	Name string
	// Priority orders classes; the lowest number starts first and is shed last.
	Priority int
	// FirstTokenTarget is the target for the first token, zero for none.
	FirstTokenTarget time.Duration
	// CompletionTarget is the deadline of the whole answer, above zero.
	CompletionTarget time.Duration
	// Deferrable is true when the class may wait until just before its deadline. Other
	// classes are accepted for a wait of half of First and wait for four fifths of it.
	Deferrable bool
}

// Account is a client account.
type Account struct {
	// Weight is the account's part of contended capacity, above zero.
	Weight float64
	// Concurrency is the most requests that the account runs at once over all nodes
	// together; zero for no limit.
	Concurrency int
}

// Policy holds the settings of a Controller.
type Policy struct {
	Classes  map[string]Class
	Accounts map[string]Account
	// MaxWaiting is the most requests that wait at once, above zero.
	MaxWaiting int
	// InitialUnitTime is the first guess of the time that one unit of work takes.
	InitialUnitTime time.Duration
}

// Request is one request of a caller.
type Request struct {
	// ID is unique among the requests that the Controller holds.
	ID      uint64
	Account string
	Class   string
	// Work is the estimated number of prompt and output tokens, above zero.
	Work float64
	// Deadline is the caller's own deadline; zero for that of the class.
	Deadline time.Time
}

// Quota limits the requests that an account runs over all nodes together. The
// slots of routing.Holder under the name of the account are such a quota.
type Quota interface {
	// Acquire uses a place for the account, if there is one.
	Acquire(now time.Time, account string) bool
	// Release gives a place back.
	Release(account string)
}

// Fractions of the time until a request's latest start that it may expect to
// wait when it is accepted. What they leave is room for requests that may go
// first: those of higher classes, and of accounts that use less than their share.
const (
	// classWaitStep is what each class above the request's own takes off.
	classWaitStep = 0.1
	// minWaitFraction bounds the sum of these steps.
	minWaitFraction = 0.6
	// overShareFactor is the part for accounts that use more than their share.
	overShareFactor = 0.7
)

// waitFraction returns the waitFraction for a class by its rank among the priorities.
func (p Policy) waitFraction(c Class) float64 {
	var higher []int
	for _, o := range p.Classes {
		if o.Priority < c.Priority && !slices.Contains(higher, o.Priority) {
			higher = append(higher, o.Priority)
		}
	}
	return max(minWaitFraction, 1-classWaitStep*float64(len(higher)))
}
