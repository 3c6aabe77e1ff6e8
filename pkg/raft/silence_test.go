package raft

import (
	"testing"
	"time"
)

// silent returns how long a member has not replied, as the leader reports it.
func silent(t *testing.T, leader *server, name string) time.Duration {
	t.Helper()
	for _, p := range leader.node.Status().Progress {
		if p.Member.Name == name {
			return p.Silent
		}
	}
	t.Fatalf("%s reports nothing of %s", leader.name, name)
	return 0
}

// Guards against a lost member that is never found, because each new leader counts its silence
// from the start of its own term.
func TestSilenceOutlastsLeaders(t *testing.T) {
	const changes, term = 6, 4 * simElectionTimeout
	s, leader := newIdleGroup(t, 4, Config{})
	lost := s.follower(leader)
	s.crash(lost)
	s.run(silenceReported + simElectionTimeout)
	for range changes {
		target := ""
		for _, name := range s.names {
			if name != leader.name && name != lost.name {
				target = name
			}
		}
		s.stepServer(leader, Input{TransferTarget: target})
		s.run(term)
		leader = s.leaders()[0]
	}
	// The clocks of two members differ by less than 5%.
	if got, want := silent(t, leader, lost.name), changes*term*95/100; got < want {
		t.Errorf("silence of the lost member: got %v, want %v at least", got, want)
	}
	for _, name := range s.names {
		if name == leader.name || name == lost.name {
			continue
		}
		if got, want := silent(t, leader, name), simElectionTimeout; got > want {
			t.Errorf("silence of %s, which runs: got %v, want %v at most", name, got, want)
		}
	}
}

// Guards against a voter that counts as silent for as long as no member led: the members that
// run have not had the time to reply to the new leader.
func TestNewLeaderLetsMembersReply(t *testing.T) {
	s, leader := newIdleGroup(t, 3, Config{})
	for _, name := range s.names {
		if name != leader.name {
			leader.node.silentSince = map[string]time.Time{name: s.clock(leader).Add(-time.Hour)}
		}
	}
	leader.node.leaderSince = leader.node.elapsed()
	leader.node.inheritSilences()
	for _, name := range s.names {
		if name == leader.name {
			continue
		}
		if got := silent(t, leader, name); got > 0 {
			t.Errorf("silence of %s at the start of the term: got %v, want 0", name, got)
		}
	}
}
