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
	// usageReporterInterval is how often the leader checks for usage windows to settle and
	// to report.
	usageReporterInterval = 250 * time.Millisecond
	// callTimeout bounds one call to the platform or one change of the state.
	callTimeout = 2 * time.Second
	// settleDelay is the time from the end of a window until it is settled. By then the
	// last usage reports have arrived, even if this node's clock is some seconds ahead.
	settleDelay = 3500 * time.Millisecond
	// maxSettleDelay is that time while a node that counted requests in the window is silent.
	// The platform wants a window within 10 s of its end.
	maxSettleDelay = 7 * time.Second
	// retainedWindows is the number of reported windows that stay in the state.
	retainedWindows = 6
)

// ErrFenced is returned when the platform has seen a higher fencing token.
var ErrFenced = errors.New("another node holds the duty")

// Platform receives the leader's usage reports and scaling orders. Each call carries the
// fencing token of its sender. A call that returned an error may still take effect later.
type Platform interface {
	// Report sends the counts of a settled usage window.
	Report(ctx context.Context, token uint64, usage config.Usage) error
	// Scale sets the number of upstreams of one offer. It returns ErrNoCapacity when the
	// platform has none available.
	Scale(ctx context.Context, token uint64, o Order) error
}

// usageReporter settles usage windows, which fixes their counts, and reports them to the
// platform while this voter leads. The fencing token is the term: each term has one leader,
// and every change of the leader raises it.
type usageReporter struct {
	c          *Control
	fencedTerm uint64 // term in which the platform rejected this node's token
	leadership leadership
}

// leadership records since when this voter has led in the current term.
type leadership struct {
	term  uint64
	since time.Time
}

// heldFor reports whether this voter has led in term for at least minDuration, measured
// from the first call with that term.
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

// settle records the counts of the last two windows that ended at least settleDelay ago, and of
// earlier ones in which requests started and that no leader could settle.
// The first record of a window wins, so that a later leader reports the same counts.
func (r *usageReporter) settle(ctx context.Context, now time.Time, term uint64, view *config.View) {
	openWindow, newest := r.windowAt(now.Add(-settleDelay)), newestWindow(view)
	for window := openWindow - retainedWindows; window < openWindow; window++ {
		key := fmt.Sprint(window)
		if _, settled := view.Usage[key]; settled || window+retainedWindows < newest {
			continue // one this old may have been settled, reported and pruned
		}
		end := time.Unix(0, int64(window+1)*int64(r.c.UsageWindow))
		usage, ok := r.c.ledger.settleWindow(now, term, window, end)
		if !ok {
			return
		}
		if len(usage.Counts) == 0 && window+2 < openWindow {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		err := r.c.put(ctx, view, config.PrefixUsage+key, usage)
		cancel()
		event.With(r.c.Log, event.UsageSettled).WithFields(logrus.Fields{"window": window, "counts": usage.Counts, "term": term}).WithError(err).Info("usage window settled")
	}
}

// report sends the settled windows that the platform has not accepted yet.
func (r *usageReporter) report(ctx context.Context, now time.Time, term uint64, view *config.View) {
	for key, usage := range view.Usage {
		if usage.Sent {
			continue
		}
		err := r.c.callPlatform(ctx, term, func(ctx context.Context) error { return r.c.Platform.Report(ctx, term, usage) })
		event.With(r.c.Log, event.UsageReported).WithFields(logrus.Fields{
			"window": usage.Window, "term": term, "age_ms": now.Sub(time.Unix(0, int64(usage.Window+1)*int64(r.c.UsageWindow))).Milliseconds(),
		}).WithError(err).Info("usage window reported")
		if errors.Is(err, ErrFenced) {
			r.fencedTerm = term
			return
		}
		if err != nil {
			return
		}
		usage.Sent = true
		recordCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
		err = r.c.put(recordCtx, view, config.PrefixUsage+key, usage)
		cancel()
		if err != nil {
			r.c.Log.WithError(err).Warn("could not record that a usage window was reported; the report will be repeated")
			return
		}
	}
}

func newestWindow(view *config.View) uint64 {
	var newest uint64
	for _, usage := range view.Usage {
		newest = max(newest, usage.Window)
	}
	return newest
}

// prune deletes old windows that the platform has accepted, at least retainedWindows of
// them at a time.
func (r *usageReporter) prune(ctx context.Context, view *config.View) {
	newest := newestWindow(view)
	var expired []wire.Item
	for key, usage := range view.Usage {
		if usage.Sent && usage.Window+retainedWindows < newest {
			expired = append(expired, wire.Item{Key: config.PrefixUsage + key, Deleted: true})
		}
	}
	if len(expired) < retainedWindows {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := r.c.change(ctx, view, r.c.Self, expired...); err != nil {
		r.c.Log.WithError(err).Info("could not delete old usage windows; retrying later")
	}
}
