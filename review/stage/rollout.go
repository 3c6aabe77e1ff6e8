package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	// coreDelay is the delay of the links between voters during the trouble.
	coreDelay = 60 * time.Millisecond
	// rolloutPairs is the number of pairs of rollouts that are ordered.
	rolloutPairs = 6
)

func init() { cases["rollout"] = playRollout }

// playRollout orders a rollout and, while it runs, another one of the same service. What was
// acknowledged last must be there after all processes were killed.
func playRollout(s *stage, trouble bool) (broken bool, err error) {
	if err := s.addMachines(3, 1); err != nil {
		return false, err
	}
	if _, err := s.startRunner("engine"); err != nil {
		return false, err
	}
	if err := s.startAll(plan(1)); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		s.delayCore(coreDelay)
		s.note("the links between voters are slowed by %v", coreDelay)
		time.Sleep(time.Second)
	}
	last := ""
	for i := range rolloutPairs {
		for _, operator := range []string{"a", "b"} {
			target := fmt.Sprintf("v%d-%s", i+2, operator)
			body := fmt.Sprintf(`{"service":"engine","target":%q,"duration_s":12}`, target)
			status, err := s.order(http.MethodPost, "/rollouts", body, 5*time.Second)
			s.note("operator %s ordered a rollout to %s: status %d, error: %v", operator, target, status, err)
			if err != nil || status != http.StatusOK {
				return false, fmt.Errorf("rollout: status %d, %w", status, err)
			}
			last = target
		}
		time.Sleep(time.Second + rand.N(250*time.Millisecond))
		_, state, err := s.call(s.voters()[0], http.MethodGet, "/rollouts/engine", "")
		s.note("a voter answers %s, error: %v", state, err)
		if err == nil && strings.Contains(state, "target") && !strings.Contains(state, last) {
			break
		}
	}
	s.note("all processes are killed")
	for _, m := range s.machines {
		m.kill()
	}
	s.delayCore(0)
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
