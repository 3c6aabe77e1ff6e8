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

// Guards against a second run when duplicates arrive through all nodes at the same
// time.
func TestConcurrentDuplicatesRunOnceAndGetOneAnswer(t *testing.T) {
	d := newDesk(t)
	var group sync.WaitGroup
	var mu sync.Mutex
	answers := map[reply]int{}
	for i := range 9 {
		group.Go(func() {
			got, err := d.book([]string{"a", "b", "c"}[i%3], "k", "{}")
			if err != nil {
				t.Error(err)
			}
			mu.Lock()
			answers[got]++
			mu.Unlock()
		})
	}
	group.Wait()
	d.ranOnce("k")
	if len(answers) != 1 {
		t.Fatalf("got %d different answers: %v", len(answers), answers)
	}
	if later := d.mustBook("c", "k", "{}", http.StatusCreated); answers[later] == 0 {
		t.Fatalf("a later duplicate got another answer: %+v", later)
	}
}

func TestKeyIsRequiredAndBoundToItsRequest(t *testing.T) {
	d := newDesk(t)
	d.mustBook("a", "", "{}", http.StatusBadRequest)
	d.mustBook("a", "k", "{}", http.StatusCreated)
	d.mustBook("b", "k", `{"other":1}`, http.StatusUnprocessableEntity)
	d.ranOnce("k")
}

// Guards against a booking that is sent again after its node was cut off while the
// service ran it. The look-up of its state settles it.
func TestBookingOfACutOffNodeIsSettledAndNotSentAgain(t *testing.T) {
	d := newDesk(t)
	inside, leave := make(chan struct{}), make(chan struct{})
	release := sync.OnceFunc(func() { close(leave) })
	t.Cleanup(release)
	hold := sync.OnceFunc(func() { close(inside); <-leave })
	d.after.Store(&hold)
	first := make(chan struct{})
	go func() { defer close(first); _, _ = d.book("a", "k", "{}") }()
	<-inside
	d.after.Store(nil)
	d.nodes["a"].links.cut.Store(true)
	d.mustBook("b", "k", "{}", http.StatusOK)
	d.mustBook("c", "k", "{}", http.StatusOK)
	d.ranOnce("k")
	release()
	d.nodes["a"].links.cut.Store(false)
	<-first
	d.ranOnce("k")
}

// Guards against a second send when the node was cut off before the service saw the
// request, so that the look-up cannot tell what became of it.
func TestUnsettledBookingIsRefusedAndNotSentAgain(t *testing.T) {
	d := newDesk(t)
	inside, leave := make(chan struct{}), make(chan struct{})
	release := sync.OnceFunc(func() { close(leave) })
	t.Cleanup(release)
	hold := sync.OnceFunc(func() { close(inside); <-leave })
	d.before.Store(&hold)
	first := make(chan struct{})
	go func() { defer close(first); _, _ = d.book("a", "k", "{}") }()
	<-inside
	d.before.Store(nil)
	d.nodes["a"].links.cut.Store(true)
	got := d.mustBook("b", "k", "{}", http.StatusConflict)
	if !bytes.Contains([]byte(got.body), []byte("may-have-run")) {
		t.Fatalf("got %s, want the verdict may-have-run", got.body)
	}
	release()
	d.nodes["a"].links.cut.Store(false)
	<-first
	d.ranOnce("k")
}

func TestAnswerOverTheLimitTellsThatTheRequestRan(t *testing.T) {
	d := newDesk(t)
	big := fmt.Sprintf("%0*d", 300<<10, 1) // the service echoes the body
	for _, node := range []string{"a", "b"} {
		got := d.mustBook(node, "k", big, http.StatusBadGateway)
		if !bytes.Contains([]byte(got.body), []byte(`"verdict":"ran"`)) {
			t.Fatalf("got %.200s, want the verdict ran", got.body)
		}
	}
	d.ranOnce("k")
}

// awaitSeen tells when a duplicate waits for the end of a running booking.
type awaitSeen struct {
	Bookings
	seen chan struct{}
}

