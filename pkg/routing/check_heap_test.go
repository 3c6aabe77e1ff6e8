package routing

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// dueByScan returns the upstreams with a report due. It checks every entry instead
// of using the heap.
func dueByScan(h *Holder, now time.Time) []string {
	var out []string
	for _, id := range slices.Sorted(maps.Keys(h.upstreams)) {
		u := h.upstreams[id]
		since, minRunning := now.Sub(u.lastReport), min(u.minRunning, u.running)
		active := u.running+u.queued+u.deniedTakes+u.isolationRequests > 0 || u.grant.Slots > 0 && now.Before(u.grantExpires)
		if (u.reportDue || minRunning < u.reportedMinRunning) && since >= minReportInterval || (active || u.wasActive) && since >= renewInterval {
			out = append(out, id)
		}
	}
	return out
}

// TestDemandsMatchesFullScan guards against reports that are sent only after the
// grant has expired, because a change did not schedule a check of the upstream or
// scheduled it too late.
func TestDemandsMatchesFullScan(t *testing.T) {
	spans := []time.Duration{0, minReportInterval, minReportInterval, 100 * time.Millisecond, 100 * time.Millisecond, renewInterval, renewInterval, renewInterval, GrantTTL, evictAfter}
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
			func() { applyGrants(h, o.Renew(now, view, now.Add(time.Second))) },
			func() { h.Renew(now, view, now.Add(time.Second)) },
			func() { applyGrants(h, heartbeatGrants(o, now, id, sequence)) },
			func() { take(h.Take(now, id, 0)) },
			func() { h.RecordFirstToken(&tickets[len(tickets)-1], sequence%4 == 0) },
			func() {
				h.Return(tickets[len(tickets)-1], sequence%16 == 0)
				tickets = tickets[:max(1, len(tickets)-1)]
			},
			func() { h.SetQueued(id, int(sequence%3)) },
			func() { h.RequestIsolation(id, int(sequence%5)/4); take(h.TakeIsolated(now, id, 0)) },
			func() { now = now.Add(rapid.SampledFrom(spans).Draw(t, "later")); applyGrants(h, o.Tick(now)) },
		}
		for _, op := range rapid.SliceOfN(rapid.IntRange(0, len(ops)+4), 300, 300).Draw(t, "operations") {
			sequence++
			id = []string{"u", "v"}[sequence/2%2]
			ops[min(op, len(ops)-1)]()
			want := dueByScan(h, now)
			if got := deliverReports(o, h, now); !slices.Equal(got, want) {
				t.Fatalf("upstreams with a report due: got %v, want %v", got, want)
			}
		}
	})
}

// TestUnusedUpstreamSendsNoReports guards against periodic reports on upstreams that
// a node does not use; they would make up most of the control traffic.
func TestUnusedUpstreamSendsNoReports(t *testing.T) {
	o, h, now := newSingleNode(t)
	now = settleOwner(t, o, h, now, 1)
	h.SetQueued("u", 1)
	deliverReports(o, h, now)
	h.SetQueued("u", 0)
	reports := 0
	for range 2000 {
		now = now.Add(minReportInterval)
		reports += len(deliverReports(o, h, now))
	}
	if reports > 3 {
		t.Errorf("reports in the 10 s after the last request: got %d, want at most 3", reports)
	}
}
