package soak

import (
	"net/http"
	"syscall"
	"testing"
	"time"
)

const (
	waySilentStart   = "an answer that has not begun is given up while its upstream is silent"
	waySilentRefused = "a stream is given up while its upstream is silent, and others refuse it"
	waySilentReset   = "a stream is given up while its upstream is silent, and others fail"
	waySilentPath    = "a stream is given up while the path of its node is silent"
	waySilentLease   = "a stream is given up while its upstream is silent and its node has no lease"
	// momentLength is longer than a node waits for an event before it asks another upstream.
	momentLength = 1900 * time.Millisecond
)

// pauseService makes the upstreams of a service send nothing for a time.
func (c *stopCluster) pauseService(service string, length time.Duration) {
	for _, u := range c.upstreams[service] {
		u.set(func(u *stopUpstream) { u.pausedUntil = time.Now().Add(length) })
	}
}

func (c *stopCluster) setService(service string, change func(u *stopUpstream)) {
	for _, u := range c.upstreams[service] {
		u.set(change)
	}
}

// do calls f at a time relative to the SIGTERM.
func (p *stopPlay) do(at time.Duration, f func()) {
	p.clients.Add(1)
	go func() {
		defer p.clients.Done()
		time.Sleep(time.Until(p.termAt.Add(at)))
		f()
	}()
}

// sendMany sends copies of a request, one each 5 ms.
func (p *stopPlay) sendMany(way string, at time.Duration, count int, r stopRequest) {
	r.troubled = true
	for i := range count {
		p.sendAt(way, at+time.Duration(i)*5*time.Millisecond, r)
	}
}

// signalVoters sends a signal to all voters.
func (c *stopCluster) signalVoters(s syscall.Signal) {
	for v := range voters {
		if process := c.running(v); process != nil {
			_ = process.cmd.Process.Signal(s)
		}
	}
}

// meetSilence lets upstreams, and the path to them, fall silent for a moment and then go on.
// Requests are more than the retry budget allows to repeat. Times are relative to the SIGTERM.
func (p *stopPlay) meetSilence() {
	c := p.cluster
	at := -27 * time.Second
	p.do(at, func() { c.pauseService("s", 2400*time.Millisecond) })
	p.sendMany(waySilentStart, at+20*time.Millisecond, 60, stopRequest{route: "gen", work: streamFor(500 * time.Millisecond)})
	p.sendMany(waySilentStart, at+20*time.Millisecond, 60, stopRequest{route: "look", work: answerIn(50 * time.Millisecond)})

	at = -22 * time.Second
	p.sendMany(waySilentRefused, at, 30, stopRequest{route: "gen", work: streamFor(3 * time.Second)})
	p.sendMany(waySilentReset, at, 20, stopRequest{route: "resetgen", work: streamFor(3 * time.Second)})
	p.do(at+time.Second, func() {
		c.setService("s", func(u *stopUpstream) { u.refusingRepeats = true })
		c.setService("reset", func(u *stopUpstream) { u.resettingRepeats = true })
		c.pauseService("s", momentLength)
		c.pauseService("reset", momentLength)
	})
	p.do(at+4*time.Second, func() { c.setService("s", func(u *stopUpstream) { u.refusingRepeats = false }) })

	at = -16 * time.Second
	stream := streamFor(3 * time.Second)
	p.sendMany(waySilentPath, at, 40, stopRequest{route: "gen", work: stream})
	p.sendMany(waySilentPath, at, 20, stopRequest{route: "chat", work: stream})
	setPath := func(m loss) {
		for _, u := range c.upstreams["s"] {
			u.lose(m, c.nodes[p.entry])
		}
	}
	p.do(at+time.Second, func() { setPath(silent) })
	p.do(at+time.Second+momentLength, func() { setPath(noLoss) })

	at = -10 * time.Second
	stream = streamFor(6 * time.Second)
	p.sendMany(waySilentLease, at, 20, stopRequest{route: "gen", work: stream})
	p.sendMany(waySilentLease, at, 20, stopRequest{route: "chat", work: stream})
	p.do(at+500*time.Millisecond, func() { c.signalVoters(syscall.SIGSTOP) })
	p.do(at+3500*time.Millisecond, func() { c.pauseService("s", momentLength) })
	p.do(at+6500*time.Millisecond, func() { c.signalVoters(syscall.SIGCONT) })
}

// wantAllWhole checks that every request of some ways that reached an upstream is answered in
// full. Requests that the node refuses for its own reasons show nothing.
func (p *stopPlay) wantAllWhole(t *testing.T, ways ...string) {
	t.Helper()
	for _, way := range ways {
		t.Run(way, func(t *testing.T) {
			ran := 0
			for _, o := range p.of(way) {
				if o.ran() == 0 {
					continue
				}
				ran++
				if o.status != http.StatusOK || !o.whole {
					t.Errorf("answer whose upstream goes on: got status %d, whole %v, want a whole one: %v", o.status, o.whole, o)
				}
			}
			if count := len(p.of(way)); ran < count/2 {
				t.Errorf("requests that reached an upstream: got %d of %d, want half at least", ran, count)
			}
		})
	}
}

// Guards against answers that a node gives up although their upstream goes on after a moment, and
// nothing better is in hand: before the first event, when a resume is refused or fails, while the
// node's own path is silent, and while it has no lease.
func TestMomentOfSilenceEndsNoAnswer(t *testing.T) {
	t.Parallel()
	c := newStopCluster(t, 45, 2, stopGrace)
	defer c.close(t)
	p := newStopPlay(c, voters, 28*time.Second)
	p.meetSilence()
	p.run()
	p.wantAllWhole(t, waySilentStart, waySilentRefused, waySilentReset, waySilentPath, waySilentLease)
}
