package replica

import (
	"testing"
	"time"

	"github.com/jaystage/jaystage/internal/boottime"
	"github.com/jaystage/jaystage/pkg/wire"
)

// Guards against a process that acts on a lease that expired while the process or its
// VM was paused.
func TestLeaseIsInvalidAfterPause(t *testing.T) {
	now := boottime.ReadClocks()
	ago := func(d time.Duration) *boottime.Moment {
		return &boottime.Moment{Monotonic: now.Monotonic.Add(-d), Boot: now.Boot - d}
	}
	resumed := boottime.Moment{Monotonic: now.Monotonic, Boot: now.Boot + defaultLeaseTTL}
	for _, c := range []struct {
		name string
		sent boottime.Moment
		tick *boottime.Moment
		now  boottime.Moment
		want bool
	}{
		{"running", *ago(time.Second), ago(0), now, true},
		{"lease has expired", *ago(defaultLeaseTTL), ago(0), now, false},
		{"process was paused", *ago(time.Second), ago(pauseCheckInterval + maxTimerDelay), now, false},
		// The boot-time clock advances while a suspended VM's monotonic clock stops.
		{"boot-time clock is past the lease", *ago(time.Second), ago(0), resumed, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := newViewer(newCluster(t, "a").hooks, defaultLeaseTTL)
			if err := v.extend(c.sent, nil); err != nil {
				t.Fatal(err)
			}
			v.lastTick.Store(c.tick)
			if _, got := v.get(c.now); got != c.want {
				t.Errorf("got valid %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a node that skips a change: pushes may be lost or arrive late.
func TestNonConsecutivePushIsNotApplied(t *testing.T) {
	v := newViewer(hooks{}, defaultLeaseTTL)
	item := func(n uint64) wire.Delta {
		return wire.Delta{From: n - 1, Version: n, Items: []wire.Item{{Key: "domain/x", Version: n, Value: []byte(`{"name":"x"}`)}}}
	}
	if err := v.extend(boottime.ReadClocks(), &wire.Delta{Version: 3, Full: true}); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ version, want uint64 }{{6, 3}, {4, 4}, {4, 4}, {2, 4}, {5, 5}} {
		if _, err := v.applyPush(item(c.version)); err != nil {
			t.Fatal(err)
		}
		if got := v.version(); got != c.want {
			t.Errorf("after a push to %d: got version %d, want %d", c.version, got, c.want)
		}
	}
	bad := wire.Delta{From: 5, Version: 6, Items: []wire.Item{{Key: "domain/x", Value: []byte("{")}}}
	sent := v.lease.Load().sent
	if err := v.extend(boottime.ReadClocks(), &bad); err == nil || v.lease.Load().sent != sent {
		t.Errorf("a configuration that cannot be read extended the lease: %v", err)
	}
}

// Load pattern: changes follow each other closely, as when many nodes start sessions, so a
// push overtakes the changes of a renewal. Guards against a lease that is not extended.
func TestRenewalOvertakenByPushExtendsLease(t *testing.T) {
	v := newViewer(hooks{}, time.Hour)
	item := func(version uint64) []wire.Item {
		return []wire.Item{{Key: "domain/x", Value: []byte(`{"name":"x"}`), Version: version}}
	}
	if applied, err := v.applyPush(wire.Delta{From: 0, Version: 3, Items: item(3)}); !applied || err != nil {
		t.Fatalf("got %v, %v, want the push applied", applied, err)
	}
	now := boottime.ReadClocks()
	if err := v.extend(now, &wire.Delta{From: 0, Version: 2, Items: item(2)}); err != nil {
		t.Errorf("got %v, want the lease extended", err)
	}
	if view, valid := v.get(now); !valid || view.Version != 3 {
		t.Errorf("got version %d, lease %v, want version 3 and a lease", view.Version, valid)
	}
}
