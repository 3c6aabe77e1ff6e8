package replica

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	_ "github.com/jaystage/jaystage/internal/testseed"
	"github.com/jaystage/jaystage/pkg/state"
	"github.com/jaystage/jaystage/pkg/wire"
)

func TestSingleVoterPutsChangesInForce(t *testing.T) {
	c := newCluster(t, "a")
	c.start("a")
	c.ready("a")
	version := c.change("a", "1", "domain/x", `{"name":"x"}`)
	c.inForce("a", version)
	view, ok := c.node("a").View(time.Now())
	if _, known := view.Domains["x"]; !ok || !known {
		t.Fatalf("lease %v, domain known %v, want both", ok, known)
	}
}

// admitsWithout fails the test if a node still admits requests under an older version.
func admitsWithout(t *testing.T, m *testReplica, version uint64) {
	t.Helper()
	if view, ok := m.View(time.Now()); ok && view.Version < version {
		t.Fatalf("version %d is in force, but node %s admits under version %d", version, m.config.Entry.Name, view.Version)
	}
}

// Guards against a partitioned node that still admits requests under an old
// configuration when a newer one is in force. The replies to its renewals are slow, so
// that a lease that counts from their receipt lasts too long.
func TestPartitionedNodeStopsAdmittingBeforeChangeIsInForce(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.start("a", "b", "c", "d")
	c.ready("a", "b", "c", "d")
	var isolatedAt atomic.Int64
	c.mu.Lock()
	c.onReply["d"] = func(kind string) error {
		if kind == kindRenew && isolatedAt.Load() == 0 {
			c.isolate("d", true) // after the leader's reply; later messages are dropped
			isolatedAt.Store(time.Now().UnixNano())
			time.Sleep(400 * time.Millisecond)
		}
		return nil
	}
	c.mu.Unlock()
	eventually(t, "d is partitioned", func() bool { return isolatedAt.Load() != 0 })
	version := c.change("a", "1", "domain/x", `{"name":"x"}`)
	c.inForce("a", version)
	admitsWithout(t, c.node("d"), version)
	c.isolate("d", false)
	c.ready("d")
	admitsWithout(t, c.node("d"), version)
}

// Guards against a new leader that ends the session of a node whose lease from the
// earlier leader has not expired.
func TestNewLeaderWaitsForEarlierLeases(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.start("a", "b", "c", "d")
	c.ready("a", "b", "c", "d")
	leader := c.leader("a", "b", "c")
	before := c.node("d").view.lease.Load().sent
	eventually(t, "d renews", func() bool { return c.node("d").view.lease.Load().sent.Monotonic.After(before.Monotonic) })
	c.isolate("d", true)
	c.isolate(leader, true)
	var others []string
	for _, v := range c.voters {
		if v != leader {
			others = append(others, v)
		}
	}
	c.leader(others...)
	version := c.change(others[0], "1", "domain/x", `{"name":"x"}`)
	c.inForce(others[0], version)
	admitsWithout(t, c.node("d"), version)
	admitsWithout(t, c.node(leader), version)
	c.isolate("d", false)
	c.isolate(leader, false)
	c.ready("d", leader)
}

func TestNoNodeAdmitsWithoutMajority(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.start("a", "b", "c", "d")
	c.ready("a", "b", "c", "d")
	c.isolate("b", true)
	c.isolate("c", true)
	for _, name := range []string{"a", "b", "c", "d"} {
		eventually(t, name+" stops admitting", func() bool { _, ok := c.node(name).View(time.Now()); return !ok })
	}
	c.isolate("b", false)
	c.isolate("c", false)
	c.ready("a", "b", "c", "d")
}

// Guards against a change that is reported as refused although it was accepted: the
// first reply is lost, another change follows, and the first change is retried.
func TestRetriedChangeReturnsFirstResult(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.start("a", "b", "c", "d")
	c.ready("a", "b", "c", "d")
	base := c.node("d").view.version()
	var lost atomic.Bool
	c.mu.Lock()
	c.onReply["d"] = func(kind string) error {
		if kind != kindPropose || !lost.CompareAndSwap(false, true) {
			return nil
		}
		c.change("a", "2", "domain/x", `{"name":"x","region":"second"}`)
		return errors.New("the reply was lost")
	}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	got, err := c.node("d").Change(ctx, change("1", "domain/x", `{"name":"x","region":"first"}`, base))
	if err != nil || len(got.Conflict) > 0 || !got.Repeated {
		t.Fatalf("got %+v, %v, want the first result of the change", got, err)
	}
}

// Guards against an accepted change that is lost or reverted when leaders are killed
// and restarted one after another.
func TestAcceptedChangesSurviveKilledLeaders(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.start("a", "b", "c", "d")
	c.ready("a", "b", "c", "d")
	for i := range 3 {
		c.change("d", fmt.Sprint("before", i), fmt.Sprint("domain/before", i), "{}")
		leader := c.leader("a", "b", "c")
		c.kill(leader)
		c.change("d", fmt.Sprint("during", i), fmt.Sprint("domain/during", i), "{}")
		c.start(leader)
		c.ready(leader)
	}
	version := c.change("d", "last", "domain/last", "{}")
	c.inForce("d", version)
	for _, name := range []string{"a", "b", "c", "d"} {
		eventually(t, name+" has the last version", func() bool {
			view, ok := c.node(name).View(time.Now())
			return ok && view.Version >= version
		})
		view, _ := c.node(name).View(time.Now())
		for i := range 3 {
			for _, key := range []string{fmt.Sprint("before", i), fmt.Sprint("during", i)} {
				if _, ok := view.Domains[key]; !ok {
					t.Errorf("%s lost the accepted change %s", name, key)
				}
			}
		}
	}
}

