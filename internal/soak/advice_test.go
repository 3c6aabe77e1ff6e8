package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// turnedAwaySlack is the time after a 503 with Retry-After in which requests may still be
	// on their way, and maxAfterRetryAfter the number of later ones of one node.
	turnedAwaySlack    = 500 * time.Millisecond
	maxAfterRetryAfter = 2
	// brittleLimit is the number of requests that a brittle upstream can turn away in a second,
	// and brittleWork how long it runs one.
	brittleLimit = 3
	brittleWork  = 100 * time.Millisecond
)

func (u *crashingUpstream) setAdvice(advise func(w http.ResponseWriter, attempt string) bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.advise = advise
}

func (u *crashingUpstream) arrivalCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.arrivals)
}

// nodeOf returns the index of the entry node that an attempt ID names.
func nodeOf(attempt string) (node int) {
	_, _ = fmt.Sscanf(attempt, "%d-", &node) // all attempt IDs of the load begin with a node
	return node
}

// turnAway answers that the upstream wants no requests for a time.
func turnAway(w http.ResponseWriter, hold time.Duration) (answered bool) {
	w.Header().Set("X-Not-Executed", "1")
	w.Header().Set("Retry-After", fmt.Sprint(hold.Seconds()))
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// Guards against requests at upstreams that say in their answers that they leave, or that
// they want none for a while, also through a node that has lost its own path, and against
// upstreams that stay unused afterwards.
func TestAdviceOfUpstreamsHolds(t *testing.T) {
	t.Parallel()
	c := newCrashCluster(t, 228, 6)
	lost := voters + entryNodes - 1
	time.Sleep(time.Second)
	c.cutPath(lost, refusing)
	time.Sleep(contactTime)
	// The load has one session, which prefers some upstreams.
	slices.SortFunc(c.upstreams, func(a, b *crashingUpstream) int { return b.arrivalCount() - a.arrivalCount() })

	const hold = 2 * time.Second
	var mu sync.Mutex
	leavingSince, turnedAway := map[int]time.Time{}, map[int]time.Time{}
	var lateAtLeaving []string
	tooEarly := map[int]int{}
	c.upstreams[0].setAdvice(func(w http.ResponseWriter, attempt string) bool {
		mu.Lock()
		defer mu.Unlock()
		now, node := time.Now(), nodeOf(attempt)
		if since, ok := leavingSince[node]; ok && now.Sub(since) > drainTimeout {
			lateAtLeaving = append(lateAtLeaving, attempt)
		} else if !ok {
			leavingSince[node] = now
		}
		w.Header().Set("Server-Leaving", "1")
		return false
	})
	c.upstreams[1].setAdvice(func(w http.ResponseWriter, attempt string) bool {
		mu.Lock()
		defer mu.Unlock()
		now, node := time.Now(), nodeOf(attempt)
		if since := now.Sub(turnedAway[node]); since < hold {
			if since > turnedAwaySlack {
				tooEarly[node]++
			}
		} else {
			turnedAway[node] = now
		}
		return turnAway(w, hold)
	})
	time.Sleep(6 * time.Second)
	c.upstreams[1].setAdvice(nil)
	sound := time.Now()
	for _, u := range c.upstreams[2:] { // so that the load needs it
		u.setAdvice(func(w http.ResponseWriter, _ string) bool { return turnAway(w, hold) })
	}
	time.Sleep(4 * time.Second)
	end := time.Now()
	c.stop()
	// The node without a path tells the node in between what it heard.
	if least := entryNodes - 1; len(leavingSince) < least || len(turnedAway) < least {
		t.Errorf("nodes with advice: got %d and %d, want at least %d", len(leavingSince), len(turnedAway), least)
	}
	if len(lateAtLeaving) > 0 {
		t.Errorf("requests at the leaving upstream after %v: got %s, want none", drainTimeout, strings.Join(lateAtLeaving, ", "))
	}
	for node, n := range tooEarly {
		if n > maxAfterRetryAfter {
			t.Errorf("requests of node %d within Retry-After: got %d, want at most %d", node, n, maxAfterRetryAfter)
		}
	}
	if got := c.upstreams[1].mostIn(end.Sub(sound), sound, end, -1, time.Time{}); got == 0 {
		t.Error("requests at the upstream that takes them again: got none")
	}
}

// brittleUpstream takes few requests at once and falls over when it has to turn too many away
// in a second.
type brittleUpstream struct {
	*crashingUpstream
	brittle bool
	running int
	away    []time.Time
	falls   int
}

func (u *brittleUpstream) advise(mu *sync.Mutex) func(http.ResponseWriter, string) bool {
	return func(w http.ResponseWriter, _ string) bool {
		mu.Lock()
		defer mu.Unlock()
		if !u.brittle {
			return false
		}
		w.Header().Set("Server-Brittle", fmt.Sprint(brittleLimit))
		if u.running < slotCount {
			u.running++
			mu.Unlock()
			time.Sleep(brittleWork)
			mu.Lock()
			u.running--
			return false
		}
		now := time.Now()
		u.away = append(u.away, now)
		if n := len(u.away); n > brittleLimit && now.Sub(u.away[n-1-brittleLimit]) < time.Second {
			u.falls++
			u.away = nil
			go u.crash()
		}
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
}

// Load pattern: more bookings than brittle upstreams have places for, through nodes of which
// one has lost its own path. Guards against upstreams that fall over because all nodes
// together have them turn too many away, and against too little work at them.
func TestBrittleUpstreamsKeepStanding(t *testing.T) {
	t.Parallel()
	const count = 4
	c := newCrashCluster(t, 229, count)
	lost := voters + entryNodes - 1
	var mu sync.Mutex
	var upstreams []*brittleUpstream
	for _, u := range c.upstreams {
		b := &brittleUpstream{crashingUpstream: u, brittle: true}
		u.setAdvice(b.advise(&mu))
		upstreams = append(upstreams, b)
	}
	c.cutPath(lost, refusing)
	time.Sleep(contactTime)
	mu.Lock()
	for _, u := range upstreams {
		u.falls = 0
	}
	mu.Unlock()
	start, done := time.Now(), make(chan int)
	const clients, length = 100, 6 * time.Second
	for client := range clients {
		go func() {
			served, transport := 0, &http.Transport{}
			defer transport.CloseIdleConnections()
			for i := 0; time.Since(start) < length; i++ {
				node := voters + client%entryNodes
				if c.sendBooking(transport, node, fmt.Sprintf("%d-book-%d-%d", node, client, i)) == http.StatusOK {
					served++
				} else {
					time.Sleep(20 * time.Millisecond)
				}
			}
			done <- served
		}()
	}
	served := 0
	for range clients {
		served += <-done
	}
	falls := 0
	mu.Lock()
	for _, u := range upstreams {
		falls += u.falls
		u.brittle = false
	}
	mu.Unlock()
	if most := 2 + count/10; falls > most {
		t.Errorf("brittle upstreams fell over: got %d times, want at most %d", falls, most)
	}
	capacity := count * slotCount * int(length/(brittleWork+workTime))
	if served < capacity/4 {
		t.Errorf("bookings served: got %d, want at least a quarter of the %d that the upstreams can run", served, capacity)
	}
	t.Logf("%d falls, %d bookings served of %d possible", falls, served, capacity)
}
