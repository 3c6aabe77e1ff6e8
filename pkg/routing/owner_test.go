package routing

import (
	"testing"
	"time"

	"github.com/jaystage/jaystage/pkg/wire"
)

// newSingleNode returns the owner and holder of a cell with a single node.
func newSingleNode(t *testing.T) (*Owner, *Holder, time.Time) {
	t.Helper()
	now := time.Unix(0, 0)
	self := Node{"n0", 1}
	o, h := NewOwner(now, self, DefaultPolicy()), NewHolder(self)
	v := View{Version: 1, Nodes: []Node{self}}
	o.Renew(now, v, now.Add(time.Hour))
	h.Renew(now, v, now.Add(time.Hour))
	return o, h, now
}

func announce(incarnation, sequence uint64) wire.Announce {
	return wire.Announce{ID: "u", Incarnation: incarnation, Sequence: sequence, Limit: 8, Ready: true}
}

// settleOwner sends heartbeats until the owner may grant.
func settleOwner(t *testing.T, o *Owner, h *Holder, now time.Time, incarnation uint64) time.Time {
	t.Helper()
	for i := range uint64(20) {
		_, grants := o.HandleHeartbeat(now, announce(incarnation, i+1), 8)
		applyGrants(h, grants)
		deliverReports(o, h, now)
		now = now.Add(200 * time.Millisecond)
	}
	if got := o.Limit(now, "u"); got != 8 {
		t.Fatalf("limit of a settled owner: got %d, want 8", got)
	}
	return now
}

func applyGrants(h *Holder, grants []Grant) {
	for _, g := range grants {
		h.Apply(g)
	}
}

// deliverReports delivers the due reports and the resulting grants. It returns the
// reported upstreams in the order of the reports.
func deliverReports(o *Owner, h *Holder, now time.Time) (reported []string) {
	for _, d := range h.Demands(now) {
		reported = append(reported, d.Upstream)
		applyGrants(h, o.HandleDemand(now, d))
	}
	return reported
}

// heartbeatGrants returns the grants that result from a heartbeat of the upstream.
func heartbeatGrants(o *Owner, now time.Time, id string, sequence uint64) []Grant {
	a := announce(1, sequence)
	a.ID = id
	_, grants := o.HandleHeartbeat(now, a, 8)
	return grants
}

func TestHeartbeats(t *testing.T) {
	t.Run("an older sequence does not override a newer one", func(t *testing.T) {
		o, h, now := newSingleNode(t)
		now = settleOwner(t, o, h, now, 2)
		leaving := announce(2, 100)
		leaving.Leaving = true
		o.HandleHeartbeat(now, leaving, 8)
		o.HandleHeartbeat(now, announce(2, 99), 8)
		if got := o.Limit(now, "u"); got != 0 {
			t.Errorf("limit of a leaving upstream: got %d, want 0", got)
		}
	})
	t.Run("an older incarnation does not override a newer one", func(t *testing.T) {
		o, h, now := newSingleNode(t)
		now = settleOwner(t, o, h, now, 2)
		o.HandleHeartbeat(now, announce(1, 500), 1)
		if got := o.Limit(now, "u"); got != 8 {
			t.Errorf("limit: got %d, want 8", got)
		}
	})
	t.Run("an upstream without heartbeats gets no requests", func(t *testing.T) {
		o, h, now := newSingleNode(t)
		now = settleOwner(t, o, h, now, 1)
		if got := o.Limit(now.Add(10*time.Second), "u"); got != 0 {
			t.Errorf("limit after 10 s without a heartbeat: got %d, want 0", got)
		}
	})
	t.Run("upstreams of other owners do not affect the interval", func(t *testing.T) {
		o, _, now := newSingleNode(t)
		o.Renew(now, View{Version: 2, Nodes: []Node{{"n1", 1}}}, now.Add(time.Hour))
		for i := range 290 {
			heartbeatGrants(o, now, "u"+string(rune('A'+i)), 1)
		}
		if got := o.heartbeatInterval(); got != DefaultPolicy().MinHeartbeatInterval {
			t.Errorf("interval of an owner without upstreams: got %v, want %v", got, DefaultPolicy().MinHeartbeatInterval)
		}
	})
	t.Run("heartbeats of many upstreams do not exceed the byte budget", func(t *testing.T) {
		o, _, now := newSingleNode(t)
		for i := range 290 {
			heartbeatGrants(o, now, "u"+string(rune('A'+i)), 1)
		}
		p := DefaultPolicy()
		if got := o.heartbeatInterval().Seconds(); 290*float64(p.HeartbeatBytes)/got > float64(p.HeartbeatBytesPerSecond)*1.01 {
			t.Errorf("interval for 290 upstreams: got %.1f s, want at least %.1f s", got, 290*float64(p.HeartbeatBytes)/float64(p.HeartbeatBytesPerSecond))
		}
	})
}

func TestHolderStopsOnColdUpstream(t *testing.T) {
	o, h, now := newSingleNode(t)
	now = settleOwner(t, o, h, now, 1)
	h.SetQueued("u", 4)
	deliverReports(o, h, now)
	ticket, ok := h.Take(now, "u", 0)
	if !ok {
		t.Fatal("slot on a warm upstream: got none, want one")
	}
	h.Return(ticket, true)
	if _, ok := h.Take(now, "u", 0); ok {
		t.Error("slot right after a failure: got one, want none")
	}
}

func TestIsolatedRequestExcludesOthers(t *testing.T) {
	o, h, now := newSingleNode(t)
	now = settleOwner(t, o, h, now, 1)
	h.RequestIsolation("u", 1)
	deliverReports(o, h, now)
	ticket, ok := h.TakeIsolated(now, "u", 0)
	if !ok {
		t.Fatal("slot for an isolated request on an idle upstream: got none, want one")
	}
	if _, ok := h.Take(now, "u", 0); ok {
		t.Error("slot beside an isolated request: got one, want none")
	}
	h.Return(ticket, false)
	now = now.Add(time.Second)
	h.SetQueued("u", 1)
	deliverReports(o, h, now)
	if _, ok := h.Take(now, "u", 0); !ok {
		t.Error("slot after the isolated request: got none, want one")
	}
}
