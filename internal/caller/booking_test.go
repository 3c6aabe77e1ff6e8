package caller

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/pkg/state"
	"github.com/jaystage/jaystage/pkg/wire"
)

// Guards against a second run, or different answers, when duplicates arrive through
// all nodes at the same time.
func TestConcurrentDuplicatesRunOnce(t *testing.T) {
	c := newBookingCluster(t)
	var group sync.WaitGroup
	var mu sync.Mutex
	answers := map[bookingResponse]int{}
	for i := range 9 {
		group.Go(func() {
			got, err := c.book([]string{"a", "b", "c"}[i%3], "k", "{}")
			if err != nil {
				t.Error(err)
			}
			mu.Lock()
			answers[got]++
			mu.Unlock()
		})
	}
	group.Wait()
	c.checkRanOnce("k")
	if len(answers) != 1 {
		t.Fatalf("got %d different answers: %v", len(answers), answers)
	}
	if later := c.mustBook("c", "k", "{}", http.StatusCreated); answers[later] == 0 {
		t.Fatalf("a later duplicate got a different answer: %+v", later)
	}
}

func TestIdempotencyKeyIsRequiredAndBoundToRequest(t *testing.T) {
	c := newBookingCluster(t)
	c.mustBook("a", "", "{}", http.StatusBadRequest)
	c.mustBook("a", "k", "{}", http.StatusCreated)
	c.mustBook("b", "k", `{"other":1}`, http.StatusUnprocessableEntity)
	c.checkRanOnce("k")
}

// Guards against sending a booking again after its node was partitioned while the
// service ran it. The lookup at the service settles it.
func TestBookingOfPartitionedNodeIsSettled(t *testing.T) {
	c := newBookingCluster(t)
	entered, unblock := make(chan struct{}), make(chan struct{})
	release := sync.OnceFunc(func() { close(unblock) })
	t.Cleanup(release)
	block := sync.OnceFunc(func() { close(entered); <-unblock })
	c.after.Store(&block)
	first := make(chan struct{})
	go func() { defer close(first); _, _ = c.book("a", "k", "{}") }()
	<-entered
	c.after.Store(nil)
	c.nodes["a"].links.partitioned.Store(true)
	c.mustBook("b", "k", "{}", http.StatusOK)
	c.mustBook("c", "k", "{}", http.StatusOK)
	c.checkRanOnce("k")
	release()
	c.nodes["a"].links.partitioned.Store(false)
	<-first
	c.checkRanOnce("k")
}

// Guards against sending a booking again when its node was partitioned before the
// service received the request, so that the lookup does not find it.
func TestUnsettledBookingIsNotResent(t *testing.T) {
	c := newBookingCluster(t)
	entered, unblock := make(chan struct{}), make(chan struct{})
	release := sync.OnceFunc(func() { close(unblock) })
	t.Cleanup(release)
	block := sync.OnceFunc(func() { close(entered); <-unblock })
	c.before.Store(&block)
	first := make(chan struct{})
	go func() { defer close(first); _, _ = c.book("a", "k", "{}") }()
	<-entered
	c.before.Store(nil)
	c.nodes["a"].links.partitioned.Store(true)
	got := c.mustBook("b", "k", "{}", http.StatusConflict)
	if !bytes.Contains([]byte(got.body), []byte("may-have-run")) {
		t.Fatalf("got %s, want the verdict may-have-run", got.body)
	}
	release()
	c.nodes["a"].links.partitioned.Store(false)
	<-first
	c.checkRanOnce("k")
}

func TestOversizedAnswerReportsRun(t *testing.T) {
	c := newBookingCluster(t)
	big := fmt.Sprintf("%0*d", 300<<10, 1) // the service echoes the body
	for _, node := range []string{"a", "b"} {
		got := c.mustBook(node, "k", big, http.StatusBadGateway)
		if !bytes.Contains([]byte(got.body), []byte(`"verdict":"ran"`)) {
			t.Fatalf("got %.200s, want the verdict ran", got.body)
		}
	}
	c.checkRanOnce("k")
}

// awaitObserver signals each duplicate that waits for the end of a running booking.
type awaitObserver struct {
	Bookings
	awaited chan struct{}
}

