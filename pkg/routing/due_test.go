package routing

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// walk returns the upstreams with a report due, by a look at every entry.
func walk(h *Holder, now time.Time) []string {
	var out []string
	for _, id := range slices.Sorted(maps.Keys(h.slots)) {
		s := h.slots[id]
		since, low := now.Sub(s.last), min(s.low, s.running)
		active := s.running+s.queued+s.missed+s.wantAlone > 0 || s.grant.Slots > 0 && now.Before(s.until)
		if (s.due || low < s.claimed) && since >= urgentEvery || (active || s.active) && since >= renewEvery {
			out = append(out, id)
		}
	}
	return out
}

// A change that does not enter an upstream in the heap, or a time that is entered too
// late, would delay its report until the grant has expired.
func TestDemandsFindsWhatAWalkFinds(t *testing.T) {
	spans := []time.Duration{0, urgentEvery, urgentEvery, 100 * time.Millisecond, 100 * time.Millisecond, renewEvery, renewEvery, renewEvery, GrantTTL, forgetAfter}
	rapid.Check(t, func(t *rapid.T) {
		now, self, id, sequence := time.Unix(0, 0), Node{"n0", 1}, "u", uint64(0)
		o, h, view := NewOwner(now, self, DefaultPolicy()), NewHolder(self), View{Version: 1, Nodes: []Node{self}}
		tickets := []Ticket{{}}
		take := func(ticket Ticket, ok bool) {
			if ok {
				tickets = append(tickets, ticket)
			}
		}
		ops := []func(){
			func() { view.Version++ },
			func() { apply(h, o.Renew(now, view, now.Add(time.Second))) },
			func() { h.Renew(now, view, now.Add(time.Second)) },
			func() { apply(h, heard(o, now, id, sequence)) },
			func() { take(h.Take(now, id, 0)) },
			func() { h.FirstToken(&tickets[len(tickets)-1], sequence%4 == 0) },
			func() {
				h.Return(tickets[len(tickets)-1], sequence%16 == 0)
				tickets = tickets[:max(1, len(tickets)-1)]
			},
			func() { h.Queue(id, int(sequence%3)) },
			func() { h.WantAlone(id, int(sequence%5)/4); take(h.TakeAlone(now, id, 0)) },
			func() { now = now.Add(rapid.SampledFrom(spans).Draw(t, "later")); apply(h, o.Tick(now)) },
		}
		for _, op := range rapid.SliceOfN(rapid.IntRange(0, len(ops)+4), 300, 300).Draw(t, "operations") {
			sequence++
			id = []string{"u", "v"}[sequence/2%2]
			ops[min(op, len(ops)-1)]()
			want := walk(h, now)
			if got := exchange(o, h, now); !slices.Equal(got, want) {
				t.Fatalf("upstreams with a report due: got %v, want %v", got, want)
			}
		}
	})
}

// Reports on upstreams that a node does not use would be most of the control bytes.
func TestUnusedUpstreamCostsNoReports(t *testing.T) {
	o, h, now := alone(t)
	now = settle(t, o, h, now, 1)
	h.Queue("u", 1)
	exchange(o, h, now)
	h.Queue("u", 0)
	reports := 0
	for range 2000 {
		now = now.Add(urgentEvery)
		reports += len(exchange(o, h, now))
	}
	if reports > 3 {
		t.Errorf("reports in the 10 s after the last request: got %d, want at most 3", reports)
	}
}
