package caller

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/internal/upstream"
	"github.com/jaystage/jaystage/pkg/routing"
)

const (
	// sweepInterval is how often open attempts are checked for progress timeouts and
	// reclaim notices.
	sweepInterval = 50 * time.Millisecond
	// defaultProgressTimeout applies to classes that set no progress timeout.
	defaultProgressTimeout = 30 * time.Second
	// reclaimCutoff is the time before a reclaim at which a stream is interrupted between
	// two events, so that it does not fail with the VM.
	reclaimCutoff = 500 * time.Millisecond
	// completionMargin is added to the estimated remaining time of an answer.
	completionMargin = 2 * time.Second

	// A KV cache is transferred instead of recomputed if it has at least
	// minKVTransferTokens tokens, so that the transfer is worthwhile, and its VM runs
	// for at least minKVTransferTime, so that it can send the cache.
	minKVTransferTokens = 512
	minKVTransferTime   = 2 * time.Second
	kvExportTimeout     = 300 * time.Millisecond
)

// openAttempts holds the attempts that were sent and have not ended.
type openAttempts struct {
	mu       sync.Mutex
	attempts map[*attempt]struct{}
}

func (o *openAttempts) add(at *attempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.attempts == nil {
		o.attempts = make(map[*attempt]struct{})
	}
	o.attempts[at] = struct{}{}
}

func (o *openAttempts) remove(at *attempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.attempts, at)
}

// hasOpenSibling reports whether another attempt on the upstream process of at is still
// open and had started when at ended.
func (o *openAttempts) hasOpenSibling(at *attempt) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for other := range o.attempts {
		if other.target.ID == at.target.ID && other.target.Incarnation == at.target.Incarnation && other.start.Before(at.end) {
			return true
		}
	}
	return false
}

func (o *openAttempts) list() []*attempt {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := make([]*attempt, 0, len(o.attempts))
	for at := range o.attempts {
		list = append(list, at)
	}
	return list
}

// StartMaintenance starts the periodic work of the API. It sends demand reports,
// applies the session lease and the announcements, updates the queues, enforces
// progress timeouts, requests moves before a reclaim and, during a shutdown, refuses calls
// that wait too long. It runs until ctx ends; then
// the returned channel is closed. Open requests depend on it, so ctx must end after
// them.
func (a *API) StartMaintenance(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		slots, sweep := time.NewTicker(slotTickInterval), time.NewTicker(sweepInterval)
		defer slots.Stop()
		defer sweep.Stop()
		probes := newSilenceProbes()
		for {
			select {
			case <-ctx.Done():
				probes.wait()
				return
			case r := <-probes.ended:
				probes.finish(r)
			case <-slots.C:
				a.Slots.Tick(a.Now())
			case <-sweep.C:
				now := a.Now()
				a.refreshSlots(now)
				a.updateQueues(now)
				a.sweep(ctx, now, probes)
				a.drain.refuseWaiting(now)
				a.Parts.update(now)
			}
		}
	}()
	return done
}

// Leaser is implemented by a Viewer that knows the session lease. Lease returns the
// members of the cell and the end of the lease.
type Leaser interface {
	Lease(now time.Time) (view routing.View, until time.Time)
}

// refreshSlots updates the slots with the session lease and the upstreams'
// announcements. If the Viewer is no Leaser, the node is the only one of its cell.
func (a *API) refreshSlots(now time.Time) {
	view, ok := a.Viewer.View(now)
	if l, leased := a.Viewer.(Leaser); leased {
		members, until := l.Lease(now)
		a.Slots.Renew(now, members, until)
	} else if ok {
		a.Slots.Renew(now, routing.View{Version: 1, Nodes: []routing.Node{a.Slots.self}}, now.Add(routing.SessionTTL))
	}
	if ok {
		a.Slots.setAccountQuotas(now, view)
	}
	for _, e := range a.Upstreams.List() {
		initialLimit := 0
		for _, s := range e.Serving {
			initialLimit = max(initialLimit, view.Services[s.Service].InitialConcurrency)
		}
		a.Slots.HandleAnnounce(now, e, initialLimit)
	}
	a.Slots.evictUnknown(func(id string) bool {
		_, known := a.Upstreams.Get(id)
		return known
	})
}

// sweep starts second attempts beside those without progress. It requests a move of each
// stream that is not expected to finish before its VM is reclaimed.
func (a *API) sweep(ctx context.Context, now time.Time, probes *silenceProbes) {
	for _, at := range a.openAttempts.list() {
		if last, silent := at.silentSince(now); silent {
			a.probeSilent(ctx, at, last, probes)
			a.handleSilence(now, at)
		}
		a.requestMove(now, at)
	}
}

