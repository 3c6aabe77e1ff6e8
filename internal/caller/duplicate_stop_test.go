package caller

import (
	"net/http"
	"testing"
	"time"

	"github.com/jaystage/jaystage/pkg/drain"
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
