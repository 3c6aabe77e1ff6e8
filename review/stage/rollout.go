package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["rollout"] = playRollout }

const (
	// rolloutPairs is the number of pairs of rollouts that are ordered at most.
	rolloutPairs = 8
	// orderPause is the time between the two orders of a pair.
	orderPause = 10 * time.Millisecond
)

// playRollout orders a rollout and, while it runs, another one of the same service. What was
// acknowledged last must be there after all processes were killed. The trouble resets connections
// of the leader as the second order is sent.
func playRollout(s *stage, trouble bool) (broken bool, err error) {
	if err := s.addMachines(3, 2); err != nil {
		return false, err
	}
	if _, err := s.startRunner("engine"); err != nil {
		return false, err
	}
	if err := s.startAll(plan(1)); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	last := ""
	for i := range rolloutPairs {
		first, second := fmt.Sprintf("v%d-a", i+2), fmt.Sprintf("v%d-b", i+2)
		leader := s.leader()
		if err := s.rollOut(leader, first); err != nil {
			return false, err
		}
		time.Sleep(orderPause)
		if err := s.rollOutInTrouble(leader, second, trouble); err != nil {
			return false, err
		}
		last = second
		time.Sleep(time.Second + rand.N(250*time.Millisecond))
		_, state, err := s.call(s.leader(), http.MethodGet, "/rollouts/engine", "")
		s.note("a voter answers %s, error: %v", state, err)
		if err == nil && strings.Contains(state, "target") && !strings.Contains(state, last) {
			break
		}
	}
	return s.readAfterFinalFault(last)
}

// rollOutInTrouble orders a rollout, and resets the leader's connections with the other voters just
// after it was sent.
func (s *stage) rollOutInTrouble(leader *machine, target string, trouble bool) error {
	var reset sync.WaitGroup
	if trouble {
		reset.Add(1)
		go func() {
			defer reset.Done()
			n, all := s.resetCore(leader)
			s.note("%d of the %d connections of %s with other machines are reset", n, all, leader.name)
		}()
	}
	err := s.rollOut(leader, target)
	reset.Wait()
	return err
}

// rollOut orders a rollout at a voter, and at others until one acknowledges it.
func (s *stage) rollOut(voter *machine, target string) error {
	body := fmt.Sprintf(`{"service":"engine","target":%q,"duration_s":12}`, target)
	status, _, err := s.call(voter, http.MethodPost, "/rollouts", body)
	if err != nil || status >= http.StatusInternalServerError {
		s.note("the order of a rollout to %s got status %d from %s, error: %v; it is sent again", target, status, voter.name, err)
		status, err = s.order(http.MethodPost, "/rollouts", body, 4*time.Second)
	}
	s.note("the operator ordered a rollout to %s: status %d, error: %v", target, status, err)
	if err != nil || status != http.StatusOK {
		return fmt.Errorf("rollout: status %d, %w", status, err)
	}
	return nil
}

// leader returns the voter that became the leader last, by the log of the processes.
func (s *stage) leader() *machine {
	found := s.voters()[0]
	text, _ := os.ReadFile(s.log.Name())
	for line := range strings.Lines(string(text)) {
		var entry struct{ Msg, Node string }
		if json.Unmarshal([]byte(line), &entry) != nil || entry.Msg != "this node became the leader" {
			continue
		}
		for _, m := range s.voters() {
			if m.name == entry.Node {
				found = m
			}
		}
	}
	return found
}

// readAfterFinalFault kills all processes, starts them again and reports whether the rollout that
// was acknowledged last is gone.
func (s *stage) readAfterFinalFault(last string) (broken bool, err error) {
	s.note("all processes are killed")
	for _, m := range s.machines {
		m.kill()
	}
	for _, m := range s.machines {
		if err := s.start(m, false); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		status, state, err := s.call(s.voters()[0], http.MethodGet, "/rollouts/engine", "")
		if err == nil && status == http.StatusOK {
			s.note("after the final fault a voter answers %s; acknowledged last: %s", state, last)
			return !strings.Contains(state, last), nil
		}
	}
	return false, fmt.Errorf("no voter answered")
}
