package caller

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"
)

// bookThroughNode makes node a send a booking through another node. It returns when the
// service has run the booking, whose answer it holds until release.
func (c *bookingCluster) bookThroughNode(key string) (through *clusterNode, answered <-chan *bookingResponse, release func()) {
	c.t.Helper()
	c.cutOff["a"].Store(true)
	c.eventually("node a serves through another one", func() bool {
		got, err := c.book("a", key+"-first", "{}")
		return err == nil && got.status == http.StatusCreated
	})
	entered, unblock := make(chan struct{}), make(chan struct{})
	release = sync.OnceFunc(func() { close(unblock) })
	c.t.Cleanup(release)
	block := sync.OnceFunc(func() { close(entered); <-unblock })
	c.after.Store(&block)
	answered = c.bookAsync(key)
	<-entered
	c.after.Store(nil)
	c.eventually("the tunnel is open", func() bool {
		for _, name := range []string{"b", "c"} {
			if c.nodes[name].tunnels.Open() > 0 {
				through = c.nodes[name]
			}
		}
		return through != nil
	})
	return through, answered, release
}

// stopTunnels ends the service of other nodes as a stopping node does.
func (n *clusterNode) stopTunnels(limit time.Duration) <-chan error {
	done := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		done <- n.tunnels.Drain(ctx)
	}()
	return done
}

// Planned stop of a node in between, or of the node that asks, while a booking is under way.
// Guards against bookings that are cut although there is time, and against false verdicts.
func TestBookingsThroughStoppingNodes(t *testing.T) {
	t.Run("node in between stops with time left", func(t *testing.T) {
		c := newBookingCluster(t)
		through, answered, release := c.bookThroughNode("k")
		done := through.stopTunnels(clusterTimeout)
		time.Sleep(100 * time.Millisecond)
		release()
		if got := <-answered; got == nil || got.status != http.StatusCreated {
			t.Errorf("got %+v, want the booking answered", got)
		}
		if err := <-done; err != nil {
			t.Errorf("got %v from the stop, want it to end", err)
		}
		c.checkRanOnce("k")
	})
	t.Run("node in between reaches its limit", func(t *testing.T) {
		c := newBookingCluster(t)
		through, answered, _ := c.bookThroughNode("k")
		if err := <-through.stopTunnels(10 * time.Millisecond); err == nil {
			t.Error("the stop ended although a tunnel is open")
		}
		through.cancel()
		got := <-answered
		if got == nil || containsNotRun(got.body) {
			t.Errorf("got %+v for a booking that ran, want an answer or that it may have run", got)
		}
		c.checkRanOnce("k")
	})
	t.Run("node that asks reaches its limit", func(t *testing.T) {
		c := newBookingCluster(t)
		_, answered, _ := c.bookThroughNode("k")
		<-stopAPI(c.nodes["a"].api, 0, 10*time.Millisecond)
		c.wantBooked("k", answered, http.StatusOK, http.StatusBadGateway)
		c.checkRanOnce("k")
	})
}
