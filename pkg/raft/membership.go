package raft

import (
	"maps"
	"slices"
	"time"
)

// members returns the membership in effect: the newest one in the log, committed
// or not.
func (n *Node) members() []Member { return n.log.memberships[len(n.log.memberships)-1].members }

// member returns the member with the given name in the membership in effect.
func (n *Node) member(name string) (Member, bool) { return findMember(n.members(), name) }

// findMember returns the member with the given name.
func findMember(members []Member, name string) (Member, bool) {
	i := slices.IndexFunc(members, func(m Member) bool { return m.Name == name })
	if i < 0 {
		return Member{}, false
	}
	return members[i], true
}

// settledMembers returns the newest membership that is known to be committed. Before the
// first commit that is the one with which the group was formed, as no leader can overwrite
// entry 1.
func (n *Node) settledMembers() []Member {
	list := n.log.memberships
	if n.commit == 0 && len(list) > 1 && list[1].index == 1 {
		return list[1].members
	}
	return list[n.log.membershipAt(n.commit)].members
}

// isSettled reports whether this incarnation is a member in the newest membership that is
// known to be committed.
func (n *Node) isSettled(name string, incarnation uint64) bool {
	m, ok := findMember(n.settledMembers(), name)
	return ok && m.Incarnation == incarnation
}

// noteFormerMembers remembers the incarnations in the memberships that have been committed
// since the last step.
func (n *Node) noteFormerMembers() {
	if n.log.memberships[len(n.log.memberships)-1].index < n.formerThrough {
		return
	}
	for _, c := range n.log.memberships {
		if c.index > n.commit || c.index < n.formerThrough {
			continue
		}
		for _, m := range c.members {
			n.former[Member{Name: m.Name, Incarnation: m.Incarnation}] = true
		}
		n.formerThrough = c.index + 1
	}
}

// onceMember reports whether this incarnation's own log shows that it was a member by a
// committed change: the change is known to be committed, or it was promoted later.
func (n *Node) onceMember() bool {
	return n.former[Member{Name: n.name, Incarnation: n.incarnation}] ||
		slices.ContainsFunc(n.log.memberships, func(c membership) bool {
			return slices.Contains(c.members, Member{Name: n.name, Incarnation: n.incarnation})
		})
}

// hasVote reports whether the member with this name and incarnation is a voter.
func (n *Node) hasVote(name string, incarnation uint64) bool {
	m, ok := n.member(name)
	return ok && !m.Learner && m.Incarnation == incarnation
}

func (n *Node) isVoter() bool { return n.hasVote(n.name, n.incarnation) }

// voterCount returns the number of voters in the membership in effect.
func (n *Node) voterCount() int { return len(n.log.memberships[len(n.log.memberships)-1].voters) }

// pendingChange reports whether the membership in effect is not yet committed.
func (n *Node) pendingChange() bool {
	return n.log.memberships[len(n.log.memberships)-1].index > n.commit
}

// proposeChange appends a membership change, or reports why it is rejected.
func (n *Node) proposeChange(c Change) {
	members, err := n.nextMembers(c)
	if err != nil {
		n.out.Results = append(n.out.Results, Result{ID: c.ID, Err: err})
		return
	}
	index := n.appendMembership(members, n.log.memberships[len(n.log.memberships)-1].halves)
	n.out.Results = append(n.out.Results, Result{ID: c.ID, Index: index, Term: n.term})
}

// appendMembership appends a membership to the leader's log and returns its index.
func (n *Node) appendMembership(members []Member, halves bool) uint64 {
	index := n.appendEntry(Entry{Kind: EntryMembership, Members: members, Halves: halves})
	n.updateProgress()
	return index
}

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

// allowsHalves reports whether half of the voters may decide: there are more than the group needs,
// every voter has told this leader that its release knows the rule, and no member that answers has an
// earlier release. As a leader, an earlier release would change an even number of voters without
// their quorum. With fewer voters, halves would only keep the next change waiting for that quorum.
func (n *Node) allowsHalves(current membership) bool {
	if len(current.voters)%2 != 0 || len(current.voters) <= n.cfg.GroupSize {
		return false
	}
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

// nextMembers validates a membership change and returns the resulting membership.
func (n *Node) nextMembers(c Change) ([]Member, error) {
	if err := n.checkWritable(); err != nil {
		return nil, err
	}
	switch {
	case !n.committedInTerm():
		return nil, ErrNotReady
	case n.pendingChange():
		return nil, ErrChangePending
	}
	old, known := n.member(c.Member.Name)
	members := slices.DeleteFunc(slices.Clone(n.members()), func(m Member) bool {
		return m.Name == c.Member.Name
	})
	next := Member{Name: c.Member.Name, Incarnation: c.Member.Incarnation}
	sameIncarnation := known && old.Incarnation == next.Incarnation
	switch {
	case c.Kind == ChangeAdd && sameIncarnation:
		return nil, ErrAlreadyMember
	case c.Kind == ChangeAdd:
		next.Learner = true
		members = append(members, next)
	case !sameIncarnation || c.Kind < ChangePromote || c.Kind > ChangeDemote:
		return nil, ErrUnknownMember
	case c.Kind != ChangePromote && !old.Learner && n.voterCount() <= c.MinVoters:
		return nil, ErrTooFewVoters
	case c.Kind == ChangePromote && !old.Learner, c.Kind == ChangeDemote && old.Learner:
		return nil, ErrAlreadyMember
	case c.Kind == ChangeDemote:
		next.Learner = true
		members = append(members, next)
	case c.Kind == ChangePromote:
		if !n.promotable(next.Name) {
			return nil, ErrNotCaughtUp
		}
		members = append(members, next)
	}
	if !slices.ContainsFunc(members, func(m Member) bool { return !m.Learner }) {
		return nil, ErrLastVoter
	}
	slices.SortFunc(members, func(a, b Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return members, nil
}

// alive reports whether a member has replied within the lease duration.
func (n *Node) alive(p *progress) bool {
	return p.lastContact > 0 && !p.regressed && n.elapsed()-p.lastContact < n.leaseDuration()
}

// caughtUp reports whether a member is alive and has synced all committed entries.
func (n *Node) caughtUp(p *progress) bool {
	return p != nil && p.match >= n.commit && n.alive(p)
}