func (a awaitSeen) Await(ctx context.Context, b wire.Booking) (wire.Booked, error) {
	a.seen <- struct{}{}
	return a.Bookings.Await(ctx, b)
}

// Guards against bookings that hold a recorded intent while they wait, and against
// duplicates that are refused because the service is overloaded.
func TestWaitingBookingHoldsNoIntentAndDuplicatesNeedNoSlot(t *testing.T) {
	d := newDesk(t, func(s *config.Site) { s.Accounts[0].Concurrency = 1 })
	done := d.mustBook("a", "done", "{}", http.StatusCreated)
	api := d.nodes["a"].api
	awaits := awaitSeen{api.Bookings, make(chan struct{}, 1)}
	api.Bookings = awaits
	inside, leave := make(chan struct{}), make(chan struct{})
	release := sync.OnceFunc(func() { close(leave) })
	t.Cleanup(release)
	enter := sync.OnceFunc(func() { close(inside) })
	hold := func() { enter(); <-leave }
	d.before.Store(&hold)
	var group sync.WaitGroup
	book := func(key string) {
		group.Go(func() {
			if got, err := d.book("a", key, "{}"); err != nil || got.status != http.StatusCreated {
				t.Errorf("booking %s: got %+v, %v, want it booked", key, got, err)
			}
		})
	}
	book("running")
	<-inside
	book("waiting")
	d.eventually("a booking waits", func() bool {
		api.queues.mu.Lock()
		defer api.queues.mu.Unlock()
		q := api.queues.services["booking"]
		return q != nil && q.controller.Waiting() == 1
	})
	refused := d.mustBook("a", "refused", "{}", http.StatusTooManyRequests)
	if !bytes.Contains([]byte(refused.body), []byte("not-run")) {
		t.Errorf("got %s, want the verdict not-run", refused.body)
	}
	// The look-up names no hash, so that a recorded key does not match.
	for key, want := range map[string]string{"waiting": state.StateAbandoned, "refused": state.StateAbandoned, "running": state.StateMismatch} {
		got, err := d.nodes["b"].Lookup(t.Context(), wire.Booking{Account: "acc", Service: "booking", Key: key})
		if err != nil || got.State != want {
			t.Errorf("record of %s: got %+v, %v, want %s", key, got, err, want)
		}
	}
	if got := d.mustBook("a", "done", "{}", http.StatusCreated); got != done {
		t.Errorf("duplicate of a finished booking: got %+v, want %+v", got, done)
	}
	book("running")
	select {
	case <-awaits.seen:
	case <-time.After(patience):
		t.Error("the duplicate of a running booking does not wait for its answer")
	}
	release()
	group.Wait()
	d.ranOnce("running")
	d.ranOnce("waiting")
}

// Guards against a lost or doubled booking when leaders fail while bookings run.
func TestBookingsRunAtMostOnceWhileLeadersAreCutOff(t *testing.T) {
	d := newDesk(t)
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for _, name := range []string{"a", "b", "c", "a"} {
			d.nodes[name].links.cut.Store(true)
			select {
			case <-stop:
			case <-time.After(1500 * time.Millisecond):
			}
			d.nodes[name].links.cut.Store(false)
		}
	})
	for w := range 4 {
		group.Go(func() {
			for i := range 15 {
				key := fmt.Sprintf("w%d-%d", w, i)
				end := time.Now().Add(patience)
				wanted := 1
				for try := 0; ; try++ {
					got, err := d.book([]string{"a", "b", "c"}[(w+try)%3], key, "{}")
					if err == nil && (got.status == http.StatusCreated || got.status == http.StatusOK) {
						break
					}
					if bytes.Contains([]byte(got.body), []byte("outcome-unknown")) {
						wanted = min(1, d.service.Runs(key)) // true, and final, whether it ran or not
						break
					}
					if time.Now().After(end) {
						t.Errorf("booking %s has no answer: %+v, %v", key, got, err)
						break
					}
				}
				if runs := d.service.Runs(key); runs != wanted {
					t.Errorf("booking %s ran %d times, want %d", key, runs, wanted)
				}
			}
		})
	}
	group.Wait()
	close(stop)
}
