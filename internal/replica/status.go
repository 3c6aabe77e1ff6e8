package replica

import (
	"time"

	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/pkg/raft"
)

const (
	// missingLeaderAfter is how long a voter knows no leader before it reports this; elections
	// take less.
	missingLeaderAfter = 2 * time.Second
	// missingLeaderInterval is the time between two such reports.
	missingLeaderInterval = 10 * time.Second
)

// updateStatus reads the status of the Raft core after a step and handles changes of
// leadership. Commands that are pending when this member stops leading may still be
// committed; their senders retry with the next leader.
func (v *voter) updateStatus() {
	old := v.status
	v.status = v.node.Status()
	leads := v.status.Role == raft.Leader
	if leads {
		v.r.leading.Store(v.status.Term)
	} else {
		v.r.leading.Store(0)
	}
	if old.Leader != v.status.Leader {
		v.r.setLeader(v.status.Leader)
	}
	if v.leaderState != nil && (!leads || v.leaderState.term != v.status.Term) {
		v.leaderState.cancelWaiters()
		v.leaderState = nil
		v.failPending(errNotLeader)
	}
	if leads && v.leaderState == nil {
		v.leaderState = newLeaderState(v)
		event.With(v.r.config.Log, event.LeaderChanged).WithField("term", v.status.Term).
			WithField("lost", voterNames(v.status.Lost)).Info("this node became the leader")
	}
}

// reportMissingLeader logs which voters are missing while the group has no leader.
func (v *voter) reportMissingLeader(now time.Time) {
	switch {
	case v.status.Leader != "" || v.status.Group == "":
		v.leaderMissing = time.Time{}
	case v.leaderMissing.IsZero():
		v.leaderMissing = now.Add(missingLeaderAfter)
	case !now.Before(v.leaderMissing):
		v.leaderMissing = now.Add(missingLeaderInterval)
		event.With(v.r.config.Log, event.LeaderMissing).WithField("unheard", voterNames(v.status.Unheard)).
			WithField("lost", voterNames(v.status.Lost)).WithField("voters", voterNames(v.status.Members)).
			Warn("the group has no leader")
	}
}

// voterNames returns the names of the voters among members.
func voterNames(members []raft.Member) []string {
	names := make([]string, 0, len(members))
	for _, m := range members {
		if !m.Learner {
			names = append(names, m.Name)
		}
	}
	return names
}
