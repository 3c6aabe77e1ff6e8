package replica

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

var undoneSeeds = flag.Int("undone.seeds", 2, "number of schedules of cut changes to simulate for each moment of the cut")

const (
	// cutLength is how long the network is cut in two.
	cutLength = 3 * time.Second
	// cutElectionTimeout is that of a deployment. Every other schedule takes the default, under
	// which a cut-off leader sends more before it stops.
	cutElectionTimeout = 200 * time.Millisecond
)

// undoneChange is what happens to one voter while the network is cut in two.
type undoneChange string

const (
	wipedVoter    undoneChange = "a wiped voter"    // returns with an empty disk
	successor     undoneChange = "a successor"      // joins under a new name
	stoppingVoter undoneChange = "a stopping voter" // leaves, as its successor has come
	lostVoter     undoneChange = "a lost voter"     // is demoted, as its successor has come
)

// cutChange is a schedule in which the network is cut in two during a change of the members.
type cutChange struct {
	change     undoneChange
	after      time.Duration // from the voter's first request to the cut; for a lost one from its loss
	withLeader bool          // the voter is on the side of the leader
	restarted  bool          // processes of the smaller side are killed at the end of the cut
}

// startChange lets the change of the members begin and returns the voter that is cut off with the
// leader, and the time until its first request.
func (s *sim) startChange(change undoneChange, followers []*simVoter) (voter *simVoter, request time.Duration) {
	voter = followers[0]
	switch change {
	case successor:
		return s.addSuccessor(), joinInterval
	case wipedVoter:
		s.loseDisk(voter)
		return voter, simDown + joinInterval
	}
	s.addSuccessor()
	s.run(simCatchUp, true)
	if change == stoppingVoter {
		s.stopProcess(voter, false)
		return voter, 0
	}
	s.loseVM(voter)
	return followers[2], s.electionTimeout
}

// addSuccessor starts a new voter.
func (s *sim) addSuccessor() *simVoter {
	p := s.newVoter("j")
	s.startProcess(p)
	s.voters = append(s.voters, p)
	return p
}

// playCutChange cuts off the leader, or a follower, and another voter during a change.
func (s *sim) playCutChange(c cutChange) {
	leader := s.leader()
	var followers []*simVoter
	for _, p := range s.voters {
		if p != leader {
			followers = append(followers, p)
		}
	}
	cut := []*simVoter{leader}
	if !c.withLeader {
		cut[0] = followers[1]
	}
	voter, request := s.startChange(c.change, followers)
	cut = append(cut, voter)
	s.run(request+c.after, true)
	s.cutOff = map[string]bool{cut[0].name: true, voter.name: true}
	s.run(cutLength, true)
	for _, p := range cut {
		if c.restarted && p.stop == nil {
			s.kill(p)
			p.restartAt = s.now.Add(restartDelay)
		}
	}
	s.cutOff = nil
	s.run(simCatchUp, true)
}

// checkNoExits checks that no process has ended by itself.
func (s *sim) checkNoExits(schedule any) {
	for _, p := range s.voters {
		if len(p.exits) > 0 {
			s.t.Errorf("seed %d: %+v: the process of %s ended %d times, first %v", s.seed, schedule, p.name, len(p.exits), p.exits[0])
		}
	}
}

// Load pattern: a voter joins, leaves or is lost, and the network is cut in two at one moment
// after the other, so that each change of the membership is undone in some schedule; then as many
// disks are lost as the group tolerates. Guards against a voter that belongs to the group by an
// add which never was committed: it is told that it was replaced, ends at each start and is never
// added again (review/11).
func TestCutAtEachStepOfChange(t *testing.T) {
	const firstStep, lastStep = -3 * simStep, 20 * simStep
	for _, change := range []undoneChange{wipedVoter, successor, stoppingVoter, lostVoter} {
		for _, restarted := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, restarted %t", change, restarted), func(t *testing.T) {
				t.Parallel()
				for after := time.Duration(firstStep); after < lastStep; after += simStep {
					for i := range *undoneSeeds {
						s := newEmptySim(t, uint64(i)<<16|uint64((after-firstStep)/simStep), 5)
						if i%2 == 0 {
							s.electionTimeout = cutElectionTimeout
						}
						for _, p := range s.voters {
							s.startProcess(p)
						}
						s.run(formationTime, true)
						c := cutChange{change: change, after: after, withLeader: i%4 != 3, restarted: restarted}
						s.playCutChange(c)
						s.checkNoExits(c)
						s.loseTolerated()
						s.checkReplaced(c)
					}
				}
			})
		}
	}
}
