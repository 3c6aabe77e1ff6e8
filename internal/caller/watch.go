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
	// sweepInterval is how late a silent upstream or a reclaim notice is noticed.
	sweepInterval = 50 * time.Millisecond
	// defaultProgress applies to classes that set no progress timeout.
	defaultProgress = 30 * time.Second
	// lastCall is the time before a reclaim at which a stream is cut off even if no
	// slot is free elsewhere, so that it does not end with the VM.
	lastCall = 500 * time.Millisecond
	// finishMargin is added to the estimate of the time that an answer still needs.
	finishMargin = 2 * time.Second

	// A KV cache is moved instead of recomputed when it is long enough to be worth
	// the transfer and the VM stays long enough to send it.
	kvTokens  = 512
	kvTime    = 2 * time.Second
	kvTimeout = 300 * time.Millisecond
)

// flights holds the open attempts.
type flights struct {
	mu   sync.Mutex
	open map[*attempt]struct{}
}

func (f *flights) add(at *attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.open == nil {
		f.open = make(map[*attempt]struct{})
	}
	f.open[at] = struct{}{}
}

func (f *flights) remove(at *attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.open, at)
}

// openBefore tells whether an attempt on the same process that began before at
// failed is still open.
func (f *flights) openBefore(at *attempt) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for other := range f.open {
		if other.target.ID == at.target.ID && other.target.Incarnation == at.target.Incarnation && other.start.Before(at.end) {
			return true
		}
	}
	return false
}

func (f *flights) list() []*attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]*attempt, 0, len(f.open))
	for at := range f.open {
		list = append(list, at)
	}
	return list
}

// Watch looks after open requests until ctx ends. The returned channel closes
// then. Requests that are still open need it, so ctx ends after them.
func (a *API) Watch(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		slots, sweep := time.NewTicker(slotTickInterval), time.NewTicker(sweepInterval)
		defer slots.Stop()
		defer sweep.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-slots.C:
				a.Slots.Tick(a.Now())
			case <-sweep.C:
				now := a.Now()
				a.renew(now)
				a.updateQueues(now)
				a.sweep(now)
			}
		}
	}()
	return done
}

// Leaser is a Viewer that tells the end of the session lease and the members of
// the cell.
type Leaser interface {
	Lease(now time.Time) (view routing.View, until time.Time)
}

// renew passes the session lease and the announcements on to the slots. With a
// Viewer that tells no lease, the node is alone in its cell.
func (a *API) renew(now time.Time) {
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
		start := 0
		for _, s := range e.Serving {
			start = max(start, view.Services[s.Service].InitialConcurrency)
		}
		a.Slots.HandleAnnounce(now, e, start)
	}
	a.Slots.evictUnknown(func(id string) bool {
		_, known := a.Upstreams.Get(id)
		return known
	})
}

// sweep ends attempts without progress and moves streams whose VM goes too soon.
func (a *API) sweep(now time.Time) {
	for _, at := range a.openAttempts.list() {
		if now.UnixNano()-at.lastProgress.Load() > int64(at.patience()) && at.lastProgress.Load() <= now.UnixNano() {
			at.cancel(errNoProgress)
			continue
		}
		if at.call.transcript == nil || at.call.atMostOnce {
			continue
		}
		e, ok := a.Upstreams.Get(at.target.ID)
		if !ok || e.Incarnation != at.target.Incarnation {
			continue
		}
		left, notice := e.Left(now)
		if !notice || at.ends(now, left) {
			continue
		}
		at.moveRequested.Store(true)
		if left < lastCall {
			at.cancel(errMoved)
		}
	}
}

// patience is the longest silence of the attempt's upstream.
func (at *attempt) patience() time.Duration {
	limit := at.call.class.StallTimeout.Std()
	if limit <= 0 {
		limit = defaultProgress
	}
	// An unstreamed answer shows no progress before its end.
	if t := at.call.transcript; t != nil && t.Request.Unstreamed() {
		limit = max(limit, at.call.class.CompletionTarget.Std()/2)
	}
	return limit
}

// ends tells whether the answer is likely to end before the VM goes.
func (at *attempt) ends(now time.Time, left time.Duration) bool {
	limit := at.call.transcript.Request.MaxTokens
	done := int(at.delivered.Load())
	if limit == 0 || done == 0 {
		return false
	}
	spent := now.Sub(at.start)
	need := spent * time.Duration(limit-at.deliveredBefore-done) / time.Duration(done)
	return need+finishMargin < left
}

// moveOn takes a slot on another upstream for a stream whose VM goes. Without a
// free slot the stream stays where it is for now.
func (a *API) moveOn(c *call, at *attempt) bool {
	if !c.transcript.Continuable() {
		return false
	}
	c.avoid(at.target.ID)
	next, _ := a.tryChoose(c)
	if next == nil {
		return false
	}
	if next.target.ID == at.target.ID {
		a.Slots.release(a.Now(), next, false)
		return false
	}
	tokens := c.transcript.Request.PromptTokens + c.transcript.Delivered()
	e, _ := a.Upstreams.Get(at.target.ID)
	left, _ := e.Left(a.Now())
	if transfersKV(tokens, left, next.target.Price) {
		next.kv, next.kvTokens = a.exportKV(at, tokens)
	}
	event.With(a.Log, event.StreamMoved).WithField("request", at.id).WithField("from", at.target.ID).WithField("to", next.target.ID).
		WithField("kv", next.kvTokens).Info("stream moves before its VM is reclaimed")
	c.nextAttempt = next
	return true
}

// transfersKV chooses between transfer and recomputation of a KV cache. On an
// expensive upstream recomputation costs more, so a shorter cache pays.
func transfersKV(tokens int, left time.Duration, price float64) bool {
	return left >= kvTime && float64(tokens)*max(1, price) >= kvTokens
}

// exportKV asks the upstream for its KV cache. It returns nothing when the upstream
// has no export; the next one then computes the prompt again.
func (a *API) exportKV(at *attempt, tokens int) (json.RawMessage, int) {
	ctx, cancel := context.WithTimeout(at.ctx, kvTimeout)
	defer cancel()
	params, err := a.Transport.ExportKV(ctx, at.target.Address, at.id)
	if err != nil {
		return nil, 0
	}
	return params, tokens
}

var _ Upstreams = (*upstream.Registry)(nil)
