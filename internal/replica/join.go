package replica

import (
	"context"
	"slices"
	"time"

	"github.com/jaystage/jaystage/internal/boottime"
	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/pkg/raft"
	"github.com/jaystage/jaystage/pkg/wire"
)

const (
	// joinInterval is how often a voter outside the group asks for its next step.
	joinInterval = 200 * time.Millisecond
	// joinTimeout bounds one such request; it covers an election.
	joinTimeout = 2 * time.Second
	// replaceAfter is how long a voter must be silent before a newcomer takes its
	// place. It is longer than a restart or a resume usually takes, so that a voter
	// that comes back with its disk keeps its place.
	replaceAfter = 2500 * time.Millisecond
)

// Join makes this voter a full member of the group, for as long as ctx lasts: it
// asks to be added under its folder's incarnation and to be promoted once it holds
// everything that is committed. A member needs no call.
func (r *Replica) Join(ctx context.Context) {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		standing, ok := r.voter.standing(ctx)
		if !ok || standing.voter {
			continue
		}
		step := wire.Voters{Verb: VerbAdd, Name: r.config.Entry.Name, Incarnation: standing.incarnation}
		if standing.learner {
			step.Verb = VerbPromote
		}
		limit, cancel := context.WithTimeout(ctx, joinTimeout)
		err := r.Voters(limit, step)
		cancel()
		if err != nil {
			event.With(r.config.Log, event.VoterJoining).WithField("verb", step.Verb).WithError(err).Debug("join step not done yet")
		}
	}
}

// standing is a voter's place in the group as its own log has it.
type standing struct {
	incarnation    uint64
	learner, voter bool
}

func (v *voter) standing(ctx context.Context) (standing, bool) {
	answer := make(chan standing, 1)
	run := func() {
		s := standing{incarnation: v.log.Identity().Incarnation}
		for _, m := range v.status.Members {
			if m.Name == v.r.config.Entry.Name && m.Incarnation == s.incarnation {
				s.learner, s.voter = m.Learner, !m.Learner
			}
		}
		answer <- s
	}
	select {
	case v.inbox <- request{run: run}:
	case <-ctx.Done():
		return standing{}, false
	}
	select {
	case s := <-answer:
		return s, true
	case <-ctx.Done():
		return standing{}, false
	}
}

// noteAlive records which voters answer the leader. A voter that was never heard
// counts from the first call.
func (v *voter) noteAlive(now time.Time) {
	for _, m := range v.status.Members {
		if _, seen := v.lead.alive[m.Name]; !seen || m.Name == v.r.config.Entry.Name {
			v.lead.alive[m.Name] = now
		}
	}
	for _, p := range v.status.Progress {
		if p.Alive {
			v.lead.alive[p.Member.Name] = now
		}
	}
}

// silentVoter returns a voter whose place a newcomer takes. Only the voter's loop
// may call it.
func (v *voter) silentVoter(now time.Time) (raft.Member, bool) {
	i := slices.IndexFunc(v.status.Members, func(m raft.Member) bool {
		return !m.Learner && now.Sub(v.lead.alive[m.Name]) >= replaceAfter
	})
	if i < 0 {
		return raft.Member{}, false
	}
	return v.status.Members[i], true
}

// makeRoom removes a silent voter before a newcomer is added, so that the quorum of
// the group does not grow beyond the voters that answer.
func (v *voter) makeRoom(ctx context.Context, name string) error {
	var silent raft.Member
	var found bool
	err := v.readable(func(*leadership) {
		known := slices.ContainsFunc(v.status.Members, func(m raft.Member) bool { return m.Name == name })
		if !known {
			silent, found = v.silentVoter(boottime.Now())
		}
	})
	if err != nil || !found {
		return err
	}
	_, err = v.propose(ctx, request{
		change: &raft.Change{Kind: raft.ChangeRemove, Member: silent}, answer: make(chan result, 1),
	})
	if err == nil {
		event.With(v.r.config.Log, event.VoterChanged).WithField("voter", silent.Name).WithField("verb", VerbRemove).WithField("for", name).Warn("silent voter makes room for a new one")
	}
	return err
}

// trim removes a silent voter beyond the group's size: one that was replaced before it
// had been silent for long enough to make room. Only the voter's loop may call it.
func (l *leadership) trim(now time.Time) {
	v, voters := l.v, 0
	for _, m := range v.status.Members {
		if !m.Learner {
			voters++
		}
	}
	if size := v.r.config.Size; size == 0 || voters <= size || v.status.ChangePending || now.Sub(l.trimmed) < joinTimeout {
		return
	}
	silent, found := v.silentVoter(now)
	if !found {
		return
	}
	l.trimmed = now
	event.With(v.r.config.Log, event.VoterChanged).WithField("voter", silent.Name).WithField("verb", VerbRemove).Warn("silent voter beyond the size of the group is removed")
	select {
	case v.inbox <- request{change: &raft.Change{Kind: raft.ChangeRemove, Member: silent}, answer: make(chan result, 1)}:
	default: // tried again
	}
}
