package routing

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// checkHeap is a heap of a holder's upstreams, ordered by heldUpstream.nextCheck, the
// time before which no report is due for the upstream. An upstream that needs no
// further check is not in the heap.
type checkHeap []*heldUpstream

func (c checkHeap) Len() int           { return len(c) }
func (c checkHeap) Less(i, j int) bool { return c[i].nextCheck.Before(c[j].nextCheck) }

func (c checkHeap) Swap(i, j int) {
	c[i], c[j] = c[j], c[i]
	c[i].heapIndex, c[j].heapIndex = i, j
}

// Push and Pop implement heap.Interface. A heapIndex of -1 means that the upstream
// is not in the heap.
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

// schedule sets the time of the upstream's next check.
func (c *checkHeap) schedule(u *heldUpstream, t time.Time) {
	u.nextCheck = t
	if u.heapIndex < 0 {
		heap.Push(c, u)
		return
	}
	heap.Fix(c, u.heapIndex)
}

// checkNow makes the next call of Holder.Demands check the upstream. All code that
// changes a field that Demands reads must call it.
func (c *checkHeap) checkNow(u *heldUpstream) {
	if u.heapIndex < 0 || !u.nextCheck.IsZero() {
		c.schedule(u, time.Time{})
	}
}

// popDue removes and returns the upstreams to check now, sorted by ID so that
// reports do not depend on the order of the heap.
func (c *checkHeap) popDue(now time.Time) []*heldUpstream {
	var out []*heldUpstream
	for len(*c) > 0 && !(*c)[0].nextCheck.After(now) {
		out = append(out, heap.Pop(c).(*heldUpstream))
	}
	slices.SortFunc(out, func(a, b *heldUpstream) int { return cmp.Compare(a.id, b.id) })
	return out
}

// scheduleNext schedules the next check of an upstream that Demands has just
// checked: when the report that is due may be sent, when the periodic report is due,
// or when an unused entry may be removed. If the upstream changes before
// that, checkNow schedules an earlier check.
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