// requestMove requests a move of a stream whose VM is reclaimed before its end.
func (a *API) requestMove(now time.Time, at *attempt) {
	if at.call.transcript == nil || at.call.atMostOnce {
		return
	}
	e, ok := a.Upstreams.Get(at.target.ID)
	if !ok || e.Incarnation != at.target.Incarnation {
		return
	}
	left, notice := e.TimeToReclaim(now)
	if !notice || at.finishesWithin(now, left) {
		return
	}
	at.moveRequested.Store(true)
	if left < reclaimCutoff {
		a.interruptForMove(at)
	}
}

// interruptForMove interrupts a stream whose VM is about to be reclaimed, if another upstream
// has a slot for it. Otherwise it goes on for as long as the VM lives.
func (a *API) interruptForMove(at *attempt) {
	c := at.call
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.ended || c.nextAttempt != nil {
		return
	}
	if next := a.chooseMove(c, at); next != nil {
		a.logMove(at, next)
		c.nextAttempt = next
		at.cancel(errMoved)
	}
}

// silentSince returns the time of the last progress and whether it is longer ago than the
// progress timeout.
func (at *attempt) silentSince(now time.Time) (last int64, silent bool) {
	last = at.lastProgress.Load()
	return last, last <= now.UnixNano() && now.UnixNano()-last > int64(at.progressTimeout())
}

// progressTimeout returns how long the attempt may go without progress.
func (at *attempt) progressTimeout() time.Duration {
	limit := at.call.class.ProgressTimeout.Std()
	if limit <= 0 {
		limit = defaultProgressTimeout
	}
	// An unstreamed answer shows no progress before its end.
	if t := at.call.transcript; t != nil && t.Request.Unstreamed() {
		limit = max(limit, at.call.class.CompletionTarget.Std()/2)
	}
	return limit
}

// finishesWithin reports whether the answer is likely to end before the VM is
// reclaimed.
func (at *attempt) finishesWithin(now time.Time, left time.Duration) bool {
	limit := at.call.transcript.Request.MaxTokens
	done := int(at.delivered.Load())
	if limit == 0 || done == 0 {
		return false
	}
	spent := now.Sub(at.start)
	need := spent * time.Duration(limit-at.deliveredBefore-done) / time.Duration(done)
	return need+completionMargin < left
}

// prepareMove takes a slot on another upstream for a stream whose VM is reclaimed. If
// no slot is free or the answer cannot be continued, it returns false, and the stream
// stays where it is for now.
func (a *API) prepareMove(c *call, at *attempt) bool {
	c.mu.Lock()
	if c.nextAttempt != nil {
		c.mu.Unlock()
		return true
	}
	next := a.chooseMove(c, at)
	c.mu.Unlock()
	if next == nil {
		return false
	}
	tokens := c.transcript.Request.PromptTokens + c.transcript.Delivered()
	e, _ := a.Upstreams.Get(at.target.ID)
	left, _ := e.TimeToReclaim(a.Now())
	if shouldTransferKV(tokens, left, next.target.Price) {
		next.kv, next.kvTokens = a.exportKV(at, tokens)
	}
	a.logMove(at, next)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextAttempt = next
	return true
}

// chooseMove takes a slot on another upstream for the rest of a stream; nil if there is none
// or a standby already has one. c.mu must be held.
func (a *API) chooseMove(c *call, at *attempt) *attempt {
	if at.moving || at.standbyOf != nil || at.standby.running() || !c.transcript.Continuable() {
		return nil
	}
	c.avoid(at.target.ID)
	next, _ := a.tryChoose(c, at.target.ID)
	at.moving = next != nil
	return next
}

func (a *API) logMove(at, next *attempt) {
	event.With(a.Log, event.StreamMoved).WithField("request", at.id).WithField("from", at.target.ID).WithField("to", next.target.ID).
		WithField("kv", next.kvTokens).Info("moving stream to another upstream before its VM is reclaimed")
}

// shouldTransferKV reports whether to transfer a KV cache instead of recomputing it.
// Recomputation costs more on an expensive upstream, so the minimum length decreases
// as the price increases.
func shouldTransferKV(tokens int, left time.Duration, price float64) bool {
	return left >= minKVTransferTime && float64(tokens)*max(1, price) >= minKVTransferTokens
}

// exportKV requests an export of the attempt's KV cache from the upstream. It returns
// nil if the export fails; the next upstream then recomputes the prompt.
func (a *API) exportKV(at *attempt, tokens int) (json.RawMessage, int) {
	ctx, cancel := context.WithTimeout(at.ctx, kvExportTimeout)
	defer cancel()
	params, err := a.Transport.ExportKV(ctx, at.target.Address, at.id)
	if err != nil {
		return nil, 0
	}
	return params, tokens
}

var _ Upstreams = (*upstream.Registry)(nil)
