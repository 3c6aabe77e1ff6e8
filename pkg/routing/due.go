package routing

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// checks is a heap of the upstreams at a holder, ordered by the time before which
// nothing is due for them. An upstream with nothing to come is not in it.
type checkHeap []*heldUpstream

func (c checkHeap) Len() int           { return len(c) }
func (c checkHeap) Less(i, j int) bool { return c[i].nextCheck.Before(c[j].nextCheck) }

func (c checkHeap) Swap(i, j int) {
	c[i], c[j] = c[j], c[i]
	c[i].heapIndex, c[j].heapIndex = i, j
}

// Push and Pop are those of heap.Interface. A place of -1 means outside the heap.
func (c *checkHeap) Push(x any) {
	u := x.(*heldUpstream)
	u.heapIndex = len(*c)
	*c = append(*c, u)
}

func (c *checkHeap) Pop() any {
	last := len(*c) - 1
	u := (*c)[last]
	(*c)[last] = nil
	*c = (*c)[:last]
	u.heapIndex = -1
	return u
}

// at sets the time of the next check.
func (c *checkHeap) schedule(u *heldUpstream, t time.Time) {
	u.nextCheck = t
	if u.heapIndex < 0 {
		heap.Push(c, u)
		return
	}
	heap.Fix(c, u.heapIndex)
}

// changed has Demands look at the upstream the next time. Whatever alters a field
// that Demands reads calls it.
func (c *checkHeap) checkNow(u *heldUpstream) {
	if u.heapIndex < 0 || !u.nextCheck.IsZero() {
		c.schedule(u, time.Time{})
	}
}

// take removes and returns the upstreams to look at now, in the order of their ids,
// so that reports do not depend on the order of the heap.
func (c *checkHeap) popDue(now time.Time) []*heldUpstream {
	var out []*heldUpstream
	for len(*c) > 0 && !(*c)[0].nextCheck.After(now) {
		out = append(out, heap.Pop(c).(*heldUpstream))
	}
	slices.SortFunc(out, func(a, b *heldUpstream) int { return cmp.Compare(a.id, b.id) })
	return out
}

// plan enters the next check of an upstream for which Demands has just done what was
// due. Without a change, only the passing of time makes a report due or the entry
// obsolete.
func (c *checkHeap) scheduleNext(u *heldUpstream, active bool) {
	switch {
	case u.reportDue:
		c.schedule(u, u.lastReport.Add(minReportInterval))
	case active || u.wasActive:
		c.schedule(u, u.lastReport.Add(renewInterval))
	case !u.lastReport.IsZero():
		c.schedule(u, u.lastReport.Add(evictAfter))
	}
}
