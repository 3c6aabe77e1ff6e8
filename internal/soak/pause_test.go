package soak

import (
	"syscall"
	"testing"
	"time"
)

const wayPaused = "a stream is cut by a pause of its node"

// Guards against sound streams that are taken for stalled because their node was paused, and are
// cut since its lease has to be renewed before they can be resumed.
func TestPauseDoesNotCutStreams(t *testing.T) {
	const (
		streams = 40
		pause   = 1800 * time.Millisecond // clients wait 2 s for an event
	)
	c := newStopCluster(t, 43, 1, stopGrace)
	defer c.close(t)
	p := newStopPlay(c, voters, 6*time.Second)
	for i := range streams {
		p.sendAt(wayPaused, -5*time.Second+time.Duration(i)*10*time.Millisecond, stopRequest{route: "gen", work: streamFor(4 * time.Second)})
	}
	process := c.running(voters).cmd.Process
	time.AfterFunc(2*time.Second, func() { _ = process.Signal(syscall.SIGSTOP) })
	time.AfterFunc(2*time.Second+pause, func() { _ = process.Signal(syscall.SIGCONT) })
	p.run()
	for _, o := range p.of(wayPaused) {
		if !o.whole {
			t.Errorf("stream of a paused node: got it cut, want it whole: %v", o)
		}
	}
}
