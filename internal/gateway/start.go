package gateway

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/pkg/startup"
	"github.com/jaystage/jaystage/pkg/verdict"
)

const (
	// minStateRetryAfter is the shortest Retry-After of a node without a lease or a plan.
	minStateRetryAfter = startup.MinRetryAfter
	// startupPollInterval is how often the state is checked while requests wait for it.
	startupPollInterval = 10 * time.Millisecond
	// maxStartupWaiters bounds the requests that wait for the state. Each holds the buffers of
	// its connection, about 16 KiB, and all start together.
	maxStartupWaiters = 256
)

// leaderWatcher is implemented by a state that tells since when the node has known the leader.
type leaderWatcher interface{ LeaderSince() time.Time }

// startupQueue holds the requests that wait until the node has a lease and a plan. One
// goroutine checks the state for all of them: at a tenth of a core, a timer for each would
// take the time that the start itself needs.
type startupQueue struct {
	mu      sync.Mutex
	waiters []*startupWaiter
	running bool
}

type startupWaiter struct {
	// until is when the request stops waiting, and deadline when its client gives up.
	until, deadline time.Time
	done            chan struct{} // closed once the request goes on
}

// add queues a request; false if too many wait.
func (q *startupQueue) add(g *Gateway, w *startupWaiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiters) >= maxStartupWaiters {
		return false
	}
	q.waiters = append(q.waiters, w)
	if !q.running {
		q.running = true
		go q.run(g)
	}
	return true
}

// run releases waiting requests until none is left.
func (q *startupQueue) run(g *Gateway) {
	ticker := time.NewTicker(startupPollInterval)
	defer ticker.Stop()
	for now := range ticker.C {
		if q.release(now, g.serves(now)) {
			return
		}
	}
}

// release lets the requests go on that have waited long enough, or all once the node serves:
// those whose clients give up first go first. It reports whether none is left.
func (q *startupQueue) release(now time.Time, serves bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	slices.SortStableFunc(q.waiters, func(a, b *startupWaiter) int { return a.deadline.Compare(b.deadline) })
	q.waiters = slices.DeleteFunc(q.waiters, func(w *startupWaiter) bool {
		if !serves && now.Before(w.until) {
			return false
		}
		close(w.done)
		return true
	})
	q.running = len(q.waiters) > 0
	return !q.running
}

// serves reports whether the node has a lease and a plan.
func (g *Gateway) serves(now time.Time) bool {
	view, ok := g.State.View(now)
	return ok && view.Plan != nil
}

func (g *Gateway) startupState() startup.Node {
	n := startup.Node{Started: g.started}
	if w, ok := g.State.(leaderWatcher); ok {
		n.LeaderSince = w.LeaderSince()
	}
	return n
}

// awaitState returns the current view, or a refusal if the node has no lease or no plan. If
// the node is about to get them, the request waits.
func (c *call) awaitState() (*config.View, *verdict.Error) {
	view, ok := c.g.State.View(c.start)
	if ok && view.Plan != nil {
		return view, nil
	}
	timeout, _ := c.clientTimeout()
	decision := startup.Decide(c.start, c.g.startupState(), timeout, unitHash(c.id, "return"))
	if !decision.Until.IsZero() {
		w := &startupWaiter{until: decision.Until, deadline: c.start.Add(timeout), done: make(chan struct{})}
		if c.g.startup.add(c.g, w) {
			select {
			case <-w.done:
			case <-c.ctx.Done():
			}
			now := time.Now()
			c.stateWait = now.Sub(c.start)
			c.g.Metrics.record("", "", "state wait", c.stateWait)
			if view, ok = c.g.State.View(now); ok && view.Plan != nil {
				return view, nil
			}
			decision = startup.Decide(now, c.g.startupState(), 0, unitHash(c.id, "return"))
		}
	}
	if !ok {
		return view, refusal(http.StatusServiceUnavailable, verdict.CodeLeaseExpired, decision.RetryAfter, "the node has lost touch with the replicated state")
	}
	return view, refusal(http.StatusServiceUnavailable, verdict.CodeStateUnavailable, decision.RetryAfter, "the node has no traffic plan yet")
}
