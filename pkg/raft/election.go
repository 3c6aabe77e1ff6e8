package raft

import (
	"slices"
	"time"
)

// resetElection draws the next election timeout from [Election, 2*Election).
func (n *Node) resetElection() {
	n.electionDeadline = n.now.Add(n.cfg.ElectionTimeout + time.Duration(n.rand.Int64N(int64(n.cfg.ElectionTimeout))))
}

// putOff keeps this member from campaigning for a time.
func (n *Node) delayElection(d time.Duration) {
	if until := n.now.Add(d); until.After(n.electionDeadline) {
		n.electionDeadline = until
	}
}

// lease is how long a leader may rely on an answer, measured on its own clock from
// when it sent the question. A follower refuses votes for Election on its clock,
// which may run 5% faster; 0.95 is below 1/1.05.
func (n *Node) leaseDuration() time.Duration { return n.cfg.ElectionTimeout * 95 / 100 }

// bound reports whether this member has to ignore vote requests: it heard from a
// leader (or started) within the election timeout, or has not yet proven that its
// folder is recent.
func (n *Node) ignoresVoteRequests() bool {
	if n.hooks.voteDespiteLeader {
		return n.role == Leader
	}
	return n.role == Leader || n.recovering || n.now.Sub(n.leaderContact) < n.cfg.ElectionTimeout
}

func (n *Node) becomeFollower(term uint64, leader string) {
	if term > n.term {
		n.term, n.votedFor, n.hardStateChanged = term, Member{}, true
	}
	if n.role == Leader {
		n.failReads()
		n.progress = map[string]*progress{}
		n.transferTarget = ""
	}
	n.role, n.leader = Follower, leader
	n.votesGranted, n.selfVoteWrite = nil, 0
	n.resetElection()
}

// mayCampaign reports whether this member has a vote now, or had one before changes
// that may not be committed. In the second case its log may be the only one that is
// recent enough to win; its own vote then does not count.
func (n *Node) mayCampaign() bool {
	for _, c := range n.log.memberships[n.log.membershipAt(n.commit):] {
		if slices.Contains(c.members, Member{Name: n.name, Incarnation: n.incarnation}) {
			return true
		}
	}
	return false
}

// campaign starts a pre-vote, or the vote itself when the leader asked for it.
func (n *Node) startCampaign(transfer bool) {
	n.resetElection()
	n.leader = ""
	n.transferElection = transfer
	if transfer {
		n.startElection()
		return
	}
	n.role = PreCandidate
	n.votesGranted = map[string]bool{n.name: n.isVoter()}
	if n.grantedVotes() >= n.quorum() {
		n.startElection()
		return
	}
	n.requestPreVotes()
}

// preAsk asks all others whether they would vote for this member. It is repeated
// until the election timeout: one that has just restarted, or has just heard from the
// former leader, cannot answer at first. The pause is drawn, so that two members
// seldom win the pre-vote at once and then split the vote.
func (n *Node) requestPreVotes() {
	n.requestVotes(KindPreVote, n.term+1)
	n.preVoteRetryAt = n.now.Add(n.cfg.HeartbeatInterval + time.Duration(n.rand.Int64N(int64((preVoteRetryHeartbeats-1)*n.cfg.HeartbeatInterval))))
}

func (n *Node) startElection() {
	n.role = Candidate
	n.term++
	n.votedFor = Member{Name: n.name, Incarnation: n.incarnation}
	n.hardStateChanged = true
	n.votesGranted, n.selfVoteWrite = map[string]bool{}, 0
	n.resetElection()
	n.requestVotes(KindVote, n.term)
}

