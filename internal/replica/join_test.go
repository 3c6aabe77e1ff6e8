package replica

import (
	"context"
	"testing"
	"time"

	"github.com/jaystage/jaystage/pkg/raft"
)

// join runs the automatic join of a voter until the test ends.
func (c *cluster) join(name string) {
	c.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); c.node(name).Join(ctx) }()
	c.t.Cleanup(func() { cancel(); <-done })
}

// voters lists the voters according to the node's own log.
func (m *testReplica) voters() []string {
	answer := make(chan []string, 1)
	m.voter.inbox <- request{run: func() {
		var list []string
		for _, member := range m.voter.status.Members {
			if !member.Learner {
				list = append(list, member.Name)
			}
		}
		answer <- list
	}}
	return <-answer
}

// Guards against a group with fewer voters than VMs with a disk: a voter that knows
// only the seeds must become a full member without an operator.
func TestVoterJoinsAutomatically(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.joiners = []string{"d", "e"}
	c.start("a", "b", "c", "d", "e")
	c.join("d")
	c.join("e")
	eventually(t, "five voters", func() bool { return len(c.node("a").voters()) == 5 })
	c.ready("a", "d", "e")
}

// Guards against a quorum that grows with each replacement: a new voter must replace
// one that is permanently lost.
func TestNewVoterReplacesUnresponsiveVoter(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.joiners = []string{"d"}
	c.start("a", "b", "c")
	c.ready("a", "b", "c")
	c.kill("c")
	time.Sleep(replaceAfter + electionWait)
	c.start("d")
	c.join("d")
	eventually(t, "d is a voter and c is not", func() bool {
		got := c.node("a").voters()
		return len(got) == 3 && contains(got, "d") && !contains(got, "c")
	})
}

// electionWait covers an election after the kill.
const electionWait = 2 * time.Second

// Guards against a second group: a voter with an empty directory and JoinOnly set must
// not bootstrap one.
func TestJoinOnlyVoterFormsNoGroup(t *testing.T) {
	c := newCluster(t, "a")
	c.joiners = []string{"a"}
	c.start("a")
	c.join("a")
	time.Sleep(time.Second)
	answer := make(chan raft.Status, 1)
	m := c.node("a")
	m.voter.inbox <- request{run: func() { answer <- m.voter.status }}
	if got := (<-answer).Group; got != "" {
		t.Errorf("got group %q, want none", got)
	}
}

// Guards against a group that keeps a lost voter: when a successor joins before the
// lost voter counts as unresponsive, the lost voter must still be removed. A group of
// five would otherwise stay at six voters with a quorum of four, and a partition into
// halves would stop both sides.
func TestGroupShrinksToConfiguredSize(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.joiners, c.groupSize = []string{"d"}, 3
	c.start("a", "b", "c")
	c.ready("a", "b", "c")
	c.kill("c")
	c.start("d")
	c.join("d")
	eventually(t, "three voters without c", func() bool {
		got := c.node("a").voters()
		return len(got) == 3 && contains(got, "d") && !contains(got, "c")
	})
}

// Guards against a learner that was removed while it was down and asks for its promotion for
// good, which the leader refuses.
func TestRemovedLearnerAsksToBeAdded(t *testing.T) {
	c := newCluster(t, "a")
	c.joiners = []string{"b"}
	c.start("a", "b")
	own := membership{incarnation: 7, learner: true}
	for _, tc := range []struct {
		unheard time.Duration
		want    string
	}{{0, VerbPromote}, {unheardAfter, VerbAdd}} {
		if got, due := c.node("b").joinStep(own, tc.unheard); got.Verb != tc.want || !due {
			t.Errorf("step of a learner without a leader for %v: got %q, due %t, want %q, due", tc.unheard, got.Verb, due, tc.want)
		}
	}
}
