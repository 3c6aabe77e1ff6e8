package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	// sharedPart is the first part of all prompts of the route, and poisonPart a further one
	// that crashes runners.
	sharedPart = "5c1e07a2"
	poisonPart = "91bd3f06"
	// poisonGap is the time between two requests with poisonPart.
	poisonGap = 2500 * time.Millisecond
	// contact is contact_timeout_ms.
	contact = 3 * time.Second
	// minBegun is the least share of sound requests that begin at the first attempt, relative
	// to the time before the disruption, and minCompared the number of them from which it counts.
	minBegun    = 0.5
	minCompared = 20
)

// playUnframedAnswers sends sound requests with a shared first part, and from time to time
// one with a further part that crashes its runner. One runner crashes for no such reason. All
// runners answer without a length or chunks.
func playUnframedAnswers(w *world) error {
	s, err := newServing(w, 3, 2, 6, 150*time.Millisecond, newConfig(1, 2))
	if err != nil {
		return err
	}
	for _, r := range s.runners {
		r.unframed, r.poison = true, poisonPart
	}
	for i := range 24 {
		s.run(&client{w: w, to: s.fronts[i%2], tenant: i % 2}, 50*time.Millisecond, func(attempt string) request {
			return request{method: http.MethodPost, path: "/look/x", attempt: attempt, body: []byte("prompt " + attempt), parts: fmt.Sprintf("%s:500,%s:100", sharedPart, attempt), deadline: 5 * time.Second}
		})
	}
	time.Sleep(4 * time.Second)
	disturbed := time.Now()
	if w.trouble {
		s.awaitBusy().crash("an ordinary crash", crashTime)
	}
	poison := &client{w: w, to: s.fronts[0], tenant: 0}
	defer poison.close()
	lastCrash, crashes := disturbed, 0
	for range 14 {
		time.Sleep(poisonGap)
		if !w.trouble {
			continue
		}
		attempt := s.nextAttempt()
		o := poison.send(request{method: http.MethodPost, path: "/look/x", attempt: attempt, body: []byte("prompt " + attempt), parts: fmt.Sprintf("%s:500,%s:50,%s:100", sharedPart, poisonPart, attempt), deadline: 5 * time.Second})
		w.note("client: request with the part %s: %v", poisonPart, o)
		if n := s.crashCount(); n > crashes {
			lastCrash, crashes = o.sentAt, n
		}
	}
	s.stop()
	return s.judgeBegun(disturbed, lastCrash.Add(2*contact))
}

// minAtWork is the number of sound requests that the runner which crashes for no reason has
// at work then.
const minAtWork = 3

// awaitBusy waits until a runner has minAtWork requests at work, and returns it.
func (s *serving) awaitBusy() *runner {
	for {
		for _, r := range s.runners {
			r.mu.Lock()
			n := r.working
			r.mu.Unlock()
			if n >= minAtWork {
				return r
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// crashCount returns how often runners have crashed.
func (s *serving) crashCount() int {
	n := 0
	for _, r := range s.runners {
		r.mu.Lock()
		n += r.crashes
		r.mu.Unlock()
	}
	return n
}

// judgeBegun returns errBroken if the share of sound requests that a runner began to run
// fell by more than half from the time before the disruption to that after judged.
func (s *serving) judgeBegun(disturbed, judged time.Time) error {
	var sent, begun [2]int
	perSecond := make(map[int][3]int) // sent, begun, refused
	for _, o := range s.outcomes {
		_, _, ran := ranAt(s.runners, o.attempt)
		second := int(o.sentAt.Sub(s.w.started).Seconds())
		counts := perSecond[second]
		counts[0]++
		if ran {
			counts[1]++
		}
		if o.status == http.StatusServiceUnavailable {
			counts[2]++
		}
		perSecond[second] = counts
		i := 0
		switch {
		case o.sentAt.After(judged):
			i = 1
		case o.sentAt.After(disturbed):
			continue
		}
		sent[i]++
		if ran {
			begun[i]++
		}
	}
	var seconds []int
	for second := range perSecond {
		seconds = append(seconds, second)
	}
	slices.Sort(seconds)
	for _, second := range seconds {
		c := perSecond[second]
		s.w.note("clients, second %d: %d sound requests sent, %d begun, %d answered 503", second, c[0], c[1], c[2])
	}
	s.w.note("sound requests begun before the disruption: %d of %d; later than %.3f: %d of %d", begun[0], sent[0], judged.Sub(s.w.started).Seconds(), begun[1], sent[1])
	if sent[0] < minCompared || sent[1] < minCompared {
		return fmt.Errorf("too few requests to compare")
	}
	if float64(begun[1])/float64(sent[1]) < minBegun*float64(begun[0])/float64(sent[0]) {
		return errBroken
	}
	return nil
}
