package routing

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// checks is a heap of the upstreams at a holder, ordered by the time before which
// nothing is due for them. An upstream with nothing to come is not in it.
type checks []*held

func (c checks) Len() int           { return len(c) }
func (c checks) Less(i, j int) bool { return c[i].check.Before(c[j].check) }

func (c checks) Swap(i, j int) {
	c[i], c[j] = c[j], c[i]
	c[i].place, c[j].place = i, j
}

// Push and Pop are those of heap.Interface. A place of -1 means outside the heap.
func (c *checks) Push(x any) {
	s := x.(*held)
	s.place = len(*c)
	*c = append(*c, s)
}

func (c *checks) Pop() any {
	last := len(*c) - 1
	s := (*c)[last]
	(*c)[last] = nil
	*c = (*c)[:last]
	s.place = -1
	return s
}

// at sets the time of the next check.
func (c *checks) at(s *held, t time.Time) {
	s.check = t
	if s.place < 0 {
		heap.Push(c, s)
		return
	}
	heap.Fix(c, s.place)
}

// changed has Demands look at the upstream the next time. Whatever alters a field
// that Demands reads calls it.
func (c *checks) changed(s *held) {
	if s.place < 0 || !s.check.IsZero() {
		c.at(s, time.Time{})
	}
}

// take removes and returns the upstreams to look at now, in the order of their ids,
// so that reports do not depend on the order of the heap.
func (c *checks) take(now time.Time) []*held {
	var out []*held
	for len(*c) > 0 && !(*c)[0].check.After(now) {
		out = append(out, heap.Pop(c).(*held))
	}
	slices.SortFunc(out, func(a, b *held) int { return cmp.Compare(a.id, b.id) })
	return out
}

// plan enters the next check of an upstream for which Demands has just done what was
// due. Without a change, only the passing of time makes a report due or the entry
// obsolete.
func (c *checks) plan(s *held, active bool) {
	switch {
	case s.due:
		c.at(s, s.last.Add(urgentEvery))
	case active || s.active:
		c.at(s, s.last.Add(renewEvery))
	case !s.last.IsZero():
		c.at(s, s.last.Add(forgetAfter))
	}
}