func (a awaitObserver) Await(ctx context.Context, b wire.Booking) (wire.Booked, error) {
	a.awaited <- struct{}{}
	return a.Bookings.Await(ctx, b)
}

// Guards against bookings that record their intent while they still wait for a slot,
// and against duplicates that are refused because the service is overloaded.
func TestWaitingBookingRecordsNoIntent(t *testing.T) {
	c := newBookingCluster(t, func(s *config.Site) { s.Accounts[0].Concurrency = 1 })
	done := c.mustBook("a", "done", "{}", http.StatusCreated)
	api := c.nodes["a"].api
	observer := awaitObserver{api.Bookings, make(chan struct{}, 1)}
	api.Bookings = observer
	entered, unblock := make(chan struct{}), make(chan struct{})
	release := sync.OnceFunc(func() { close(unblock) })
	t.Cleanup(release)
	enter := sync.OnceFunc(func() { close(entered) })
	block := func() { enter(); <-unblock }
	c.before.Store(&block)
	var group sync.WaitGroup
	book := func(key string) {
		group.Go(func() {
			if got, err := c.book("a", key, "{}"); err != nil || got.status != http.StatusCreated {
				t.Errorf("booking %s: got %+v, %v, want it booked", key, got, err)
			}
		})
	}
	book("running")
	<-entered
	book("waiting")
	c.eventually("a booking waits", func() bool {
		api.queues.mu.Lock()
		defer api.queues.mu.Unlock()
		q := api.queues.services["booking"]
		return q != nil && q.controller.Waiting() == 1
	})
	refused := c.mustBook("a", "refused", "{}", http.StatusTooManyRequests)
	if !bytes.Contains([]byte(refused.body), []byte("not-run")) {
		t.Errorf("got %s, want the verdict not-run", refused.body)
	}
	// The lookup has no hash, so a recorded key is reported as a mismatch.
	for key, want := range map[string]string{"waiting": state.StateAbandoned, "refused": state.StateAbandoned, "running": state.StateMismatch} {
		got, err := c.nodes["b"].Lookup(t.Context(), wire.Booking{Account: "acc", Service: "booking", Key: key})
		if err != nil || got.State != want {
			t.Errorf("record of %s: got %+v, %v, want %s", key, got, err, want)
		}
	}
	if got := c.mustBook("a", "done", "{}", http.StatusCreated); got != done {
		t.Errorf("duplicate of a finished booking: got %+v, want %+v", got, done)
	}
	book("running")
	select {
	case <-observer.awaited:
	case <-time.After(clusterTimeout):
		t.Error("the duplicate of a running booking does not wait for its answer")
	}
	release()
	group.Wait()
	c.checkRanOnce("running")
	c.checkRanOnce("waiting")
}

// Guards against lost or duplicate bookings when leaders are partitioned while
// bookings run.
func TestBookingsRunAtMostOnceDuringPartitions(t *testing.T) {
	c := newBookingCluster(t)
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for _, name := range []string{"a", "b", "c", "a"} {
			c.nodes[name].links.partitioned.Store(true)
			select {
			case <-stop:
			case <-time.After(1500 * time.Millisecond):
			}
			c.nodes[name].links.partitioned.Store(false)
		}
	})
	for worker := range 4 {
		group.Go(func() {
			for i := range 15 {
				key := fmt.Sprintf("w%d-%d", worker, i)
				end := time.Now().Add(clusterTimeout)
				wantRuns := 1
				for attempt := 0; ; attempt++ {
					got, err := c.book([]string{"a", "b", "c"}[(worker+attempt)%3], key, "{}")
					if err == nil && (got.status == http.StatusCreated || got.status == http.StatusOK) {
						break
					}
					if bytes.Contains([]byte(got.body), []byte("outcome-unknown")) {
						wantRuns = min(1, c.service.Runs(key)) // correct and final whether it ran or not
						break
					}
					if time.Now().After(end) {
						t.Errorf("booking %s has no answer: %+v, %v", key, got, err)
						break
					}
				}
				if runs := c.service.Runs(key); runs != wantRuns {
					t.Errorf("booking %s ran %d times, want %d", key, runs, wantRuns)
				}
			}
		})
	}
	group.Wait()
	close(stop)
}
