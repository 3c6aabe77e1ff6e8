package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/jaystage/jaystage/pkg/verdict"
)

// Controller admits the requests of one service on one node. An accepted request
// starts by its start limit unless the capacity falls or the account's quota is in use
// on other nodes.
type Controller struct {
	policy           Policy
	quota            Quota
	capacity         int
	durations        durationEstimator
	queue            []*entry // in start order
	running          map[uint64]*entry
	accountUsage     map[string]*decayingSum
	waitingByAccount map[string]int
	offeredByClass   map[string]*decayingSum // offered work
	// State of start-time fair queueing. lastFinishTag is the virtual finish time of the
	// last request of each account and class. virtualTime is the highest start tag of the
	// started requests of each class.
	lastFinishTag map[[2]string]float64
	virtualTime   map[string]float64
	lastSequence  uint64
}

type entry struct {
	Request
	class Class
	// startTag is the virtual start time of the request in start-time fair queueing.
	startTag float64
	sequence uint64
	accepted time.Time
	started  time.Time
	// A request is accepted only if it is expected to start by startTarget. Requests
	// of higher classes or of accounts below their share that are accepted later may
	// delay it up to startLimit.
	startTarget time.Time
	startLimit  time.Time
	deadline    time.Time
}

// Decision is the result of Admit.
type Decision struct {
	Accepted bool
	// Wait is the expected time until the request starts.
	Wait time.Duration
	// Refusal is set if the request was not accepted; its verdict is NotRun.
	Refusal *verdict.Error
}

// New returns a controller with a capacity of zero. quota may be nil.
func New(policy Policy, quota Quota) *Controller {
	return &Controller{
		policy: policy, quota: quota, durations: durationEstimator{mean: policy.InitialUnitTime.Seconds()},
		running: make(map[uint64]*entry), accountUsage: make(map[string]*decayingSum), waitingByAccount: make(map[string]int),
		offeredByClass: make(map[string]*decayingSum),
		lastFinishTag:  make(map[[2]string]float64), virtualTime: make(map[string]float64),
	}
}

// SetPolicy replaces the settings. Accepted requests keep their deadlines.
func (c *Controller) SetPolicy(p Policy) { c.policy = p }

// SetCapacity sets how many requests the node may run at a time for the service.
func (c *Controller) SetCapacity(slots int) { c.capacity = max(0, slots) }

// Waiting returns the number of waiting requests.
func (c *Controller) Waiting() int { return len(c.queue) }

// Running returns the number of started requests that have not ended.
func (c *Controller) Running() int { return len(c.running) }

// Admit accepts a request, which Next returns later, or refuses it at once. The
// RetryAfter of a refusal is the time after which the same request would be accepted
// if no other requests arrived, or zero if waiting does not help.
func (c *Controller) Admit(now time.Time, r Request) Decision {
	class, ok := c.policy.Classes[r.Class]
	if !ok || r.Work <= 0 {
		return refuse(verdict.CodeBadRequest, 400, 0, "the class of the request is not known, or it states no work")
	}
	e := c.newEntry(now, r, class)
	if e.startTarget.Before(now) {
		return refuse(verdict.CodeDeadline, 503, 0, "the request takes longer than its deadline allows")
	}
	if c.capacity == 0 {
		return refuse(verdict.CodeNoUpstream, 503, time.Second, "no upstream has room for the service")
	}
	if a := c.policy.Accounts[r.Account]; a.Concurrency > 0 && c.waitingByAccount[r.Account] >= a.Concurrency {
		return refuse(verdict.CodeAccountLimit, 429, time.Second, "the account has as many requests waiting as it may run")
	}
	overShare := c.overShare(now, r.Account, r.Work)
	maxWait := c.maxWait(now, e, overShare)
	c.recordOffered(now, r.Class, r.Work)
	if len(c.queue) >= c.policy.MaxWaiting {
		return refuse(verdict.CodeOverloaded, 503, c.queueDrainTime(), "too many requests are waiting")
	}
	at, _ := slices.BinarySearchFunc(c.queue, e, compareEntries)
	starts := c.projectStarts(now, at, e)
	start := starts[at]
	if wait := start.Sub(now) - maxWait; wait > 0 {
		return refuse(verdict.CodeOverloaded, 503, wait, "the request would start too late to meet its deadline")
	}
	// The queue is empty once the last waiting request has started.
	drainTime := max(starts[len(starts)-1].Sub(now), time.Millisecond)
	if !c.laterRequestsStartInTime(at, starts, overShare) {
		return refuse(verdict.CodeOverloaded, 503, drainTime, "the node is busy with requests that it accepted before")
	}
	c.insert(now, at, e)
	return Decision{Accepted: true, Wait: start.Sub(now)}
}

