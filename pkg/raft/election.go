package raft

import (
	"slices"
	"time"
)

// resetElection draws the next election timeout from [Election, 2*Election).
func (n *Node) resetElection() {
	n.deadline = n.now.Add(n.cfg.Election + time.Duration(n.rand.Int64N(int64(n.cfg.Election))))
}

// putOff keeps this member from campaigning for a time.
func (n *Node) putOff(d time.Duration) {
	if until := n.now.Add(d); until.After(n.deadline) {
		n.deadline = until
	}
}

// lease is how long a leader may rely on an answer, measured on its own clock from
// when it sent the question. A follower refuses votes for Election on its clock,
// which may run 5% faster; 0.95 is below 1/1.05.
func (n *Node) lease() time.Duration { return n.cfg.Election * 95 / 100 }

// bound reports whether this member has to ignore vote requests: it heard from a
// leader (or started) within the election timeout, or has not yet proven that its
// folder is recent.
func (n *Node) bound() bool {
	if n.hooks.lateVote {
		return n.role == Leader
	}
	return n.role == Leader || n.unproven || n.now.Sub(n.heard) < n.cfg.Election
}

func (n *Node) becomeFollower(term uint64, leader string) {
	if term > n.term {
		n.term, n.vote, n.dirty = term, Member{}, true
	}
	if n.role == Leader {
		n.dropReads()
		n.progress = map[string]*progress{}
		n.transfer = ""
	}
	n.role, n.leader = Follower, leader
	n.ballots, n.selfWrite = nil, 0
	n.resetElection()
}

// mayCampaign reports whether this member has a vote now, or had one before changes
// that may not be committed. In the second case its log may be the only one that is
// recent enough to win; its own vote then does not count.
func (n *Node) mayCampaign() bool {
	for _, c := range n.log.confs[n.log.confAt(n.commit):] {
		if slices.Contains(c.members, Member{Name: n.name, Incarnation: n.incarnation}) {
			return true
		}
	}
	return false
}

// campaign starts a pre-vote, or the vote itself when the leader asked for it.
func (n *Node) campaign(handover bool) {
	n.resetElection()
	n.leader = ""
	n.handover = handover
	if handover {
		n.startVote()
		return
	}
	n.role = PreCandidate
	n.ballots = map[string]bool{n.name: n.isVoter()}
	if n.tally() >= n.quorum() {
		n.startVote()
		return
	}
	n.preAsk()
}

// preAsk asks all others whether they would vote for this member. It is repeated
// until the election timeout: one that has just restarted, or has just heard from the
// former leader, cannot answer at first. The pause is drawn, so that two members
// seldom win the pre-vote at once and then split the vote.
func (n *Node) preAsk() {
	n.askVotes(KindPreVote, n.term+1)
	n.askAt = n.now.Add(n.cfg.Heartbeat + time.Duration(n.rand.Int64N(int64((askBeats-1)*n.cfg.Heartbeat))))
}

func (n *Node) startVote() {
	n.role = Candidate
	n.term++
	n.vote = Member{Name: n.name, Incarnation: n.incarnation}
	n.dirty = true
	n.ballots, n.selfWrite = map[string]bool{}, 0
	n.resetElection()
	n.askVotes(KindVote, n.term)
}

// askVotes asks all other voters. A request for a vote waits until the own vote is
// synced: after a crash the member must not campaign again in the same term with
// answers to the first campaign on the way.
func (n *Node) askVotes(kind uint8, term uint64) {
	for _, v := range n.members() {
		if v.Learner || v.Name == n.name {
			continue
		}
		m := Message{
			Kind: kind, To: v.Name, Target: v.Incarnation, Term: term,
			Index: n.log.last(), Prior: n.log.lastTerm(), Transfer: n.handover,
		}
		if kind == KindVote {
			n.promise(m)
		} else {
			n.send(m)
		}
	}
}

// onVoteRequest answers a candidate. The candidate need not be a voter in this
// member's membership, which may be older than the candidate's.
func (n *Node) onVoteRequest(m Message) {
	if n.bound() && (!m.Transfer || n.unproven) {
		n.awaited = n.awaited || n.unproven && m.Kind == KindPreVote
		return
	}
	pre := m.Kind == KindPreVote
	if m.Term < n.term {
		n.send(n.reply(m, Message{Kind: m.Kind + 1, Term: n.term, Reject: true}))
		return
	}
	candidate := Member{Name: m.From, Incarnation: m.Incarnation}
	if pre {
		grant := m.Term > n.term && n.log.newer(m.Index, m.Prior)
		if grant && !n.favour(m.From) {
			return
		}
		term := n.term
		if grant {
			term = m.Term
		}
		n.send(n.reply(m, Message{Kind: KindPreVoteReply, Term: term, Reject: !grant}))
		return
	}
	if m.Term > n.term {
		n.becomeFollower(m.Term, "")
	}
	free := n.vote == Member{} || n.vote == candidate
	if !free || n.leader != "" || !n.log.newer(m.Index, m.Prior) {
		n.send(n.reply(m, Message{Kind: KindVoteReply, Term: n.term, Reject: true}))
		return
	}
	if n.vote != candidate {
		n.vote, n.dirty = candidate, true
	}
	n.resetElection()
	n.promise(n.reply(m, Message{Kind: KindVoteReply, Term: n.term}))
}

// favour reports whether a pre-vote may go to a candidate. For some heartbeats only one
// gets it: two that win it at once would split the vote, above all if no more than a
// quorum is up. It is not extended, so that one that hears no answers keeps nobody
// else from leading.
func (n *Node) favour(candidate string) bool {
	if n.role == PreCandidate {
		return true // waits for a quorum itself, and may be needed for that of another
	}
	if n.now.Before(n.favouredTo) {
		return n.favoured == candidate
	}
	n.favoured, n.favouredTo = candidate, n.now.Add(favourBeats*n.cfg.Heartbeat)
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
	n.ballots[m.From] = true
	if n.tally() >= n.quorum() {
		n.startVote()
	}
}

func (n *Node) onVoteReply(m Message) {
	if n.role != Candidate || m.Reject {
		return
	}
	n.ballots[m.From] = true
	n.countVotes()
}

// tally counts the answers of members that have a vote.
func (n *Node) tally() int {
	count := 0
	for _, m := range n.members() {
		if !m.Learner && n.ballots[m.Name] {
			count++
		}
	}
	return count
}

func (n *Node) countVotes() {
	if n.tally() >= n.quorum() {
		n.becomeLeader()
	}
}

// onTakeOver campaigns at once because the leader asked for it.
func (n *Node) onTakeOver(m Message) {
	if m.Term == n.term && m.From == n.leader && n.role == Follower && n.isVoter() && !n.unproven {
		n.campaign(true)
	}
}
