package gateway

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a stream that is broken off after its last event, because the upstream that goes
// on with it has no further one.
func TestResumedStreamWithoutFurtherEventsIsWhole(t *testing.T) {
	for _, trouble := range []struct {
		name string
		end  step
	}{
		{"silent", step{pause: 10 * time.Second}},
		{"reset", step{pause: 50 * time.Millisecond, reset: true}},
	} {
		t.Run(trouble.name, func(t *testing.T) {
			t.Parallel()
			first := newFakeUpstream(t, func(_ int, r *http.Request) []step {
				return []step{{send: eventStreamHead(r) + chunk(allEvents())}, trouble.end}
			})
			env := newSilenceEnv(t, first, newFakeUpstream(t, pausing(eventCount+1, 0)))
			env.preferFirst()
			wantBody(t, env.callPatiently("/chat/"), allEvents())
		})
	}
}

// Guards against a retry budget that is used up by standbys whose upstreams could not be connected
// to, so that another upstream is not asked.
func TestStandbyThatWasNotSentReturnsItsRetry(t *testing.T) {
	silent := newFakeUpstream(t, func(int, *http.Request) []step { return []step{{pause: 10 * time.Second}} })
	gone := newFakeUpstream(t, respondOK("gone"))
	env := newSilenceEnv(t, silent, gone, newFakeUpstream(t, respondOK("found")))
	_ = gone.listener.Close()
	env.gateway.Settings.RetryRatio, env.gateway.Settings.RetrySlack = 0, 2 // one for this node
	env.preferInOrder()
	wantBody(t, env.callPatiently("/look/"), "found")
	env.wantNothingOpen(t)
}

// preferInOrder makes upstreams the more likely to be chosen the lower their index is.
func (env *testEnv) preferInOrder() {
	set := env.gateway.upstreams
	set.mu.Lock()
	defer set.mu.Unlock()
	for id, u := range set.byID {
		u.ApplyReport(time.Now(), int(id[1]-'0'), 0)
	}
}

// Guards against a request that crashes a further upstream, because a standby is started after its
// first upstream has crashed like that of an earlier request.
func TestSuspectedRequestGetsNoFurtherStandby(t *testing.T) {
	var n atomic.Int64
	var upstreams []*fakeUpstream
	for i := range 4 {
		upstreams = append(upstreams, newFakeUpstream(t, func(int, *http.Request) []step {
			switch n.Add(1) {
			case 1:
				_ = upstreams[i].listener.Close()
				return []step{{close: true}}
			case 2: // crashes while a standby is open
				time.AfterFunc(900*time.Millisecond, func() { _ = upstreams[i].listener.Close() })
				return []step{{pause: time.Second}, {close: true}}
			}
			return []step{{pause: 10 * time.Second}}
		}))
	}
	env := newSilenceEnv(t, upstreams...)
	call := func(attempts int) {
		for i := range env.state.view.Plan.Routes {
			env.state.view.Plan.Routes[i].MaxAttempts = attempts
		}
		env.call("POST", "/chat/", "x", "X-Deadline", "4000", "X-Model", "m", "X-Parts", "x:10,bad:10,own:5")
	}
	call(1)
	wantCrashes(t, env, 1)
	call(3)
	wantCrashes(t, env, 2)
	if got, want := n.Load(), int64(3); got != want {
		t.Errorf("upstreams reached: got %d, want %d", got, want)
	}
}

// Guards against an upstream that works on while the answer of another one is awaited, although
// its own can no longer be used.
func TestFailedAttemptEndsBeforeStandbyBegins(t *testing.T) {
	var closed atomic.Int64 // Unix time in nanoseconds
	first := newFakeUpstream(t, func(_ int, r *http.Request) []step {
		steps := []step{{pause: briefSilence}, {send: eventStreamHead(r)}}
		for range 40 { // one event beyond maxEventBytes
			steps = append(steps, step{send: chunk("data: " + strings.Repeat("x", 8<<10))})
		}
		return append(steps, step{pause: 10 * time.Second})
	})
	first.onClose = func() { closed.CompareAndSwap(0, time.Now().UnixNano()) }
	var asked atomic.Int64 // Unix time in nanoseconds
	const beginTime = 4 * time.Second
	env := newSilenceEnv(t, first, newFakeUpstream(t, func(n int, r *http.Request) []step {
		asked.Store(time.Now().UnixNano())
		return pausing(0, beginTime)(n, r)
	}))
	env.preferFirst()
	wantBody(t, env.callPatiently("/chat/"), allEvents())
	if got := time.Duration(closed.Load() - asked.Load()); closed.Load() == 0 || got >= beginTime {
		t.Errorf("end of the first attempt: got it %v after the standby was sent, want it before that begins after %v", got, beginTime)
	}
}

// Guards against events that come twice, because a standby takes over from an upstream that has
// gone on since the standby was started.
func TestStandbyIsDroppedWhenFirstGoesOn(t *testing.T) {
	first := newFakeUpstream(t, func(_ int, r *http.Request) []step {
		steps := []step{{send: eventStreamHead(r)}}
		for i := 1; i <= eventCount; i++ {
			if i == silentEvent {
				steps = append(steps, step{pause: briefSilence})
			}
			steps = append(steps, step{send: chunk(numberedEvent(i)), pause: 300 * time.Millisecond})
		}
		return append(steps, step{send: "0\r\n\r\n"})
	})
	second := newFakeUpstream(t, pausing(0, 700*time.Millisecond))
	env := newSilenceEnv(t, first, second)
	env.preferFirst()
	wantBody(t, env.callPatiently("/chat/"), allEvents())
	if got, want := second.count(), 1; got != want {
		t.Errorf("attempts at the other upstream: got %d, want %d", got, want)
	}
	env.wantNothingOpen(t)
}

// Guards against a standby that is dropped although its silent upstream has sent only a head, and
// no event.
func TestStandbyIsKeptUntilFirstEvent(t *testing.T) {
	first := newFakeUpstream(t, func(_ int, r *http.Request) []step {
		return []step{{pause: 900 * time.Millisecond}, {send: eventStreamHead(r) + chunk("id: 1\nda"), pause: 10 * time.Second}}
	})
	env := newSilenceEnv(t, first, newFakeUpstream(t, pausing(0, 800*time.Millisecond)))
	env.preferFirst()
	wantBody(t, env.callPatiently("/chat/"), allEvents())
	env.wantNothingOpen(t)
}

// Guards against retries that are used up while a call with a silent upstream looks for a place.
func TestRetryIsReturnedWhileNoPlaceIsFree(t *testing.T) {
	silent := newFakeUpstream(t, func(int, *http.Request) []step { return []step{{pause: 10 * time.Second}} })
	env := newSilenceEnv(t, silent, newFakeUpstream(t, respondOK("found")))
	env.gateway.Settings.RetryRatio, env.gateway.Settings.RetrySlack = 0, 2 // one for this node
	setOthersOpen := func(n int) {
		set := env.gateway.upstreams
		set.mu.Lock()
		defer set.mu.Unlock()
		set.byID["u1"].OtherNodesOpen = n
	}
	setOthersOpen(100)
	time.AfterFunc(minResponseWait+2*standbyPollInterval, func() { setOthersOpen(0) })
	wantBody(t, env.callPatiently("/look/"), "found")
}