func TestWipedVoterRejoinsAsLearnerAndVotesAgain(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.start("a", "b", "c")
	c.ready("a", "b", "c")
	c.change("a", "1", "domain/x", "{}")
	c.kill("c")
	c.wipe("c")
	c.start("c")
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for _, verb := range []string{VerbAdd, VerbPromote} {
		eventually(t, verb+" c", func() bool { return c.node("a").ChangeVoters(ctx, wire.Voters{Verb: verb, Name: "c"}) == nil })
	}
	// With another voter lost, the majority needs the repaired voter.
	c.kill("a")
	version := c.change("b", "2", "domain/y", "{}")
	c.inForce("b", version)
	c.ready("c")
	view, _ := c.node("c").View(time.Now())
	if _, ok := view.Domains["x"]; !ok {
		t.Fatal("the change made before the repair is lost")
	}
}

func TestGracefulStopEndsSessionAndTransfersLeadership(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.start("a", "b", "c")
	c.ready("a", "b", "c")
	leader := c.leader("a", "b", "c")
	c.stop(leader)
	other := "a"
	if leader == other {
		other = "b"
	}
	eventually(t, "the session of the stopped node has ended", func() bool {
		view, _ := c.node(other).View(time.Now())
		_, ok := view.Nodes[leader]
		return !ok
	})
	c.change(other, "1", "domain/x", "{}")
}

func booking(key string) wire.Booking {
	return wire.Booking{Account: "acc", Service: "svc", Key: key, Hash: "h"}
}

// Guards against sending a booking twice when its node is killed after it recorded the
// intent.
func TestBookingOfKilledNodeIsUnknownAndNeverFresh(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.start("a", "b", "c", "d", "e")
	c.ready("a", "b", "c", "d", "e")
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if _, got, err := c.node("d").Begin(ctx, booking("k")); err != nil || !got.Fresh {
		t.Fatalf("got %+v, %v, want a fresh intent", got, err)
	}
	c.kill("d")
	got, err := c.node("e").Await(ctx, booking("k"))
	if err != nil || got.State != state.StateUnknown {
		t.Fatalf("got %+v, %v, want an unknown outcome", got, err)
	}
	if _, again, err := c.node("e").Begin(ctx, booking("k")); err != nil || again.Fresh {
		t.Fatalf("got %+v, %v: the booking would be sent again", again, err)
	}
	settled, err := c.node("e").Settle(ctx, booking("k"), wire.Answer{Status: 200})
	if err != nil || settled.State == state.StateDone {
		t.Fatalf("settled without the attempt: %+v, %v", settled, err)
	}
	b := booking("k")
	b.Attempt = got.Attempt
	if settled, err = c.node("e").Settle(ctx, b, wire.Answer{Status: 200}); err != nil || settled.State != state.StateDone {
		t.Fatalf("got %+v, %v, want the settled answer", settled, err)
	}
}

func TestAbandonedBookingIsFreeOnAnyNode(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.start("a", "b", "c", "d", "e")
	c.ready("a", "b", "c", "d", "e")
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	attempt, _, err := c.node("d").Begin(ctx, booking("k"))
	if err != nil {
		t.Fatal(err)
	}
	if _, got, err := c.node("e").Begin(ctx, booking("k")); err != nil || got.Fresh || got.State != state.StateRunning {
		t.Fatalf("got %+v, %v, want the running booking", got, err)
	}
	if err := attempt.Abandon(ctx); err != nil {
		t.Fatal(err)
	}
	if _, got, err := c.node("e").Begin(ctx, booking("k")); err != nil || !got.Fresh {
		t.Fatalf("got %+v, %v, want a fresh intent", got, err)
	}
}

func TestOrderLeaseEndsWithSessionAndTokenIncreases(t *testing.T) {
	c := newCluster(t, "a")
	c.start("a", "d", "e")
	c.ready("a", "d", "e")
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	first, err := c.node("d").Order(ctx, wire.Order{Verb: state.VerbAcquire, Name: "fleet"})
	if err != nil || !first.Held {
		t.Fatalf("got %+v, %v, want the lease", first, err)
	}
	if got, err := c.node("e").Order(ctx, wire.Order{Verb: state.VerbAcquire, Name: "fleet"}); err != nil || got.Held {
		t.Fatalf("got %+v, %v, want it held by d", got, err)
	}
	c.kill("d")
	eventually(t, "e holds the lease", func() bool {
		got, err := c.node("e").Order(ctx, wire.Order{Verb: state.VerbAcquire, Name: "fleet"})
		return err == nil && got.Held && got.Token > first.Token
	})
}
