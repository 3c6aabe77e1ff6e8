package raft

import "time"

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
