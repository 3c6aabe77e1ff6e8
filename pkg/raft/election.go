package raft

import (
	"slices"
	"time"
)

// resetElection sets a random election timeout in [ElectionTimeout, 2*ElectionTimeout).
func (n *Node) resetElection() {
	n.electionDeadline = n.now.Add(n.cfg.ElectionTimeout + time.Duration(n.rand.Int64N(int64(n.cfg.ElectionTimeout))))
}

// delayElection prevents this member from campaigning for at least the duration d.
func (n *Node) delayElection(d time.Duration) {
	if until := n.now.Add(d); until.After(n.electionDeadline) {
		n.electionDeadline = until
	}
}

// leaseDuration returns how long a leader may rely on a reply, measured on its own clock
// from when it sent the request. A follower ignores vote requests for ElectionTimeout on
// its own clock, which may run up to 5% faster; 0.95 is less than 1/1.05.
func (n *Node) leaseDuration() time.Duration { return n.cfg.ElectionTimeout * 95 / 100 }

// ignoresVoteRequests reports whether this member must ignore vote and pre-vote requests:
// it is the leader, it received a message from a leader (or started) within the election
// timeout, or it is recovering.
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
		n.recordSilences(n.silences())
		n.failReads()
		n.progress = map[string]*progress{}
		n.transferTarget = ""
	}
	n.role, n.leader = Follower, leader
	if leader != "" {
		n.answered, n.unheard = nil, nil
	}
	n.votesGranted, n.selfVoteWrite = nil, 0
	n.resetElection()
}

// mayCampaign reports whether this member is a voter now, or was one before membership
// changes that may not be committed. In the second case its log may be the only one that
// is up-to-date enough to win; its own vote then does not count.
func (n *Node) mayCampaign() bool {
	for _, c := range n.log.memberships[n.log.membershipAt(n.commit):] {
		if slices.Contains(c.members, Member{Name: n.name, Incarnation: n.incarnation}) {
			return true
		}
	}
	return false
}

// startCampaign starts a pre-vote, or an election if the leader transfers leadership to
// this member.
func (n *Node) startCampaign(transfer bool) {
	n.resetElection()
	n.leader = ""
	n.noteUnheard()
	n.transferElection = transfer
	if transfer {
		n.startElection()
		return
	}
	n.role = PreCandidate
	n.votesGranted = map[Member]time.Duration{n.self(): n.elapsed()}
	if n.votesSuffice() {
		n.startElection()
		return
	}
	n.requestPreVotes()
}

// noteUnheard notes the voters that did not answer the campaign which ends now, if one does.
func (n *Node) noteUnheard() {
	if n.answered != nil {
		n.unheard = slices.DeleteFunc(slices.Clone(n.deciders()), func(m Member) bool { return m == n.self() || n.answered[m] })
	}
	n.answered = map[Member]bool{}
}

// requestPreVotes requests pre-votes from all other voters. It is repeated until the
// election timeout, because a member that has just restarted, or has recently received a
// message from the former leader, does not answer at first. The retry delay is random, so
// that two members rarely win the pre-vote at the same time and then split the vote.
func (n *Node) requestPreVotes() {
	n.requestVotes(KindPreVote, n.term+1)
	n.preVoteRetryAt = n.now.Add(n.cfg.HeartbeatInterval + time.Duration(n.rand.Int64N(int64((preVoteRetryHeartbeats-1)*n.cfg.HeartbeatInterval))))
}

func (n *Node) startElection() {
	n.role = Candidate
	n.term++
	n.votedFor = Member{Name: n.name, Incarnation: n.incarnation}
	n.hardStateChanged = true
	n.votesGranted, n.selfVoteWrite = map[Member]time.Duration{}, 0
	n.resetElection()
	n.requestVotes(KindVote, n.term)
}

// requestVotes sends vote or pre-vote requests to all other voters. Vote requests wait
// until the member's own vote is synced. Otherwise the member could campaign again in the
// same term after a crash while replies to the first campaign are in flight.
func (n *Node) requestVotes(kind uint8, term uint64) {
	for _, v := range n.deciders() {
		if v.Name == n.name {
			continue
		}
		m := Message{
			Kind: kind, To: v.Name, Target: v.Incarnation, Term: term,
			Index: n.log.last(), Prior: n.log.lastTerm(), Transfer: n.transferElection, Sent: uint64(n.elapsed()),
		}
		if kind == KindVote {
			n.sendAfterSync(m)
		} else {
			n.send(m)
		}
	}
}

// onVoteRequest answers a vote or pre-vote request. The candidate need not be a voter in
// this member's membership, which may be older than the candidate's. A request with
// Message.Transfer set is answered although a leader is active, because that leader
// requested the election and has revoked its lease.
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
	candidate := sender(m)
	if isPreVote {
		grant := m.Term > n.term && n.log.isUpToDate(m.Index, m.Prior)
		if grant && !n.reservePreVote(m.From) {
			return
		}
		term := n.term
		if grant {
			term = m.Term
		}
		n.send(n.replyTo(m, Message{Kind: KindPreVoteReply, Term: term, Reject: !grant, Sent: m.Sent}))
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
	n.sendAfterSync(n.replyTo(m, Message{Kind: KindVoteReply, Term: n.term, Sent: m.Sent}))
}

// reservePreVote reports whether a candidate may get a pre-vote, and reserves further
// pre-votes for this candidate for preVoteReservationHeartbeats. Two candidates that win
// the pre-vote at the same time would split the vote, especially if only a bare quorum is
// up. The reservation is not extended, so that a candidate that receives no replies does
// not prevent the others from being elected.
func (n *Node) reservePreVote(candidate string) bool {
	if n.role == PreCandidate {
		return true // this member needs a quorum too, and another candidate's may depend on its pre-vote
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
	n.countVote(m)
	if n.votesSuffice() {
		n.startElection()
	}
}

func (n *Node) onVoteReply(m Message) {
	if n.role != Candidate || m.Reject {
		return
	}
	n.countVote(m)
	n.becomeLeaderOnQuorum()
}

// countVote records a vote or pre-vote, and when it was requested.
func (n *Node) countVote(m Message) {
	if sent := time.Duration(m.Sent); sent <= n.elapsed() {
		voter := n.senderAsVoter(m)
		n.votesGranted[voter] = max(n.votesGranted[voter], sent)
	}
}

// votesSuffice reports whether enough voters have granted a vote or pre-vote.
func (n *Node) votesSuffice() bool {
	return agreed(n, func(m Member) (a agreement[int]) {
		if sent, ok := n.votesGranted[m]; ok {
			a = agreement[int]{1, sent}
			if m == n.self() {
				a.sent = n.elapsed()
			}
		}
		return a
	}) > 0
}

func (n *Node) becomeLeaderOnQuorum() {
	if n.votesSuffice() {
		n.becomeLeader()
	}
}

// onTimeoutNow starts an election immediately, as requested by the leader.
func (n *Node) onTimeoutNow(m Message) {
	if m.Term == n.term && m.From == n.leader && n.role == Follower && n.isVoter() && !n.recovering {
		n.startCampaign(true)
	}
}
