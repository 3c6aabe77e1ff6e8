package caller

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/jaystage/jaystage/internal/replica"
	"github.com/jaystage/jaystage/pkg/drain"
	"github.com/jaystage/jaystage/pkg/state"
	"github.com/jaystage/jaystage/pkg/wire"
)

// Guards against the duplicate of a booking whose answer is recorded, which is told by a stopping
// node that it may have run.
func TestDuplicateOfDoneBookingIsAnsweredDuringStop(t *testing.T) {
	c := newBookingCluster(t)
	c.mustBook("a", "k", "{}", http.StatusCreated)
	now := time.Now()
	c.nodes["a"].api.Stop(drain.Window{Start: now.Add(-time.Second), Settled: now, End: now.Add(5 * time.Second)})
	if got, err := c.book("a", "k", "{}"); err != nil || got.status != http.StatusCreated {
		t.Errorf("got status %d, %v, want the recorded answer, 201", got.status, err)
	}
}

// runningOnce makes the first duplicate wait for a booking that is then abandoned.
type runningOnce struct {
	Bookings
	begun int
}

// Begin implements Bookings.
func (f *runningOnce) Begin(ctx context.Context, b wire.Booking) (*replica.Attempt, wire.Booked, error) {
	f.begun++
	if f.begun == 1 {
		return nil, wire.Booked{State: state.StateRunning}, nil
	}
	return f.Bookings.Begin(ctx, b)
}

// Await implements Bookings.
func (f *runningOnce) Await(context.Context, wire.Booking) (wire.Booked, error) {
	time.Sleep(500 * time.Millisecond)
	return wire.Booked{State: state.StateAbandoned}, nil
}

// Guards against a duplicate that becomes the booking itself during a stop, and is sent without
// regard to the time that is left.
func TestDuplicateThatBecomesTheBookingIsRefusedAtStop(t *testing.T) {
	c := newBookingCluster(t)
	api := c.nodes["a"].api
	api.Bookings = &runningOnce{Bookings: api.Bookings}
	answered := c.bookAsync("k")
	time.Sleep(200 * time.Millisecond)
	now := time.Now()
	api.Stop(drain.Window{Start: now.Add(-time.Second), Settled: now, End: now.Add(time.Second)})
	<-answered
	if runs := c.service.Runs("k"); runs != 0 {
		t.Errorf("got %d runs, want none: nothing is known of its time", runs)
	}
}
