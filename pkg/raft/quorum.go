package raft

import (
	"cmp"
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
	quorums := []quorum{{voters: current.voters, halves: n.hooks.halvesUncommitted && len(current.voters)%2 == 0}}
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
