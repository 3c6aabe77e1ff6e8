package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/jaystage/jaystage/pkg/verdict"
)

// Controller admits the requests of one service on one node. An accepted request
// starts by its latest start as long as the capacity does not fall and the
// account's quota is not used up elsewhere.
type Controller struct {
	policy           Policy
	quota            Quota
	capacity         int
	durations        durationEstimator
	queue            []*entry // in the order in which requests start
	running          map[uint64]*entry
	accountUsage     map[string]*decayingSum
	waitingByAccount map[string]int
	offeredByClass   map[string]*decayingSum // offered work
	// finish is the virtual finish tag of each account's last request and virtual
	// the start tag of the last request that started, by class.
	lastFinishTag map[[2]string]float64
	virtualTime   map[string]float64
	lastSequence  uint64
}

type entry struct {
	Request
	class Class
	// tag is the virtual start time of start-time fair queueing.
	virtualStart float64
	sequence     uint64
	accepted     time.Time
	started      time.Time
	// latest is when the request should start, and limit when it has to start: later
	// requests of higher classes or of accounts below their share push it no further.
	startTarget time.Time
	startLimit  time.Time
	deadline    time.Time
}

// Decision tells whether a request was accepted.
type Decision struct {
	Accepted bool
	// Wait is the expected time until the request starts.
	Wait time.Duration
	// Refusal is set when the request was not accepted; its verdict is NotRun.
	Refusal *verdict.Error
}

// New returns a controller without capacity. quota may be nil.
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

// SetCapacity sets how many requests the node may run at once for the service.
func (c *Controller) SetCapacity(slots int) { c.capacity = max(0, slots) }

// Waiting and Running return the numbers of requests held.
func (c *Controller) Waiting() int { return len(c.queue) }

// Running returns the number of started requests that are not done.
func (c *Controller) Running() int { return len(c.running) }

// Admit accepts a request, which Next later returns, or refuses it at once. The
// refusal states after how long the same request would be accepted if no other
// came, or no time where waiting does not help.
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
	// The last start bounds the time until the queue is empty.
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
	e.virtualStart = max(c.virtualTime[r.Class], c.lastFinishTag[[2]string{r.Account, r.Class}])
	c.lastSequence++
	e.sequence = c.lastSequence
	return e
}

// drain bounds the time until all waiting requests have started.
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

// allowed is the longest expected wait at which the request is accepted. Requests
// of higher classes will go first, so their recent load takes its part of the time
// until the latest start; when they fill the capacity, lower classes are shed.
func (c *Controller) maxWait(now time.Time, e *entry, overShare bool) time.Duration {
	f := c.policy.waitFraction(e.class) * (1 - c.higherClassLoad(now, e.class))
	if overShare {
		f *= overShareFactor
	}
	return time.Duration(f * float64(e.startTarget.Sub(now)))
}

// compare orders requests by class, then by fair share, then by arrival.
func compareEntries(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.class.Priority, b.class.Priority), cmp.Compare(a.virtualStart, b.virtualStart), cmp.Compare(a.sequence, b.sequence))
}

func (c *Controller) insert(now time.Time, at int, e *entry) {
	c.queue = slices.Insert(c.queue, at, e)
	c.waitingByAccount[e.Account]++
	c.lastFinishTag[[2]string{e.Account, e.Request.Class}] = e.virtualStart + e.Work/c.weight(e.Account)
	c.recordUsage(now, e.Account, e.Work)
}

// starts projects when each waiting request starts, with e inserted at its place.
func (c *Controller) projectStarts(now time.Time, at int, e *entry) []time.Time {
	ends := make([]time.Time, 0, c.capacity+len(c.running))
	for _, r := range c.running {
		end := r.started.Add(c.durations.estimate(r.Work))
		if !end.After(now) {
			end = now.Add(c.durations.estimate(r.Work) / 10) // it takes longer than expected
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

// kept tells whether the requests behind the inserted one still start in time. A
// request of an account that is over its share leaves them some of their slack.
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
