package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// gracePeriod is grace_period_s.
	gracePeriod = 8 * time.Second
	// openAfter is when connections are opened and sendAfter when their first request is sent,
	// from the SIGTERM.
	openAfter = 1500 * time.Millisecond
	sendAfter = 4200 * time.Millisecond
	// chatEvents is the number of events of a stream, which takes eventGap for each.
	chatEvents = 45
	// unusedConnections is the number of connections that are opened ahead of their request.
	unusedConnections = 4
)

// playUnusedConnection stops a frontend machine with SIGTERM while clients hold connections
// on which they have not sent a request yet. They send one within header_timeout_ms.
func playUnusedConnection(w *world) error {
	s, err := newServing(w, 3, 2, 3, lookWork, newConfig(1, 2))
	if err != nil {
		return err
	}
	front := s.fronts[0]
	termAt := time.Now().Add(500 * time.Millisecond)
	var clients sync.WaitGroup
	results := make([]outcome, unusedConnections)
	for i := range unusedConnections {
		clients.Go(func() {
			c := &client{w: w, to: front, tenant: i % 2}
			defer c.close()
			time.Sleep(time.Until(termAt.Add(openAfter)))
			if err := c.open(); err != nil {
				results[i] = outcome{attempt: "none", sentAt: time.Now(), endedAt: time.Now(), err: err}
				return
			}
			w.note("client %d: connection to %s opened, %.1f s after the SIGTERM", i, front.name, time.Since(termAt).Seconds())
			time.Sleep(time.Until(termAt.Add(sendAfter)))
			w.note("client %d: request sent, %.1f s after the SIGTERM", i, time.Since(termAt).Seconds())
			results[i] = c.send(request{
				method: http.MethodPost, path: "/chat/x", attempt: s.nextAttempt(), body: []byte("prompt"), events: chatEvents, deadline: 12 * time.Second,
			})
		})
	}
	time.Sleep(time.Until(termAt))
	if w.trouble {
		w.note("platform: SIGTERM to %s; it is killed %v later", front.name, gracePeriod)
		exited := front.signal(syscall.SIGTERM)
		go func() {
			select {
			case <-exited:
			case <-time.After(gracePeriod):
				front.signal(syscall.SIGKILL)
			}
		}()
	}
	clients.Wait()
	lost := 0
	for i, o := range results {
		r, at, ran := ranAt(s.runners, o.attempt)
		if !ran {
			w.note("client %d: %v; no runner got it", i, o)
			continue
		}
		w.note("client %d: %v; runner %s began to run it %.1f s after the SIGTERM; the connection ended %.1f s after it", i, o, r.id, at.Sub(termAt).Seconds(), o.endedAt.Sub(termAt).Seconds())
		if !o.whole {
			lost++
		}
	}
	w.note("requests that were passed on to a runner and got no whole answer: %d of %d", lost, unusedConnections)
	if lost > 0 {
		return fmt.Errorf("%w: %d requests were cut by a planned stop", errBroken, lost)
	}
	return nil
}
