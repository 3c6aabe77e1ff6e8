package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// cutTime is how long a frontend machine is partitioned from all runners, and cutGap the
	// time between two partitions.
	cutTime = 8 * time.Second
	cutGap  = 4 * time.Second
	cuts    = 3
	// bookWork is how long a runner works on a booking.
	bookWork = 300 * time.Millisecond
	// longBytes is the size of a long request; the config allows 4 MiB.
	longBytes = 1 << 20
	// fullRetryAfter is the Retry-After of a runner that turns a long request away.
	fullRetryAfter = 300 * time.Millisecond
	// maxUnanswered is the number of requests that the rule allows to be closed without an
	// answer.
	maxUnanswered = 3
)

// serving is a deployment with machines, runners and clients.
type serving struct {
	w              *world
	cores, fronts  []*machine
	runners        []*runner
	mu             sync.Mutex
	outcomes       []outcome
	clients        sync.WaitGroup
	stopped        chan struct{}
	attemptCounter int
}

// newServing starts core and frontend machines and runners, and sends a config.
func newServing(w *world, cores, fronts, runners int, work time.Duration, c config) (*serving, error) {
	s := &serving{w: w, stopped: make(chan struct{})}
	w.tolerance = (cores - 1) / 2
	var seeds []string
	for i := 1; i <= min(cores, 3); i++ {
		seeds = append(seeds, w.host(i))
	}
	for i := 1; i <= cores; i++ {
		s.cores = append(s.cores, w.add(i, true, seeds))
	}
	for i := cores + 1; i <= cores+fronts; i++ {
		s.fronts = append(s.fronts, w.add(i, false, seeds))
	}
	if err := w.startCloud(); err != nil {
		return nil, err
	}
	for _, m := range append(append([]*machine(nil), s.cores...), s.fronts...) {
		if err := m.start(true); err != nil {
			return nil, err
		}
	}
	if err := w.putConfig(c, s.cores, 10*time.Second); err != nil {
		return nil, err
	}
	for i := range runners {
		r, err := w.startRunner(cores+fronts+1+i, work, func() []*machine { return s.cores })
		if err != nil {
			return nil, err
		}
		s.runners = append(s.runners, r)
	}
	if err := awaitReady(s.fronts); err != nil {
		return nil, err
	}
	// Let every machine hear of every runner.
	time.Sleep(2 * heartbeatInterval)
	return s, nil
}

// nextAttempt returns a new attempt ID.
func (s *serving) nextAttempt() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attemptCounter++
	return fmt.Sprintf("%016x", s.attemptCounter)
}

// run sends requests of one client until stop, and records their outcomes.
func (s *serving) run(c *client, pause time.Duration, next func(attempt string) request) {
	s.clients.Go(func() {
		defer c.close()
		for {
			o := c.send(next(s.nextAttempt()))
			s.mu.Lock()
			s.outcomes = append(s.outcomes, o)
			s.mu.Unlock()
			if o.status == 0 {
				pause := time.After(200 * time.Millisecond) // a client returns on a new connection
				<-pause
			}
			select {
			case <-s.stopped:
				return
			case <-time.After(pause):
			}
		}
	})
}

// stop ends the clients.
func (s *serving) stop() {
	close(s.stopped)
	s.clients.Wait()
}

// judgeUnanswered records what the clients saw and returns errBroken if more than
// maxUnanswered requests from kept connections had been passed on to a sound runner when
// their connection was closed without an answer.
func (s *serving) judgeUnanswered() error {
	statuses, unanswered, whole := make(map[int]int), 0, 0
	for _, o := range s.outcomes {
		statuses[o.status]++
		r, at, ran := ranAt(s.runners, o.attempt)
		if o.status == http.StatusOK && o.whole && ran {
			whole++
			continue
		}
		run := "no runner ran it"
		if ran {
			run = fmt.Sprintf("runner %s began to run it at %.3f", r.id, at.Sub(s.w.started).Seconds())
		}
		s.w.note("client: sent at %.3f, kept connection %v: %v; %s", o.sentAt.Sub(s.w.started).Seconds(), o.kept, o, run)
		if o.status == 0 && o.kept && ran {
			unanswered++
		}
	}
	s.w.note("clients: %d attempts were run once and answered 200 in full", whole)
	s.w.note("clients: %d attempts, by status: %v (0: no answer)", len(s.outcomes), statuses)
	s.w.note("requests from kept connections that a sound runner ran and whose connection was closed without an answer: %d, allowed %d", unanswered, maxUnanswered)
	if unanswered > maxUnanswered {
		return errBroken
	}
	return nil
}

// playRelayedRefusal partitions one frontend machine from all runners, so that its requests
// go through other machines, while its clients send bookings and some long requests. The
// runners turn long requests away before they have read them.
func playRelayedRefusal(w *world) error {
	s, err := newServing(w, 3, 3, 4, bookWork, newConfig(1, 2))
	if err != nil {
		return err
	}
	for _, r := range s.runners {
		r.turnAwayLong = fullRetryAfter
	}
	lost := s.fronts[0]
	long := longRequestBody(longBytes)
	for i := range 8 {
		s.run(&client{w: w, to: lost, tenant: i % 2}, 20*time.Millisecond, func(attempt string) request {
			return request{method: http.MethodPost, path: "/book/x", attempt: attempt, body: []byte("booking " + attempt), deadline: 4 * time.Second}
		})
	}
	for i := range 3 {
		s.run(&client{w: w, to: lost, tenant: i % 2}, 100*time.Millisecond, func(attempt string) request {
			return request{method: http.MethodPost, path: "/book/long", attempt: attempt, body: long, deadline: 4 * time.Second}
		})
	}
	time.Sleep(3 * time.Second)
	for range cuts {
		if w.trouble {
			w.note("platform: %s is partitioned from all runners for %v", lost.name, cutTime)
			s.cutFromRunners(lost, true)
		}
		time.Sleep(cutTime)
		if w.trouble {
			w.note("platform: %s reaches the runners again", lost.name)
			s.cutFromRunners(lost, false)
		}
		if lost.endCount() > 0 {
			break
		}
		time.Sleep(cutGap)
	}
	s.stop()
	w.note("%s ended by itself %d times", lost.name, lost.endCount())
	away := 0
	for _, r := range s.runners {
		away += r.away
	}
	w.note("runners turned %d long requests away", away)
	return s.judgeUnanswered()
}

func (s *serving) cutFromRunners(m *machine, cut bool) {
	for _, r := range s.runners {
		r.listener.setCut(m.host, cut)
	}
}
