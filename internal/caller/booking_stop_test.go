package caller

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jaystage/jaystage/internal/replica"
	"github.com/jaystage/jaystage/pkg/wire"
)

// limitBegin calls onBegin before it records an intent.
type limitBegin struct {
	Bookings
	onBegin func(ctx context.Context) context.Context
}

func (l limitBegin) Begin(ctx context.Context, b wire.Booking) (*replica.Attempt, wire.Booked, error) {
	return l.Bookings.Begin(l.onBegin(ctx), b)
}

// bookAsync sends a booking through node a. The channel receives its response, or nil after
// an error.
func (c *bookingCluster) bookAsync(key string) <-chan *bookingResponse {
	answered := make(chan *bookingResponse, 1)
	go func() {
		got, err := c.book("a", key, "{}")
		if err != nil {
			answered <- nil
			return
		}
		answered <- &got
	}()
	return answered
}

// wantBooked fails the test unless the booking through node a, which has stopped, was answered
// with one of the statuses, and a not-run verdict only if it did not run.
func (c *bookingCluster) wantBooked(key string, answered <-chan *bookingResponse, statuses ...int) {
	c.t.Helper()
	wantNoneUnanswered(c.t, c.nodes["a"].api)
	if c.t.Failed() {
		return
	}
	got := <-answered
	if got == nil {
		c.t.Fatal("got no response to the booking")
	}
	known := false
	for _, status := range statuses {
		known = known || got.status == status
	}
	if !known {
		c.t.Errorf("got %+v, want a status of %v", *got, statuses)
	}
	if runs := c.service.Runs(key); runs > 0 && containsNotRun(got.body) {
		c.t.Errorf("got %s for a booking that ran %d times", got.body, runs)
	}
}

func containsNotRun(body string) bool { return strings.Contains(body, `"verdict":"not-run"`) }

// Planned stop whose limit passes while a booking is under way, in each of its states, with
// the state in reach and out of reach. Guards against bookings that are sent after the limit,
// that get no answer, and that are told as not run although they ran.
func TestBookingsAtShutdownLimit(t *testing.T) {
	const limit = 10 * time.Millisecond
	t.Run("booking is sent after the limit", func(t *testing.T) {
		c := newBookingCluster(t)
		api, begun := c.nodes["a"].api, make(chan struct{})
		api.Bookings = limitBegin{api.Bookings, func(ctx context.Context) context.Context {
			close(begun)
			for !api.drain.hasExpired() {
				time.Sleep(time.Millisecond)
			}
			return context.WithoutCancel(ctx)
		}}
		answered := c.bookAsync("k")
		<-begun
		<-stopAPI(api, 0, limit)
		c.wantBooked("k", answered, http.StatusServiceUnavailable)
		if got := c.service.Runs("k"); got != 0 {
			t.Errorf("got %d runs after the limit, want 0", got)
		}
		c.mustBook("b", "k", "{}", http.StatusCreated)
		c.checkRanOnce("k")
	})
	t.Run("booking whose intent cannot be recorded has no answer", func(t *testing.T) {
		c := newBookingCluster(t)
		node, begun := c.nodes["a"], make(chan struct{})
		node.api.Bookings = limitBegin{node.api.Bookings, func(ctx context.Context) context.Context {
			node.links.partitioned.Store(true)
			close(begun)
			return ctx
		}}
		answered := c.bookAsync("k")
		<-begun
		<-stopAPI(node.api, 0, limit)
		c.wantBooked("k", answered, http.StatusServiceUnavailable)
		if got := c.service.Runs("k"); got != 0 {
			t.Errorf("got %d runs, want 0", got)
		}
	})
	for _, partitioned := range []bool{false, true} {
		name := map[bool]string{false: "with the state in reach", true: "with the state out of reach"}[partitioned]
		t.Run("booking that was sent has no answer "+name, func(t *testing.T) {
			c := newBookingCluster(t)
			entered, unblock := make(chan struct{}), make(chan struct{})
			release := sync.OnceFunc(func() { close(unblock) })
			t.Cleanup(release)
			block := sync.OnceFunc(func() { close(entered); <-unblock })
			c.after.Store(&block)
			answered := c.bookAsync("k")
			<-entered
			c.nodes["a"].links.partitioned.Store(partitioned)
			<-stopAPI(c.nodes["a"].api, 0, limit)
			c.wantBooked("k", answered, http.StatusOK, http.StatusBadGateway)
			c.checkRanOnce("k")
		})
		t.Run("answer that is being recorded is lost "+name, func(t *testing.T) {
			c := newBookingCluster(t)
			node, ran := c.nodes["a"], make(chan struct{})
			partition := sync.OnceFunc(func() { node.links.partitioned.Store(partitioned); close(ran) })
			c.after.Store(&partition)
			answered := c.bookAsync("k")
			<-ran
			c.eventually("the answer has arrived", func() bool { return len(node.api.openAttempts.list()) == 0 })
			<-stopAPI(node.api, 0, limit)
			c.wantBooked("k", answered, http.StatusCreated)
			c.checkRanOnce("k")
		})
	}
	t.Run("duplicate of a running booking has no answer", func(t *testing.T) {
		c := newBookingCluster(t)
		entered, unblock := make(chan struct{}), make(chan struct{})
		release := sync.OnceFunc(func() { close(unblock) })
		t.Cleanup(release)
		block := sync.OnceFunc(func() { close(entered); <-unblock })
		c.after.Store(&block)
		first := make(chan *bookingResponse, 1)
		go func() { got, _ := c.book("b", "k", "{}"); first <- &got }()
		<-entered
		observer := awaitObserver{c.nodes["a"].api.Bookings, make(chan struct{}, 1)}
		c.nodes["a"].api.Bookings = observer
		answered := c.bookAsync("k")
		<-observer.awaited
		<-stopAPI(c.nodes["a"].api, 0, limit)
		c.wantBooked("k", answered, http.StatusConflict, http.StatusServiceUnavailable)
		release()
		if got := <-first; got.status != http.StatusCreated {
			t.Errorf("got %+v for the first request, want it booked", *got)
		}
		c.checkRanOnce("k")
	})
}
