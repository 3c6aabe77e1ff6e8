package replica

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/boottime"
	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/pkg/wire"
)

const (
	pauseCheckInterval = 100 * time.Millisecond
	// maxTimerDelay is how late a timer may fire before the process counts as paused.
	maxTimerDelay = 500 * time.Millisecond
)

// viewer holds a node's copy of the key space and its lease.
type viewer struct {
	hooks       hooks
	ttl         time.Duration // length of a lease
	lease       atomic.Pointer[leasedView]
	lastTick    atomic.Pointer[boottime.Moment] // when the process was last known to run
	loggedValid atomic.Bool                     // the lease was valid when last logged
	// invalidated is when the lease was last ended because the process was paused; nil before
	// the first time.
	invalidated atomic.Pointer[time.Time]

	mu    sync.Mutex
	items map[string]wire.Item
}

// leasedView is a view and the lease under which the node uses it.
type leasedView struct {
	view *config.View
	// sent is when the latest renewal was sent; the zero time without a lease.
	sent boottime.Moment
}

func newViewer(h hooks, ttl time.Duration) *viewer {
	v := &viewer{hooks: h, ttl: ttl, items: make(map[string]wire.Item)}
	view, _ := config.NewView(0, nil)
	v.lease.Store(&leasedView{view: view})
	now := boottime.ReadClocks()
	v.lastTick.Store(&now)
	return v
}

// get returns the view and reports whether the lease is valid. It checks the lease on
// the monotonic and on the boot-time clock, because the monotonic clock stops while
// the VM is suspended. A process that was paused must renew its lease first.
func (v *viewer) get(now boottime.Moment) (*config.View, bool) {
	l := v.lease.Load()
	if v.hooks.ignoreExpiry {
		return l.view, !l.sent.Monotonic.IsZero()
	}
	if l.sent.Monotonic.IsZero() || l.sent.Age(now) >= v.ttl {
		return l.view, false
	}
	return l.view, v.lastTick.Load().Age(now) < pauseCheckInterval+maxTimerDelay
}

func (v *viewer) version() uint64 { return v.lease.Load().view.Version }

// invalidate ends the lease at once.
func (v *viewer) invalidate() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lease.Store(&leasedView{view: v.lease.Load().view})
}

// extend applies the changes that came with a renewal and extends the lease, which
// counts from the time the renewal was sent. If the changes cannot be applied, the
// lease is not extended. Changes that a push has overtaken are in force already.
func (v *viewer) extend(sent boottime.Moment, d *wire.Delta) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	old := v.lease.Load()
	view := old.view
	if d != nil && d.Version > view.Version {
		next, err := v.apply(*d, view.Version)
		if err != nil {
			return err
		}
		view = next
	}
	if sent.Monotonic.Before(old.sent.Monotonic) {
		sent = old.sent
	}
	v.lease.Store(&leasedView{view: view, sent: sent})
	return nil
}

// applyPush applies changes that arrive between two renewals. It returns false if
// changes between them and the current version are missing, or they are not newer. Changes
// that start before the current version, which a renewal may have brought, contain it.
func (v *viewer) applyPush(d wire.Delta) (bool, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	old := v.lease.Load()
	if d.Full || d.From > old.view.Version || d.Version <= old.view.Version {
		return false, nil
	}
	view, err := v.apply(d, old.view.Version)
	if err != nil {
		return false, err
	}
	v.lease.Store(&leasedView{view: view, sent: old.sent})
	return true, nil
}

func (v *viewer) apply(d wire.Delta, current uint64) (*config.View, error) {
	if d.Version < current || (!d.Full && d.From > current) {
		return nil, fmt.Errorf("changes from version %d to %d do not follow version %d", d.From, d.Version, current)
	}
	items := maps.Clone(v.items)
	if d.Full {
		items = make(map[string]wire.Item, len(d.Items))
	}
	for _, item := range d.Items {
		if item.Deleted {
			delete(items, item.Key)
			continue
		}
		items[item.Key] = item
	}
	view, err := config.NextView(v.lease.Load().view, d.Version, items)
	if err != nil {
		return nil, err
	}
	v.items = items
	return view, nil
}

// detectPauses invalidates the lease when the process has not run for a while: a
// paused process must not act on a lease that it checked before the pause.
func (v *viewer) detectPauses(ctx context.Context, log logrus.FieldLogger, renew func()) error {
	ticker := time.NewTicker(pauseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := boottime.ReadClocks()
		late := v.lastTick.Load().Age(now) - pauseCheckInterval
		if late > maxTimerDelay {
			v.invalidate()
			v.invalidated.Store(&now.Monotonic)
			event.With(log, event.PauseNoticed).WithField("late", late.String()).Warn("process was paused; renewing the lease")
			renew()
		}
		v.lastTick.Store(&now)
	}
}
