package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

var (
	stopSeedCount = flag.Int("stop.seeds", 1, "number of seeds of the mixed load on nodes that are stopped")
	stopFirstSeed = flag.Uint64("stop.first", 1, "first of these seeds")
)

const (
	wayMixed = "a request of a mixed load is cut"
	// mixGrace is the grace period under mixed load, in which requests sent early have time.
	mixGrace   = 6 * time.Second
	mixClients = 30
	// maxKept is the number of connections that a client of the mixed load keeps open.
	maxKept = 3
)

// randomRequest returns one of the requests of a mixed load.
func randomRequest(rng *rand.Rand) stopRequest {
	r := standardRequests[rng.IntN(len(standardRequests))]
	if rng.IntN(3) > 0 {
		r = standardRequests[0]
	}
	switch rng.IntN(12) {
	case 0:
		r.chunked = true
	case 1:
		r.body, r.chunked = slowBody(time.Duration(rng.IntN(3000))*time.Millisecond), rng.IntN(2) == 0
	case 2:
		part := time.Duration(rng.IntN(1000)) * time.Millisecond
		r.head = []time.Duration{part, part}
	case 3:
		r.body, r.unfinished = []piece{{0, strings.Repeat("x", 100)}}, rng.IntN(3) == 0
	}
	return r
}

// useMixed uses the node until its process is gone, over connections that are new, unused,
// kept or pipelined.
func (p *stopPlay) useMixed(seed uint64) {
	for n := range mixClients {
		p.use(wayMixed, func(w *stopWay) {
			rng := rand.New(rand.NewPCG(seed, uint64(n)))
			w.at(-1500 * time.Millisecond)
			var kept []*stopConn
			for w.now() < p.cluster.grace {
				var usable []*stopConn
				for _, c := range kept {
					if c.usable() {
						usable = append(usable, c)
					}
				}
				kept = usable
				if len(kept) < maxKept && (len(kept) == 0 || rng.IntN(4) == 0) && w.now() < balancerDelay-100*time.Millisecond {
					if c := w.open(); c != nil {
						kept = append(kept, c)
					}
				}
				time.Sleep(time.Duration(rng.IntN(120)) * time.Millisecond)
				if len(kept) == 0 {
					if w.now() > balancerDelay {
						return
					}
					continue
				}
				c := kept[rng.IntN(len(kept))]
				if rng.IntN(10) == 0 && c.usable() {
					c.pipeline(standardRequests[0], standardRequests[0])
				} else {
					c.send(randomRequest(rng))
				}
			}
		})
	}
}

// Guards against requests that are cut, run twice or refused for no reason under a mixed load,
// while nodes are stopped again and again, also two in turn.
func TestStopsUnderMixedLoad(t *testing.T) {
	t.Parallel()
	for i := range *stopSeedCount {
		seed := *stopFirstSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { playMixed(t, seed) })
	}
}

func playMixed(t *testing.T, seed uint64) {
	c := newStopCluster(t, 239, 3, mixGrace)
	defer c.close(t)
	rng := rand.New(rand.NewPCG(seed, 1<<32))
	for round := range 2 {
		first := rng.IntN(3)
		plays := []*stopPlay{newStopPlay(c, voters+first, 2*time.Second)}
		if round == 1 {
			plays = append(plays, newStopPlay(c, voters+(first+1)%3, 2*time.Second+time.Duration(rng.IntN(3000))*time.Millisecond))
		}
		ended := make(chan *stopPlay)
		for n, p := range plays {
			p.useMixed(seed<<8 + uint64(round<<4+n))
			go func() { p.run(); ended <- p }()
		}
		for range plays {
			p := <-ended
			p.judge(t, wayMixed)
			p.wantExit(t, mixGrace)
			c.start(p.node, false)
			c.awaitReady(p.node, stopStartTime)
		}
	}
}
