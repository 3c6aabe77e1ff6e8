package soak

import (
	"testing"
	"time"
)

const (
	waySilentRelay = "a stream is given up while its upstream is silent and the node in between stops"
	wayRelayTried  = "a stream is not resumed at a sound upstream that had it before"
)

// relayOf returns the node through which most requests of a route go from a node without a path.
func (c *stopCluster) relayOf(node int, r stopRequest) (relay int) {
	p := newStopPlay(c, node, 0)
	p.sendMany("", 0, 10, r)
	p.clients.Wait()
	through := make(map[int]int)
	for _, o := range p.outcomes {
		for _, run := range c.record.of(o.id) {
			from := c.nodeAt(run.from)
			through[from]++
			if through[from] > through[relay] {
				relay = from
			}
		}
	}
	return relay
}

// playRelayStop stops a node through which streams of another one go, while all upstreams are
// silent for a moment.
func playRelayStop(t *testing.T, network byte, relayOf stopRequest, use func(p *stopPlay)) *stopPlay {
	t.Helper()
	c := newStopCluster(t, network, 3, stopGrace)
	defer c.close(t)
	c.losePath(voters)
	p := newStopPlay(c, c.relayOf(voters, relayOf), 2500*time.Millisecond)
	p.entry = voters
	use(p)
	p.do(-200*time.Millisecond, func() {
		for service := range c.upstreams {
			c.pauseService(service, momentLength)
		}
	})
	p.run()
	if got := p.runsFrom(p.node); got == 0 {
		t.Error("arrivals from the node that stops: got none, want some")
	}
	return p
}

// Guards against streams that are cut because the node in between stops while their upstream is
// silent: they have its grace period to end, and resumable ones go on through another node.
func TestStopOfRelayNodeAtSilentUpstreamsCutsNoStream(t *testing.T) {
	t.Parallel()
	p := playRelayStop(t, 46, standardRequests[0], func(p *stopPlay) {
		for _, at := range seconds(-1, 0.5) {
			for _, length := range seconds(2, 4) {
				p.sendMany(waySilentRelay, at, 3, stopRequest{route: "gen", work: streamFor(length)})
				p.sendMany(waySilentRelay, at, 3, stopRequest{route: "chat", work: streamFor(length)})
			}
			// These outlive the node in between and have an attempt left after a standby.
			p.sendMany(waySilentRelay, at, 6, stopRequest{route: "gen3", work: streamFor(8 * time.Second)})
		}
	})
	p.wantAllWhole(t, waySilentRelay)
	p.wantExit(t, stopGrace)
}

// Guards against a stream that is lost with the node in between although it has an attempt left,
// because its own upstream and that of a standby which was not needed both count as tried: what
// failed was neither of them.
func TestStreamOfStoppedRelayGoesOnAtTriedUpstreams(t *testing.T) {
	t.Parallel()
	stream := stopRequest{route: "resetgen", work: streamFor(8 * time.Second)} // its service has two upstreams
	probe := stream
	probe.work = streamFor(100 * time.Millisecond)
	p := playRelayStop(t, 47, probe, func(p *stopPlay) { p.sendMany(wayRelayTried, -time.Second, 8, stream) })
	p.wantAllWhole(t, wayRelayTried)
}
