package soak

import (
	"testing"
	"time"
)

// Guards against a stop that keeps so much of a short grace period for its own end that answers
// are cut before the last sixth of it, up to which they may not be.
func TestShortGracePeriodIsUsed(t *testing.T) {
	const grace = 3 * time.Second
	c := newStopCluster(t, 236, 1, grace)
	defer c.close(t)
	p := newStopPlay(c, voters, 2*time.Second)
	for _, at := range seconds(-0.5, -0.2, 0.1) {
		p.sendAt(wayNew, at, stopRequest{route: "gen", work: streamFor(10 * time.Second)})
	}
	p.run()
	p.judge(t, wayNew)
	p.stop.wantExit(t, grace)
}
