package raft

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// quorum is a set of voters of which a majority must agree.
type quorum struct {
	voters []Member
	// halves is true if half of them may agree instead, once another one is proven lost. It is
	// true only for an even number of voters of a committed membership.
	halves bool
}

// quorums returns the quorums that every decision needs: an election, a commit, a lease and a
// confirmed read.
//
// A leader changes only a committed membership, so the one before the newest is committed. While
// the newest one is not known to be, an even number of voters before it must agree as well if half
// of them may decide: these need not meet a majority of the new ones.
func (n *Node) quorums() []quorum {
	list := n.log.memberships
	current := list[len(list)-1]
	if current.index <= n.commit || len(list) == 1 {
		return []quorum{current.quorum(true)}
	}
	prior := list[len(list)-2]
	if current.sameVoters(prior) {
		return []quorum{prior.quorum(current.halves)}
	}
	quorums := []quorum{current.quorum(n.hooks.halvesUncommitted)}
	if len(prior.voters)%2 == 0 && (prior.halves || current.halves) && !n.hooks.singleQuorum {
		quorums = append(quorums, prior.quorum(true))
	}
	return quorums
}

// quorum returns the quorum of a membership, in which halves decide if the membership allows it.
func (c membership) quorum(halves bool) quorum {
	return quorum{voters: c.voters, halves: halves && c.halves && len(c.voters)%2 == 0}
}

func (c membership) sameVoters(other membership) bool { return slices.Equal(c.voters, other.voters) }

// agreement is what a voter has agreed to, and when.
type agreement[T cmp.Ordered] struct {
	value T
	// sent is when the request was sent to which the voter gave its last answer, on the clock of
	// this member. The answer confirms value.
	sent time.Duration
}

// agreed returns the highest value to which enough voters of every quorum have agreed. The
// function answers for a single voter; it returns the zero value for one that has not answered.
// The result is zero if too few voters have answered.
func agreed[T cmp.Ordered](n *Node, of func(voter Member) agreement[T]) (value T) {
	for i, q := range n.quorums() {
		if v := agreedIn(n, q, of); i == 0 || v < value {
			value = v
		}
	}
	return value
}

// agreedIn returns the highest value to which enough voters of one quorum have agreed.
//
// Half of the voters are enough if all of them answered requests that were sent after another
// voter had been proven lost. Two such halves always meet: if they did not, each would contain
// the voter whose loss the other one relies on, and each of these two would have answered after
// the loss of the other.
func agreedIn[T cmp.Ordered](n *Node, q quorum, of func(voter Member) agreement[T]) T {
	all, afterLoss := make([]T, 0, len(q.voters)), []T(nil)
	provenAt, lost := n.lossProvenAt(q)
	for _, m := range q.voters {
		a := of(m)
		all = append(all, a.value)
		if lost && a.sent > provenAt {
			afterLoss = append(afterLoss, a.value)
		}
	}
	value := nthHighest(all, len(q.voters)/2+1)
	if q.halves {
		value = max(value, nthHighest(afterLoss, len(q.voters)/2))
	}
	return value
}

// nthHighest returns the n-th highest value; zero if there are fewer. It sorts the values.
func nthHighest[T cmp.Ordered](values []T, n int) (value T) {
	if n <= 0 || len(values) < n {
		return value
	}
	slices.Sort(values)
	return values[len(values)-n]
}

// lossProvenAt returns when a voter of a quorum was first proven lost, if any was.
func (n *Node) lossProvenAt(q quorum) (at time.Duration, lost bool) {
	if n.hooks.halvesWithoutLoss {
		return 0, true
	}
	for _, m := range q.voters {
		if proven, ok := n.lost[m]; ok && (!lost || proven < at) {
			at, lost = proven, true
		}
	}
	if n.hooks.halvesBeforeLoss {
		at = 0
	}
	return at, lost
}

// deciders returns the voters of all quorums that a decision needs, sorted by name. A name may
// appear twice, with two incarnations. The caller must not change the list.
func (n *Node) deciders() []Member {
	quorums := n.quorums()
	if len(quorums) == 1 {
		return quorums[0].voters
	}
	voters := slices.Clone(quorums[0].voters)
	for _, m := range quorums[1].voters {
		if !slices.Contains(voters, m) {
			voters = append(voters, m)
		}
	}
	slices.SortFunc(voters, compareMembers)
	return voters
}

// compareMembers orders members by name and incarnation.
func compareMembers(a, b Member) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
}

// isDecider reports whether this incarnation is a voter whose agreement a decision may need.
func (n *Node) isDecider(m Member) bool { return slices.Contains(n.deciders(), m) }

// self returns this incarnation as a voter.
func (n *Node) self() Member { return Member{Name: n.name, Incarnation: n.incarnation} }

// onEmpty records that a voter is lost: a process under its name, asked for this incarnation, has
// an empty directory. The voter was a member when it was asked for, so the directory was emptied
// after that, and the voter can never answer again.
func (n *Node) onEmpty(m Message) {
	voter := Member{Name: m.From, Incarnation: m.Hint}
	if m.Target != n.incarnation || m.Incarnation == m.Hint || !n.isDecider(voter) {
		return
	}
	if _, known := n.lost[voter]; !known {
		n.lost[voter] = n.elapsed()
	}
}

// answerEmpty tells the sender of a message for an earlier incarnation of this name that the
// directory is empty now.
func (n *Node) answerEmpty(m Message) {
	switch m.Kind {
	case KindPreVote, KindVote, KindAppend, KindHeartbeat, KindSnapshot:
		n.send(n.replyTo(m, Message{Kind: KindEmpty, Hint: m.Target}))
	}
}

// isEmpty reports whether the directory has never held a log.
func (n *Node) isEmpty() bool { return n.log.last() == 0 }

// advanceMembership appends the newest membership once more, which changes no vote. Whoever holds
// that entry knows that the voters are committed, also after a loss of all processes. The entry also
// allows halves or forbids them.
func (n *Node) advanceMembership() {
	maps.DeleteFunc(n.lost, func(m Member, _ time.Duration) bool { return !n.isDecider(m) })
	list := n.log.memberships
	current := list[len(list)-1]
	if n.checkWritable() != nil || !n.committedInTerm() || n.pendingChange() || n.hooks.earlierRelease {
		return
	}
	halves := n.allowsHalves(current)
	if halves != current.halves || len(list) > 1 && !current.sameVoters(list[len(list)-2]) {
		n.appendMembership(current.members, halves)
	}
}

// allowsHalves reports whether half of the voters may decide: every voter has told this leader
// that its release knows the rule, and no member that answers has an earlier release. As a leader,
// an earlier release would change an even number of voters without their quorum.
func (n *Node) allowsHalves(current membership) bool {
	for _, m := range current.members {
		p := n.progress[m.Name]
		switch {
		case m.Name == n.name:
		case p == nil || p.lastContact == 0: // unknown to this leader
			if !current.halves && !m.Learner {
				return false
			}
		case !p.halves:
			return false
		}
	}
	return true
}
