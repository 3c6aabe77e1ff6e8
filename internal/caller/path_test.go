package caller

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// Guards against a node that fails its clients because it has lost its own path to the
// upstreams, although other nodes reach them.
func TestNodeWithoutPathServesBookings(t *testing.T) {
	c := newBookingCluster(t)
	c.mustBook("a", "before", "{}", http.StatusCreated)
	c.nodes["a"].api.Transport.Dial = func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
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
}