func refuse(code verdict.Code, status int, after time.Duration, detail string) Decision {
	return Decision{Refusal: &verdict.Error{
		Verdict: verdict.NotRun, Code: code, Status: status, RetryAfter: after, Detail: detail,
	}}
}

func (c *Controller) newEntry(now time.Time, r Request, class Class) *entry {
	e := &entry{Request: r, class: class, accepted: now, deadline: now.Add(class.CompletionTarget)}
	if !r.Deadline.IsZero() && r.Deadline.Before(e.deadline) {
		e.deadline = r.Deadline
	}
	e.startLimit = e.deadline.Add(-c.durations.estimate(r.Work))
	e.startTarget = e.startLimit
	if !class.Deferrable && class.FirstTokenTarget > 0 {
		e.startTarget = earlier(e.startTarget, now.Add(class.FirstTokenTarget/2))
		e.startLimit = earlier(e.startLimit, now.Add(class.FirstTokenTarget*4/5))
	}
	e.startTag = max(c.virtualTime[r.Class], c.lastFinishTag[[2]string{r.Account, r.Class}])
	c.lastSequence++
	e.sequence = c.lastSequence
	return e
}

// queueDrainTime returns an upper bound of the time until all waiting requests have
// started.
func (c *Controller) queueDrainTime() time.Duration {
	var sum, longest time.Duration
	for _, e := range c.queue {
		sum += c.durations.estimate(e.Work)
	}
	for _, e := range c.running {
		d := c.durations.estimate(e.Work)
		sum += d
		longest = max(longest, d)
	}
	return sum/time.Duration(max(1, c.capacity)) + longest
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// maxWait returns the longest expected wait with which the request is accepted.
// Requests of higher classes start first, so their recent load shortens this wait by
// the fraction of the capacity that it needs. If it fills the capacity, lower classes
// are shed.
func (c *Controller) maxWait(now time.Time, e *entry, overShare bool) time.Duration {
	f := c.policy.waitFraction(e.class) * (1 - c.higherClassLoad(now, e.class))
	if overShare {
		f *= overShareFactor
	}
	return time.Duration(f * float64(e.startTarget.Sub(now)))
}

// compareEntries orders requests by the priority of their class, then by start tag, so
// that the accounts of a class get their fair shares, then by arrival.
func compareEntries(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.class.Priority, b.class.Priority), cmp.Compare(a.startTag, b.startTag), cmp.Compare(a.sequence, b.sequence))
}

func (c *Controller) insert(now time.Time, at int, e *entry) {
	c.queue = slices.Insert(c.queue, at, e)
	c.waitingByAccount[e.Account]++
	c.lastFinishTag[[2]string{e.Account, e.Request.Class}] = e.startTag + e.Work/c.weight(e.Account)
	c.recordUsage(now, e.Account, e.Work)
}

// projectStarts estimates when each waiting request starts if e is inserted in the
// queue at the given index.
func (c *Controller) projectStarts(now time.Time, at int, e *entry) []time.Time {
	ends := make([]time.Time, 0, c.capacity+len(c.running))
	for _, r := range c.running {
		end := r.started.Add(c.durations.estimate(r.Work))
		if !end.After(now) {
			end = now.Add(c.durations.estimate(r.Work) / 10) // it has exceeded its estimate
		}
		ends = append(ends, end)
	}
	slices.SortFunc(ends, time.Time.Compare)
	for len(ends) < c.capacity {
		ends = slices.Insert(ends, 0, now)
	}
	ends = ends[len(ends)-c.capacity:]
	out := make([]time.Time, len(c.queue)+1)
	h := newTimeHeap(ends)
	for i := range out {
		q := e
		switch {
		case i < at:
			q = c.queue[i]
		case i > at:
			q = c.queue[i-1]
		}
		out[i] = h.earliest()
		h.replaceEarliest(out[i].Add(c.durations.estimate(q.Work)))
	}
	return out
}

// laterRequestsStartInTime reports whether the requests behind the inserted one still
// start by their startLimit. If the account of the inserted request is over its share,
// it must leave them part of the time between their acceptance and their startLimit.
func (c *Controller) laterRequestsStartInTime(at int, starts []time.Time, overShare bool) bool {
	for i := at; i < len(c.queue); i++ {
		q := c.queue[i]
		limit := q.startLimit
		if overShare {
			limit = q.accepted.Add(time.Duration(overShareFactor * float64(limit.Sub(q.accepted))))
		}
		if starts[i+1].After(limit) {
			return false
		}
	}
	return true
}
