package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	// manyAttempts is the max_attempts of the route that may be repeated: as many as it takes.
	manyAttempts = "999999999999"
	// silence is how long a sound runner is silent.
	silence = time.Second
)

func init() { cases["attempts"] = playAttempts }

// playAttempts has a runner fall silent while a request is there that may be repeated. No process
// may end by itself.
func playAttempts(s *stage, trouble bool) (broken bool, err error) {
	if err := s.addMachines(3, 2); err != nil {
		return false, err
	}
	var runners []*runnerProcess
	for range 2 {
		r, err := s.startRunner("engine")
		if err != nil {
			return false, err
		}
		runners = append(runners, r)
	}
	if err := s.startAll(plan(1)); err != nil {
		return false, err
	}
	config := strings.Replace(plan(2), `"max_attempts":2`, `"max_attempts":`+manyAttempts, 1)
	status, err := s.order(http.MethodPut, "/config", config, 5*time.Second)
	s.note("the operator sends max_attempts %s: status %d, error: %v", manyAttempts, status, err)
	if err != nil || status != http.StatusOK {
		return false, fmt.Errorf("config: status %d, %w", status, err)
	}
	time.Sleep(3 * time.Second)
	ended := make(chan string, 2)
	for _, m := range s.entryNodes() {
		go func() { _ = m.cmd.Wait(); ended <- m.name }()
	}
	for i := range 4 {
		if trouble {
			s.note("runner %s falls silent", runners[i%2].id)
			runners[i%2].signal(syscall.SIGSTOP)
		}
		answers := make(chan answer, 8)
		for j := range cap(answers) {
			id := fmt.Sprintf("look-%d-%d", i, j)
			go func() {
				a, err := s.exchange(s.entryNodes()[j%2], "GET /look/x HTTP/1.1\r\n"+attemptHead(id, 2500*time.Millisecond)+"\r\n", 3*time.Second)
				s.note("client got for %s: status %d, error: %v", id, a.status, err)
				answers <- a
			}()
		}
		time.Sleep(silence)
		runners[i%2].signal(syscall.SIGCONT)
		for range cap(answers) {
			<-answers
		}
	}
	for {
		select {
		case name := <-ended:
			s.note("the process of %s ended by itself", name)
			broken = true
		default:
			return broken, nil
		}
	}
}
