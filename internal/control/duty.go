package control

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/pkg/wire"
)

const (
	dutyInterval = 250 * time.Millisecond
	// dutyTimeout bounds one call to the platform.
	dutyTimeout = 2 * time.Second
	// settleAfter is how long after its end a window is settled: the last tallies have
	// arrived and a clock that is some seconds ahead does no harm.
	settleAfter = 3500 * time.Millisecond
	// windowsKept is the number of windows whose counts stay in the state.
	windowsKept = 6
)

// ErrFenced means that the platform has seen a higher fencing token.
var ErrFenced = errors.New("another node holds the duty")

// Platform carries out duties. Calls carry the fencing token of their holder. A call
// that fails may still be carried out later.
type Platform interface {
	// Report sends the settled counts of a usage window.
	Report(ctx context.Context, token uint64, u config.Usage) error
	// Scale orders upstreams. ErrNoneLeft means that there are none at present.
	Scale(ctx context.Context, token uint64, o Order) error
}

// duty is the part of the leader in charge of the platform's duties. The term of the
// leader is its fencing token: a term has one leader, and rises with each other one.
type duty struct {
	c      *Control
	fenced uint64 // term in which the platform refused this node
	tenure tenure
}

// tenure is how long this voter leads in its present term.
type tenure struct {
	term  uint64
	since time.Time
}

// lasts tells whether this voter has led in a term for some time.
func (t *tenure) lasts(now time.Time, term uint64, least time.Duration) bool {
	if t.term != term {
		t.term, t.since = term, now
	}
	return now.Sub(t.since) >= least
}

func (d *duty) run(ctx context.Context, now time.Time) {
	term, leads := d.c.State.Leading()
	view, valid := d.c.State.View(now)
	if !leads || !valid || term == d.fenced || d.c.Platform == nil || view.Plan == nil || d.c.Window <= 0 {
		return
	}
	d.settle(ctx, now, term, view)
	if d.tenure.lasts(now, term, d.c.Tenure) {
		d.report(ctx, now, term, view)
	}
	d.prune(ctx, view)
}

func (d *duty) windowAt(now time.Time) uint64 { return uint64(now.UnixNano() / int64(d.c.Window)) }

// settle records the counts of windows that have ended. What is recorded first holds:
// a holder after this one reports the same counts.
func (d *duty) settle(ctx context.Context, now time.Time, term uint64, view *config.View) {
	ended := d.windowAt(now.Add(-settleAfter))
	for window := ended - 2; window < ended; window++ {
		key := fmt.Sprint(window)
		if _, settled := view.Usage[key]; settled {
			continue
		}
		u, ok := d.c.ledger.settle(now, term, window)
		if !ok {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, dutyTimeout)
		err := d.create(ctx, config.PrefixUsage+key, u)
		cancel()
		event.With(d.c.Log, event.UsageSettled).WithFields(logrus.Fields{"window": window, "counts": u.Counts, "term": term}).WithError(err).Info("usage window settled")
	}
}

// create stores an entry that does not exist yet.
func (d *duty) create(ctx context.Context, key string, u config.Usage) error {
	value, err := encode(u)
	if err != nil {
		return err
	}
	changed, err := d.c.State.Change(ctx, wire.Change{Author: d.c.Self, Items: []wire.Item{{Key: key, Value: value}}})
	if err == nil && len(changed.Conflict) > 0 {
		return errors.New("the window was settled before")
	}
	return err
}

// report sends settled windows that the platform has not accepted yet.
func (d *duty) report(ctx context.Context, now time.Time, term uint64, view *config.View) {
	for key, u := range view.Usage {
		if u.Sent {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, dutyTimeout)
		err := d.c.Platform.Report(ctx, term, u)
		cancel()
		event.With(d.c.Log, event.UsageReported).WithFields(logrus.Fields{"window": u.Window, "term": term, "age_ms": now.Sub(time.Unix(0, int64(u.Window+1)*int64(d.c.Window))).Milliseconds()}).WithError(err).Info("usage window reported")
		if errors.Is(err, ErrFenced) {
			d.fenced = term
			return
		}
		if err != nil {
			return
		}
		u.Sent = true
		ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), dutyTimeout)
		err = d.c.write(ctx, config.PrefixUsage+key, u)
		cancel()
		if err != nil {
			d.c.Log.WithError(err).Warn("report of a usage window is not recorded and will be repeated")
			return
		}
	}
}

// prune removes windows and drains that nobody needs any more.
func (d *duty) prune(ctx context.Context, view *config.View) {
	var newest uint64
	for _, u := range view.Usage {
		newest = max(newest, u.Window)
	}
	var old []wire.Item
	for key, u := range view.Usage {
		if u.Sent && u.Window+windowsKept < newest {
			old = append(old, wire.Item{Key: config.PrefixUsage + key, Deleted: true})
		}
	}
	if len(old) < windowsKept {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, dutyTimeout)
	defer cancel()
	if _, err := d.c.State.Change(ctx, wire.Change{Base: last, Author: d.c.Self, Items: old}); err != nil {
		d.c.Log.WithError(err).Info("old usage windows are kept for now")
	}
}
