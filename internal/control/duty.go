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
	usageWindowInterval = 250 * time.Millisecond
	// dutyTimeout bounds one call to the platform.
	callTimeout = 2 * time.Second
	// settleAfter is how long after its end a window is settled: the last tallies have
	// arrived and a clock that is some seconds ahead does no harm.
	settleDelay = 3500 * time.Millisecond
	// windowsKept is the number of windows whose counts stay in the state.
	retainedWindows = 6
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
type usageReporter struct {
	c          *Control
	fencedTerm uint64 // term in which the platform refused this node
	leadership leadership
}

// tenure is how long this voter leads in its present term.
type leadership struct {
	term  uint64
	since time.Time
}

// lasts tells whether this voter has led in a term for some time.
func (l *leadership) heldFor(now time.Time, term uint64, minDuration time.Duration) bool {
	if l.term != term {
		l.term, l.since = term, now
	}
	return now.Sub(l.since) >= minDuration
}

func (r *usageReporter) run(ctx context.Context, now time.Time) {
	term, leads := r.c.State.Leading()
	view, valid := r.c.State.View(now)
	if !leads || !valid || term == r.fencedTerm || r.c.Platform == nil || view.Plan == nil || r.c.UsageWindow <= 0 {
		return
	}
	r.settle(ctx, now, term, view)
	if r.leadership.heldFor(now, term, r.c.MinLeadTime) {
		r.report(ctx, now, term, view)
	}
	r.prune(ctx, view)
}

func (r *usageReporter) windowAt(now time.Time) uint64 {
	return uint64(now.UnixNano() / int64(r.c.UsageWindow))
}

// settle records the counts of windows that have ended. What is recorded first holds:
// a holder after this one reports the same counts.
func (r *usageReporter) settle(ctx context.Context, now time.Time, term uint64, view *config.View) {
	openWindow := r.windowAt(now.Add(-settleDelay))
	for window := openWindow - 2; window < openWindow; window++ {
		key := fmt.Sprint(window)
		if _, settled := view.Usage[key]; settled {
			continue
		}
		usage, ok := r.c.ledger.settleWindow(now, term, window)
		if !ok {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		err := r.createUsageEntry(ctx, config.PrefixUsage+key, usage)
		cancel()
		event.With(r.c.Log, event.UsageSettled).WithFields(logrus.Fields{"window": window, "counts": usage.Counts, "term": term}).WithError(err).Info("usage window settled")
	}
}

// create stores an entry that does not exist yet.
func (r *usageReporter) createUsageEntry(ctx context.Context, key string, usage config.Usage) error {
	value, err := encodeJSON(usage)
	if err != nil {
		return err
	}
	changed, err := r.c.State.Change(ctx, wire.Change{Author: r.c.Self, Items: []wire.Item{{Key: key, Value: value}}})
	if err == nil && len(changed.Conflict) > 0 {
		return errors.New("the window was settled before")
	}
	return err
}

// report sends settled windows that the platform has not accepted yet.
func (r *usageReporter) report(ctx context.Context, now time.Time, term uint64, view *config.View) {
	for key, usage := range view.Usage {
		if usage.Sent {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		err := r.c.Platform.Report(ctx, term, usage)
		cancel()
		event.With(r.c.Log, event.UsageReported).WithFields(logrus.Fields{"window": usage.Window, "term": term, "age_ms": now.Sub(time.Unix(0, int64(usage.Window+1)*int64(r.c.UsageWindow))).Milliseconds()}).WithError(err).Info("usage window reported")
		if errors.Is(err, ErrFenced) {
			r.fencedTerm = term
			return
		}
		if err != nil {
			return
		}
		usage.Sent = true
		ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
		err = r.c.overwrite(ctx, config.PrefixUsage+key, usage)
		cancel()
		if err != nil {
			r.c.Log.WithError(err).Warn("report of a usage window is not recorded and will be repeated")
			return
		}
	}
}

// prune removes windows and drains that nobody needs any more.
func (r *usageReporter) prune(ctx context.Context, view *config.View) {
	var newest uint64
	for _, usage := range view.Usage {
		newest = max(newest, usage.Window)
	}
	var expired []wire.Item
	for key, u := range view.Usage {
		if u.Sent && u.Window+retainedWindows < newest {
			expired = append(expired, wire.Item{Key: config.PrefixUsage + key, Deleted: true})
		}
	}
	if len(expired) < retainedWindows {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := r.c.State.Change(ctx, wire.Change{Base: unconditionalBase, Author: r.c.Self, Items: expired}); err != nil {
		r.c.Log.WithError(err).Info("old usage windows are kept for now")
	}
}
