package caller

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// Guards against a node that fails its clients because it has lost its own path to the
// upstreams, although other nodes reach them.
func TestNodeWithoutPathServesBookings(t *testing.T) {
	c := newBookingCluster(t)
	c.mustBook("a", "before", "{}", http.StatusCreated)
	c.cutOff["a"].Store(true)
	// The node must serve from contactTime after the loss.
	const contactTime = 3 * time.Second
	for start, i := time.Now(), 0; time.Since(start) < contactTime; i++ {
		_, _ = c.book("a", fmt.Sprint("early", i), "{}")
		time.Sleep(50 * time.Millisecond)
	}
	const bookings = 20
	served := 0
	for start, i := time.Now(), 0; i < bookings && time.Since(start) < 10*time.Second; i++ {
		if r, err := c.book("a", fmt.Sprint("k", i), "{}"); err == nil && r.status == http.StatusCreated {
			served++
		}
	}
	if least := bookings * 2 / 3; served < least {
		t.Errorf("bookings served without a path: got %d of %d, want at least %d", served, bookings, least)
	}
	for i := range bookings {
		if got := c.service.Runs(fmt.Sprint("k", i)); got > 1 {
			t.Errorf("runs of booking k%d: got %d, want at most 1", i, got)
		}
	}
	c.cutOff["a"].Store(false)
	c.eventually("the node reaches the upstream by itself", func() bool {
		return c.nodes["a"].api.Transport.Detour.LostFor(time.Now()) == 0 && !c.nodes["a"].api.Transport.Detour.Relayed(time.Now(), c.address)
	})
}
