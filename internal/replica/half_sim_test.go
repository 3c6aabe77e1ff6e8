package replica

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"
)

var halfSeeds = flag.Int("half.seeds", 40, "number of schedules of a removed voter and lost disks to simulate for each size")

// togetherLoss is a schedule in which a VM is removed after its successor has caught up, and as
// many disks as the group tolerates are lost before the group can have noticed.
type togetherLoss struct {
	stopped       bool            // the removed VM gets SIGTERM
	removed       string          // the voter of the removed VM
	lost          []string        // the voters of the lost disks
	after         []time.Duration // from the removal to the loss of each disk
	othersRestart bool            // all other VMs lose power with the last disk
}

func (s *sim) drawTogetherLoss() togetherLoss {
	l := togetherLoss{stopped: s.rng.IntN(4) == 0, othersRestart: s.rng.IntN(3) == 0}
	names := make([]string, 0, len(s.voters))
	for _, i := range s.rng.Perm(len(s.voters)) {
		names = append(names, s.voters[i].name)
	}
	chosen := []string{"", "j", s.initial[0]} // anyone, the successor, the lowest seed
	if leader := s.leader(); leader != nil {
		chosen = append(chosen, leader.name)
	}
	// The chosen voter is the removed one or the first one whose disk is lost.
	if i := slices.Index(names, chosen[s.rng.IntN(len(chosen))]); i >= 0 {
		j := s.rng.IntN(2)
		names[i], names[j] = names[j], names[i]
	}
	if names[0] == "j" { // the successor stays a VM of the deployment
		names[0], names[1] = names[1], names[0]
	}
	l.removed, l.lost = names[0], names[1:1+(s.size-1)/2]
	for range l.lost {
		after := time.Duration(0)
		if s.rng.IntN(2) == 0 {
			after = time.Duration(s.rng.IntN(300)) * time.Millisecond
		}
		l.after = append(l.after, after)
	}
	slices.Sort(l.after)
	return l
}

func (s *sim) voterNamed(name string) *simVoter {
	return s.voters[slices.IndexFunc(s.voters, func(p *simVoter) bool { return p.name == name })]
}

func (s *sim) playTogetherLoss(l togetherLoss) {
	removed, began := s.voterNamed(l.removed), s.now
	if l.stopped {
		s.stopProcess(removed, false)
	} else {
		s.loseVM(removed)
	}
	for i, name := range l.lost {
		s.run(l.after[i]-s.now.Sub(began), true)
		s.loseDisk(s.voterNamed(name))
	}
	if l.othersRestart {
		s.restartOthers()
	}
}

// restartOthers kills all processes that run and do not stop, and lets them start again.
func (s *sim) restartOthers() {
	for _, p := range s.voters {
		if p.r != nil && p.stop == nil {
			p.restartAt = s.now.Add(restartDelay)
			s.kill(p)
		}
	}
}

// Load pattern: a VM is removed after its successor has caught up, and within 300 ms as many disks
// are lost as the group tolerates, in some schedules that of the successor, of the leader or of
// the lowest voter, and in some all other VMs lose power. Guards against a group of an even number
// of voters of which half are left, and which never has a leader again (review/12).
func TestVoterAndDisksLostTogether(t *testing.T) {
	for _, size := range []int{3, 5} {
		t.Run(fmt.Sprintf("%d voters", size), func(t *testing.T) {
			t.Parallel()
			for i := range *halfSeeds {
				s := newEmptySim(t, *replaceFirst+uint64(i), size)
				s.electionTimeout = cutElectionTimeout
				for _, p := range s.voters {
					s.startProcess(p)
				}
				s.run(formationTime, true)
				s.addSuccessor()
				s.run(simCatchUp, true)
				l := s.drawTogetherLoss()
				s.playTogetherLoss(l)
				s.checkReplaced(l)
			}
		})
	}
}

// Load pattern: a voter whose successor has come stops and leaves. As its process ends, as many VMs
// are lost for good as the group tolerates, the leader among them, and all others lose power.
// Guards against a leave that is answered before a quorum holds what shows that it is committed:
// the others then wait for the voter that left, and no empty disk proves a loss.
func TestVMsLostAsVoterLeaves(t *testing.T) {
	for _, size := range []int{3, 5} {
		t.Run(fmt.Sprintf("%d voters", size), func(t *testing.T) {
			t.Parallel()
			for i := range *halfSeeds {
				s := newEmptySim(t, *replaceFirst+uint64(i), size)
				s.electionTimeout = cutElectionTimeout
				for _, p := range s.voters {
					s.startProcess(p)
				}
				s.run(formationTime, true)
				s.addSuccessor()
				s.run(simCatchUp, true)
				leaving := s.voters[slices.IndexFunc(s.voters, func(p *simVoter) bool { return p != s.leader() })]
				s.stopProcess(leaving, false)
				s.awaitStop(leaving)
				lost := s.leader()
				for range (size - 1) / 2 {
					s.loseVM(lost)
					lost = s.voters[slices.IndexFunc(s.voters, func(p *simVoter) bool { return !p.gone })]
				}
				s.restartOthers()
				last := s.addChange()
				s.run(simRecovery, false)
				if last.acked.IsZero() {
					t.Errorf("seed %d: no change is acknowledged %v after the last loss", s.seed, simRecovery)
				}
			}
		})
	}
}
