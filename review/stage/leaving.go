package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// noticeTime is the time from the notice of a reclaim to the end of the runner. The pages
	// name 2 s.
	noticeTime = 2 * time.Second
	// leavingStreams is the number of streams that are open at the notice.
	leavingStreams = 6
)

func init() { cases["leaving"] = playLeaving }

// playLeaving reclaims a runner while it answers streams without a length or chunks. A stream
// that was cut must not look complete to its client.
func playLeaving(s *stage, trouble bool) (broken bool, err error) {
	if err := s.addMachines(3, 2); err != nil {
		return false, err
	}
	flags := []string{"-unframed", "-spot", "-pieces", "40", "-pause", "100ms", "-leaves", fmt.Sprint(noticeTime.Milliseconds())}
	reclaimed, err := s.startRunner("engine", flags...)
	if err != nil {
		return false, err
	}
	if err := s.startAll(plan(1)); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var clients sync.WaitGroup
	answers := make([]answer, leavingStreams)
	for i := range answers {
		clients.Add(1)
		go func() {
			defer clients.Done()
			id := fmt.Sprintf("stream-%d", i)
			s.note("client sends %s", id)
			a, err := s.exchange(s.entryNodes()[i%2], "POST /stream/x HTTP/1.1\r\n"+attemptHead(id, 15*time.Second)+"Content-Length: 0\r\n\r\n", 15*time.Second)
			s.note("client got for %s: status %d, %d of 40 pieces, ends as complete: %v, error: %v", id, a.status, a.pieces(), a.whole, err)
			answers[i] = a
		}()
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		s.note("the platform gives notice to runner %s", reclaimed.id)
		reclaimed.signal(syscall.SIGTERM)
		time.Sleep(noticeTime)
		s.note("the platform takes the machine of runner %s away", reclaimed.id)
		reclaimed.kill()
	}
	clients.Wait()
	served := 0
	for _, a := range answers {
		if a.status == 200 && a.whole && a.pieces() < 40 {
			broken = true
		}
		if a.pieces() > 0 {
			served++
		}
	}
	if served == 0 {
		return false, fmt.Errorf("no stream was served")
	}
	return broken, nil
}