// askVotes asks all other voters. A request for a vote waits until the own vote is
// synced: after a crash the member must not campaign again in the same term with
// answers to the first campaign on the way.
func (n *Node) requestVotes(kind uint8, term uint64) {
	for _, v := range n.members() {
		if v.Learner || v.Name == n.name {
			continue
		}
		m := Message{
			Kind: kind, To: v.Name, Target: v.Incarnation, Term: term,
			Index: n.log.last(), Prior: n.log.lastTerm(), Transfer: n.transferElection,
		}
		if kind == KindVote {
			n.sendAfterSync(m)
		} else {
			n.send(m)
		}
	}
}

// onVoteRequest answers a candidate. The candidate need not be a voter in this
// member's membership, which may be older than the candidate's.
func (n *Node) onVoteRequest(m Message) {
	if n.ignoresVoteRequests() && (!m.Transfer || n.recovering) {
		n.ignoredPreVote = n.ignoredPreVote || n.recovering && m.Kind == KindPreVote
		return
	}
	isPreVote := m.Kind == KindPreVote
	if m.Term < n.term {
		n.send(n.replyTo(m, Message{Kind: m.Kind + 1, Term: n.term, Reject: true}))
		return
	}
	candidate := Member{Name: m.From, Incarnation: m.Incarnation}
	if isPreVote {
		grant := m.Term > n.term && n.log.isUpToDate(m.Index, m.Prior)
		if grant && !n.reservePreVote(m.From) {
			return
		}
		term := n.term
		if grant {
			term = m.Term
		}
		n.send(n.replyTo(m, Message{Kind: KindPreVoteReply, Term: term, Reject: !grant}))
		return
	}
	if m.Term > n.term {
		n.becomeFollower(m.Term, "")
	}
	canGrant := n.votedFor == Member{} || n.votedFor == candidate
	if !canGrant || n.leader != "" || !n.log.isUpToDate(m.Index, m.Prior) {
		n.send(n.replyTo(m, Message{Kind: KindVoteReply, Term: n.term, Reject: true}))
		return
	}
	if n.votedFor != candidate {
		n.votedFor, n.hardStateChanged = candidate, true
	}
	n.resetElection()
	n.sendAfterSync(n.replyTo(m, Message{Kind: KindVoteReply, Term: n.term}))
}

// favour reports whether a pre-vote may go to a candidate. For some heartbeats only one
// gets it: two that win it at once would split the vote, above all if no more than a
// quorum is up. It is not extended, so that one that hears no answers keeps nobody
// else from leading.
func (n *Node) reservePreVote(candidate string) bool {
	if n.role == PreCandidate {
		return true // waits for a quorum itself, and may be needed for that of another
	}
	if n.now.Before(n.preVoteReservedUntil) {
		return n.preVotedFor == candidate
	}
	n.preVotedFor, n.preVoteReservedUntil = candidate, n.now.Add(preVoteReservationHeartbeats*n.cfg.HeartbeatInterval)
	return true
}

func (n *Node) onPreVoteReply(m Message) {
	if m.Reject && m.Term > n.term {
		n.becomeFollower(m.Term, "")
		return
	}
	if n.role != PreCandidate || m.Reject || m.Term != n.term+1 {
		return
	}
	n.votesGranted[m.From] = true
	if n.grantedVotes() >= n.quorum() {
		n.startElection()
	}
}

func (n *Node) onVoteReply(m Message) {
	if n.role != Candidate || m.Reject {
		return
	}
	n.votesGranted[m.From] = true
	n.becomeLeaderOnQuorum()
}

// tally counts the answers of members that have a vote.
func (n *Node) grantedVotes() int {
	count := 0
	for _, m := range n.members() {
		if !m.Learner && n.votesGranted[m.Name] {
			count++
		}
	}
	return count
}

func (n *Node) becomeLeaderOnQuorum() {
	if n.grantedVotes() >= n.quorum() {
		n.becomeLeader()
	}
}

// onTakeOver campaigns at once because the leader asked for it.
func (n *Node) onTimeoutNow(m Message) {
	if m.Term == n.term && m.From == n.leader && n.role == Follower && n.isVoter() && !n.recovering {
		n.startCampaign(true)
	}
}
