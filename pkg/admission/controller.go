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
	policy   Policy
	quota    Quota
	capacity int
	pace     pace
	queue    []*entry // in the order in which requests start
	running  map[uint64]*entry
	used     map[string]*usage
	waiting  map[string]int
	classes  map[string]*usage // offered work
	// finish is the virtual finish tag of each account's last request and virtual
	// the start tag of the last request that started, by class.
	finish  map[[2]string]float64
	virtual map[string]float64
	next    uint64
}

type entry struct {
	Request
	class Class
	// tag is the virtual start time of start-time fair queueing.
	tag      float64
	order    uint64
	accepted time.Time
	started  time.Time
	// latest is when the request should start, and limit when it has to start: later
	// requests of higher classes or of accounts below their share push it no further.
	latest   time.Time
	limit    time.Time
	deadline time.Time
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
		policy: policy, quota: quota, pace: pace{mean: policy.Unit.Seconds()},
		running: make(map[uint64]*entry), used: make(map[string]*usage), waiting: make(map[string]int),
		classes: make(map[string]*usage),
		finish:  make(map[[2]string]float64), virtual: make(map[string]float64),
	}
}

// Policy replaces the settings. Accepted requests keep their deadlines.
func (c *Controller) Policy(p Policy) { c.policy = p }

// Capacity sets how many requests the node may run at once for the service.
func (c *Controller) Capacity(slots int) { c.capacity = max(0, slots) }

// Waiting and Running return the numbers of requests held.
func (c *Controller) Waiting() int { return len(c.queue) }

// Running returns the number of started requests that are not done.
func (c *Controller) Running() int { return len(c.running) }

// Offer accepts a request, which Next later returns, or refuses it at once. The
// refusal states after how long the same request would be accepted if no other
// came, or no time where waiting does not help.
func (c *Controller) Offer(now time.Time, r Request) Decision {
	class, ok := c.policy.Classes[r.Class]
	if !ok || r.Work <= 0 {
		return refuse(verdict.CodeBadRequest, 400, 0, "the class of the request is not known, or it states no work")
	}
	e := c.entry(now, r, class)
	if e.latest.Before(now) {
		return refuse(verdict.CodeDeadline, 503, 0, "the request takes longer than its deadline allows")
	}
	if c.capacity == 0 {
		return refuse(verdict.CodeNoUpstream, 503, time.Second, "no upstream has room for the service")
	}
	if a := c.policy.Accounts[r.Account]; a.Concurrency > 0 && c.waiting[r.Account] >= a.Concurrency {
		return refuse(verdict.CodeAccountLimit, 429, time.Second, "the account has as many requests waiting as it may run")
	}
	over := c.over(now, r.Account, r.Work)
	allowed := c.allowed(now, e, over)
	c.offered(now, r.Class, r.Work)
	if len(c.queue) >= c.policy.Queue {
		return refuse(verdict.CodeOverloaded, 503, c.drain(), "too many requests are waiting")
	}
	at, _ := slices.BinarySearchFunc(c.queue, e, compare)
	starts := c.starts(now, at, e)
	start := starts[at]
	if wait := start.Sub(now) - allowed; wait > 0 {
		return refuse(verdict.CodeOverloaded, 503, wait, "the request would start too late to meet its deadline")
	}
	// The last start bounds the time until the queue is empty.
	drain := max(starts[len(starts)-1].Sub(now), time.Millisecond)
	if !c.kept(at, starts, over) {
		return refuse(verdict.CodeOverloaded, 503, drain, "the node is busy with requests that it accepted before")
	}
	c.insert(now, at, e)
	return Decision{Accepted: true, Wait: start.Sub(now)}
}

func refuse(code verdict.Code, status int, after time.Duration, detail string) Decision {
	return Decision{Refusal: &verdict.Error{
		Verdict: verdict.NotRun, Code: code, Status: status, RetryAfter: after, Detail: detail,
	}}
}

func (c *Controller) entry(now time.Time, r Request, class Class) *entry {
	e := &entry{Request: r, class: class, accepted: now, deadline: now.Add(class.Complete)}
	if !r.Deadline.IsZero() && r.Deadline.Before(e.deadline) {
		e.deadline = r.Deadline
	}
	e.limit = e.deadline.Add(-c.pace.estimate(r.Work))
	e.latest = e.limit
	if !class.Delay && class.First > 0 {
		e.latest = earlier(e.latest, now.Add(class.First/2))
		e.limit = earlier(e.limit, now.Add(class.First*4/5))
	}
	e.tag = max(c.virtual[r.Class], c.finish[[2]string{r.Account, r.Class}])
	c.next++
	e.order = c.next
	return e
}

// drain bounds the time until all waiting requests have started.
func (c *Controller) drain() time.Duration {
	var sum, longest time.Duration
	for _, e := range c.queue {
		sum += c.pace.estimate(e.Work)
	}
	for _, e := range c.running {
		d := c.pace.estimate(e.Work)
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
func (c *Controller) allowed(now time.Time, e *entry, over bool) time.Duration {
	f := c.policy.fraction(e.class) * (1 - c.higher(now, e.class))
	if over {
		f *= overShare
	}
	return time.Duration(f * float64(e.latest.Sub(now)))
}

// compare orders requests by class, then by fair share, then by arrival.
func compare(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.class.Priority, b.class.Priority), cmp.Compare(a.tag, b.tag), cmp.Compare(a.order, b.order))
}

func (c *Controller) insert(now time.Time, at int, e *entry) {
	c.queue = slices.Insert(c.queue, at, e)
	c.waiting[e.Account]++
	c.finish[[2]string{e.Account, e.Request.Class}] = e.tag + e.Work/c.weight(e.Account)
	c.use(now, e.Account, e.Work)
}

// starts projects when each waiting request starts, with e inserted at its place.
func (c *Controller) starts(now time.Time, at int, e *entry) []time.Time {
	ends := make([]time.Time, 0, c.capacity+len(c.running))
	for _, r := range c.running {
		end := r.started.Add(c.pace.estimate(r.Work))
		if !end.After(now) {
			end = now.Add(c.pace.estimate(r.Work) / 10) // it takes longer than expected
		}
		ends = append(ends, end)
	}
	slices.SortFunc(ends, time.Time.Compare)
	for len(ends) < c.capacity {
		ends = slices.Insert(ends, 0, now)
	}
	ends = ends[len(ends)-c.capacity:]
	out := make([]time.Time, len(c.queue)+1)
	h := newTimes(ends)
	for i := range out {
		q := e
		switch {
		case i < at:
			q = c.queue[i]
		case i > at:
			q = c.queue[i-1]
		}
		out[i] = h.first()
		h.replaceFirst(out[i].Add(c.pace.estimate(q.Work)))
	}
	return out
}

// kept tells whether the requests behind the inserted one still start in time. A
// request of an account that is over its share leaves them some of their slack.
func (c *Controller) kept(at int, starts []time.Time, over bool) bool {
	for i := at; i < len(c.queue); i++ {
		q := c.queue[i]
		limit := q.limit
		if over {
			limit = q.accepted.Add(time.Duration(overShare * float64(limit.Sub(q.accepted))))
		}
		if starts[i+1].After(limit) {
			return false
		}
	}
	return true
}
