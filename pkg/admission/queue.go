package admission

import (
	"container/heap"
	"slices"
	"time"

	"github.com/jaystage/jaystage/pkg/verdict"
)

// Dequeued is a request that Next has removed from the queue.
type Dequeued struct {
	Request
	// Deadline is when the whole response is due.
	Deadline time.Time
	// Refusal is set if the request can no longer meet its deadline because the capacity
	// fell or the account's quota was in use on other nodes. Its verdict is NotRun.
	Refusal *verdict.Error
}

// Next returns a request that starts now or, with Refusal set, one that can no longer
// meet its deadline. Call it until it returns false, after each change of capacity,
// quota or queue.
func (c *Controller) Next(now time.Time) (Dequeued, bool) {
	var blocked []string
	for i, e := range c.queue {
		late := now.Add(c.durations.estimate(e.Work) / 2).After(e.deadline)
		if late {
			c.removeAt(i)
			c.recordUsage(now, e.Account, -e.Work)
			refusal := refuse(verdict.CodeDeadline, 503, time.Second, "the request waited until its deadline could not be met").Refusal
			return Dequeued{Request: e.Request, Deadline: e.deadline, Refusal: refusal}, true
		}
		if len(c.running) >= c.capacity || slices.Contains(blocked, e.Account) {
			continue
		}
		if c.hasQuota(e.Account) && !c.quota.Acquire(now, e.Account) {
			blocked = append(blocked, e.Account)
			continue
		}
		c.removeAt(i)
		e.started = now
		c.running[e.ID] = e
		c.virtualTime[e.Request.Class] = max(c.virtualTime[e.Request.Class], e.startTag)
		return Dequeued{Request: e.Request, Deadline: e.deadline}, true
	}
	return Dequeued{}, false
}

// hasQuota reports whether requests of the account need a slot of the quota.
func (c *Controller) hasQuota(account string) bool {
	return c.quota != nil && c.policy.Accounts[account].Concurrency > 0
}

func (c *Controller) removeAt(i int) {
	e := c.queue[i]
	c.queue = slices.Delete(c.queue, i, i+1)
	c.untrackWaiting(e)
}

// untrackWaiting updates the account's state after a request has left the queue.
func (c *Controller) untrackWaiting(e *entry) {
	if c.waitingByAccount[e.Account]--; c.waitingByAccount[e.Account] > 0 {
		return
	}
	delete(c.waitingByAccount, e.Account)
	// A finish tag that the virtual time has passed no longer affects the order.
	for key, tag := range c.lastFinishTag {
		if key[0] == e.Account && tag <= c.virtualTime[key[1]] {
			delete(c.lastFinishTag, key)
		}
	}
}

// Outcome is the result of a started request.
type Outcome struct {
	ID uint64
	// Completed is true if an upstream ran the request to its end. Only then does its
	// duration update the estimate of the time per unit of work.
	Completed bool
	// Work is the actual number of tokens; zero to use the estimate.
	Work float64
}

// Done ends a started request.
func (c *Controller) Done(now time.Time, o Outcome) {
	e, ok := c.running[o.ID]
	if !ok {
		return
	}
	delete(c.running, o.ID)
	if c.hasQuota(e.Account) {
		c.quota.Release(e.Account)
	}
	work := o.Work
	if work <= 0 {
		work = e.Work
	}
	if o.Completed {
		c.durations.update(now.Sub(e.started).Seconds() / work)
	}
	c.recordUsage(now, e.Account, work-e.Work)
}

// Requeue puts a started request back in its place in the queue because no upstream
// had a free slot for it. No part of the request may have been sent.
func (c *Controller) Requeue(id uint64) {
	e, ok := c.running[id]
	if !ok {
		return
	}
	delete(c.running, id)
	if c.hasQuota(e.Account) {
		c.quota.Release(e.Account)
	}
	at, _ := slices.BinarySearchFunc(c.queue, e, compareEntries)
	c.queue = slices.Insert(c.queue, at, e)
	c.waitingByAccount[e.Account]++
}

// Cancel removes a waiting request whose client has disconnected. It returns false if
// the request is not waiting; a started one ends with Done.
func (c *Controller) Cancel(now time.Time, id uint64) bool {
	i := slices.IndexFunc(c.queue, func(e *entry) bool { return e.ID == id })
	if i < 0 {
		return false
	}
	c.recordUsage(now, c.queue[i].Account, -c.queue[i].Work)
	c.removeAt(i)
	return true
}

// timeHeap is a heap of the times at which slots become free.
type timeHeap []time.Time

func newTimeHeap(sorted []time.Time) *timeHeap {
	h := timeHeap(sorted)
	return &h
}

func (h *timeHeap) earliest() time.Time { return (*h)[0] }

func (h *timeHeap) replaceEarliest(t time.Time) {
	(*h)[0] = t
	heap.Fix(h, 0)
}

// Len implements heap.Interface.
func (h *timeHeap) Len() int { return len(*h) }

// Less implements heap.Interface.
func (h *timeHeap) Less(i, j int) bool { return (*h)[i].Before((*h)[j]) }

// Swap implements heap.Interface.
func (h *timeHeap) Swap(i, j int) { (*h)[i], (*h)[j] = (*h)[j], (*h)[i] }

// Push implements heap.Interface.
func (h *timeHeap) Push(x any) { *h = append(*h, x.(time.Time)) }

// Pop implements heap.Interface.
func (h *timeHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
