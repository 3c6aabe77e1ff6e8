package soak

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"
)

var (
	endlessAll     = flag.Bool("endless.all", false, "play all forms of endless answers, at both speeds")
	endlessClients = flag.Int("endless.clients", 1600, "number of clients in the play of endless answers")
	endlessLength  = flag.Duration("endless.length", 8*time.Second, "duration of the play of one form")
)

const (
	// entryMemoryMB is the memory of the smallest VM that serves clients.
	entryMemoryMB = 184
	// Of the upstreams of a play, the last soundUpstreams are sound.
	endlessUpstreams, soundUpstreams = 8, 2
	// minSoundArrivals is the least share of requests that reach sound upstreams in the second
	// half of a play.
	minSoundArrivals = 0.5
)

// endlessPlay is a play of one form.
type endlessPlay struct {
	cluster   *stopCluster
	upstreams []*endlessUpstream
	load      *endlessLoad
	end       func()
}

// newEndlessPlay starts one entry node and upstreams. Without a form all upstreams are sound.
func newEndlessPlay(t testing.TB, form *endlessForm, slow bool) *endlessPlay {
	t.Helper()
	network, lock := claimNetwork(t, 236)
	dir, err := os.MkdirTemp("", "jaystage-endless-")
	if err != nil {
		t.Fatal(err)
	}
	c := &stopCluster{t: t, binary: sharedBinary(t), dir: dir, network: network, lock: lock, grace: stopGrace, memoryMB: entryMemoryMB}
	for i := range voters + 1 {
		n := &stopNode{name: fmt.Sprint("vm", i), host: fmt.Sprintf("127.%d.1.%d", network, i+1), dir: filepath.Join(dir, fmt.Sprint("vm", i)), voter: i < voters}
		if err := os.MkdirAll(n.dir, 0o700); err != nil {
			t.Fatal(err)
		}
		c.nodes = append(c.nodes, n)
	}
	for i := range c.nodes {
		c.start(i, true)
	}
	p := &endlessPlay{cluster: c, load: &endlessLoad{cluster: c, node: voters, route: "look", requests: new(sync.Map)}}
	if form != nil {
		p.load.route = form.route
	}
	ctx, cancel := context.WithCancel(context.Background())
	var announced sync.WaitGroup
	for i := range endlessUpstreams {
		f := form
		if i >= endlessUpstreams-soundUpstreams {
			f = nil
		}
		u := newEndlessUpstream(t, fmt.Sprintf("127.%d.2.%d:29000", network, i+1), f, slow, p.load.requests)
		p.upstreams = append(p.upstreams, u)
		announced.Add(1)
		go func() { defer announced.Done(); u.announce(ctx, c) }()
	}
	c.end = func() { cancel(); announced.Wait() }
	c.putStopPlan()
	c.awaitReady(voters, stopStartTime)
	return p
}

func (p *endlessPlay) close(t testing.TB) {
	t.Helper()
	p.cluster.close(t)
	for _, u := range p.upstreams {
		u.close()
	}
}

// arrivals returns the requests that reached faulty and sound upstreams.
func (p *endlessPlay) arrivals() (faulty, sound int64) {
	for _, u := range p.upstreams {
		if u.form == nil {
			sound += u.count.Load()
		} else {
			faulty += u.count.Load()
		}
	}
	return faulty, sound
}

// run plays the load and checks the node's memory and its answers.
func (p *endlessPlay) run(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	process := p.cluster.running(voters)
	if process == nil {
		t.Fatal("the entry node does not run")
	}
	watch := watchMemory(ctx, process, entryMemoryMB<<20)
	p.load.watch = watch
	p.load.start(*endlessClients)
	time.Sleep(*endlessLength / 2)
	faulty, sound := p.arrivals()
	time.Sleep(*endlessLength / 2)
	faultyEnd, soundEnd := p.arrivals()
	p.load.stop()
	cancel()
	<-watch.done
	faulty, sound = faultyEnd-faulty, soundEnd-sound
	t.Logf("peak %d MB; answered by sound upstreams %d, failed at faulty ones %d, refused %d, failed without a processor %d, without a connection %d, lost %d; second half: %d arrivals at sound upstreams, %d at faulty ones",
		watch.peak>>20, p.load.sound.Load(), p.load.failed.Load(), p.load.refused.Load(), p.load.starved.Load(), p.load.unconnected.Load(), len(p.load.lost), sound, faulty)
	if watch.over {
		t.Errorf("resident memory: got %d MB, want at most %d MB", watch.peak>>20, entryMemoryMB)
	}
	p.load.wantNoneLost(t)
	if p.load.sound.Load() == 0 {
		t.Error("requests answered by sound upstreams: got none, want some")
	}
	if share := float64(sound) / float64(max(1, sound+faulty)); share < minSoundArrivals {
		t.Errorf("share of sound upstreams in the second half: got %.2f of %d, want at least %v", share, sound+faulty, minSoundArrivals)
	}
}

// endlessWorst are the forms that are played without a flag, at a trickle.
var endlessWorst = []string{"no length", "huge length", "many events without data", "one long event", "one long comment"}

// Guards against a node that is killed for its memory, and the requests of its other clients
// that are lost with it, because many upstreams send answers without end at once.
func TestEndlessAnswersKeepNodeWithinMemory(t *testing.T) {
	play := func(name string, form *endlessForm, slow bool) {
		t.Run(name, func(t *testing.T) {
			p := newEndlessPlay(t, form, slow)
			defer p.close(t)
			p.run(t)
		})
	}
	if *endlessAll {
		play("all sound", nil, false)
	}
	for i := range endlessForms {
		form := &endlessForms[i]
		if *endlessAll || slices.Contains(endlessWorst, form.name) {
			play(form.name+" at a trickle", form, true)
		}
		if *endlessAll {
			play(form.name+" fast", form, false)
		}
	}
}
