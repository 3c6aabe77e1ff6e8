package raft

import "time"

// silenceReported is the time without a reply after which a leader reports a member as
// silent to the other members. Members that answer are never reported, so that heartbeats
// stay short.
const silenceReported = 500 * time.Millisecond

// silences lists the members that have not replied to the leader for silenceReported.
func (n *Node) silences() []Silence {
	var list []Silence
	for _, m := range n.members() {
		p := n.progress[m.Name]
		if p == nil {
			continue
		}
		if silent := n.now.Sub(p.heardAt); silent >= silenceReported {
			list = append(list, Silence{Name: m.Name, Ms: uint64(silent.Milliseconds())})
		}
	}
	return list
}

// recordSilences remembers when the members that a leader reports as silent last replied, so
// that their silence outlasts the leader's term: a group whose leaders change often would
// otherwise never find a lost member.
func (n *Node) recordSilences(reported []Silence) {
	n.silentSince = make(map[string]time.Time, len(reported))
	for _, s := range reported {
		n.silentSince[s.Name] = n.now.Add(-time.Duration(s.Ms) * time.Millisecond)
	}
}

// inheritSilences makes a new leader count the silence of members from their last reply to
// an earlier leader. Members without a report count as heard now.
func (n *Node) inheritSilences() {
	for name, since := range n.silentSince {
		if p := n.progress[name]; p != nil {
			p.heardAt = since
		}
	}
}

// silentFor returns how long a member has not replied. A new leader reports no silence from
// before its term until the member has had an election timeout to reply to it.
func (n *Node) silentFor(p *progress) time.Duration {
	if led := n.elapsed() - n.leaderSince; led < n.cfg.ElectionTimeout {
		return min(led, n.now.Sub(p.heardAt))
	}
	return n.now.Sub(p.heardAt)
}
