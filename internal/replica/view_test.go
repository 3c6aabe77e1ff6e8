package replica

import (
	"testing"
	"time"

	"github.com/jaystage/jaystage/pkg/wire"
)

// Guards against a process that acts on a lease which ran out while the process or
// its VM did not run.
func TestLeaseIsNotValidAfterAPause(t *testing.T) {
	now := time.Now()
	ago := func(d time.Duration) *time.Time { at := now.Add(-d); return &at }
	for _, c := range []struct {
		name string
		sent time.Time
		tick *time.Time
		now  time.Time
		want bool
	}{
		{"running", *ago(time.Second), ago(0), now, true},
		{"lease has run out", *ago(leaseTTL), ago(0), now, false},
		{"process has not run for a while", *ago(time.Second), ago(watchInterval + pauseLimit), now, false},
		// A time without a monotonic reading is compared on the wall clock, which goes
		// on while a suspended VM's monotonic clock stands still.
		{"wall clock is past the lease", now.Add(-time.Second), ago(0), now.Round(0).Add(leaseTTL), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := newViewer(newCluster(t, "a").hooks)
			if err := v.extend(c.sent, nil); err != nil {
				t.Fatal(err)
			}
			v.tick.Store(c.tick)
			if _, got := v.get(c.now); got != c.want {
				t.Errorf("got valid %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a follower that skips a change: pushes may be lost or come late.
func TestPushThatDoesNotFollowIsNotApplied(t *testing.T) {
	v := newViewer(hooks{})
	item := func(n uint64) wire.Delta {
		return wire.Delta{From: n - 1, Version: n, Items: []wire.Item{{Key: "domain/x", Version: n, Value: []byte(`{"name":"x"}`)}}}
	}
	if err := v.extend(time.Now(), &wire.Delta{Version: 3, Full: true}); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ version, want uint64 }{{6, 3}, {4, 4}, {4, 4}, {2, 4}, {5, 5}} {
		if _, err := v.push(item(c.version)); err != nil {
			t.Fatal(err)
		}
		if got := v.version(); got != c.want {
			t.Errorf("after a push to %d: got version %d, want %d", c.version, got, c.want)
		}
	}
	bad := wire.Delta{From: 5, Version: 6, Items: []wire.Item{{Key: "domain/x", Value: []byte("{")}}}
	sent := v.lease.Load().sent
	if err := v.extend(time.Now(), &bad); err == nil || v.lease.Load().sent != sent {
		t.Errorf("a configuration that cannot be read extended the lease: %v", err)
	}
}
