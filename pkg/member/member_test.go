package member

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	_ "github.com/jaystage/jaystage/internal/testseed"
	"pgregory.net/rapid"
)

const tick = 50 * time.Millisecond

type packet struct {
	arrival time.Duration
	message Message
}

// cluster runs detectors on a simulated network with blocked and delayed links.
type cluster struct {
	now          time.Duration
	rng          *rand.Rand
	nodes        map[string]*Detector
	names        []string
	blocked      func(from, to string) bool
	delay        func(from, to string) time.Duration
	inFlight     []packet
	sent         map[string]int
	declaredDead map[string][]string // nodes declared dead, by observer
}

func newCluster(n int, seed uint64) *cluster {
	c := &cluster{
		rng: rand.New(rand.NewPCG(seed, 3)), nodes: map[string]*Detector{}, sent: map[string]int{}, declaredDead: map[string][]string{},
		blocked: func(string, string) bool { return false },
		delay:   func(string, string) time.Duration { return 2 * time.Millisecond },
	}
	for i := range n {
		c.names = append(c.names, "n"+strconv.Itoa(i))
	}
	for i, name := range c.names {
		c.nodes[name] = New(DefaultConfig(name, 1), rand.New(rand.NewPCG(seed, uint64(i))))
		c.step(name, Event{Members: c.names, ReplaceMembers: true})
	}
	return c
}

func (c *cluster) step(name string, e Event) {
	for _, a := range c.nodes[name].Step(time.Unix(0, 0).Add(c.now), e) {
		if a.Send != nil {
			c.sent[name]++
			if !c.blocked(name, a.Send.To) {
				c.inFlight = append(c.inFlight, packet{c.now + c.delay(name, a.Send.To), *a.Send})
			}
		}
		if a.Change != nil && a.Change.New == Dead {
			c.declaredDead[name] = append(c.declaredDead[name], a.Change.Node)
		}
	}
}

func (c *cluster) run(d time.Duration) {
	for end := c.now + d; c.now < end; c.now += tick {
		due := c.inFlight
		c.inFlight = nil
		for _, p := range due {
			if p.arrival <= c.now {
				c.step(p.message.To, Event{Message: &p.message})
			} else {
				c.inFlight = append(c.inFlight, p)
			}
		}
		for _, n := range c.names {
			c.step(n, Event{})
		}
	}
}

func assertState(t interface {
	Helper()
	Errorf(string, ...any)
}, c *cluster, observer, node string, want State,
) {
	t.Helper()
	if got, _ := c.nodes[observer].State(node); got != want {
		t.Errorf("state of %s at %s: got %v, want %v", node, observer, got, want)
	}
}

func TestDetectorDistinguishesStates(t *testing.T) {
	t.Run("a dead node is not reported as slow", func(t *testing.T) {
		c := newCluster(6, 1)
		c.blocked = func(from, to string) bool { return from == "n0" || to == "n0" }
		c.run(20 * time.Second)
		assertState(t, c, "n1", "n0", Dead)
		assertState(t, c, "n1", "n2", Alive)
	})
	t.Run("a slow node is not declared dead", func(t *testing.T) {
		c := newCluster(6, 1)
		c.delay = func(from, _ string) time.Duration {
			if from == "n0" {
				return 400 * time.Millisecond
			}
			return 2 * time.Millisecond
		}
		c.run(20 * time.Second)
		assertState(t, c, "n1", "n0", Slow)
	})
	t.Run("a node behind a broken link is not declared dead", func(t *testing.T) {
		c := newCluster(6, 1)
		c.blocked = func(from, to string) bool { return from == "n0" && to == "n1" || from == "n1" && to == "n0" }
		c.run(20 * time.Second)
		assertState(t, c, "n1", "n0", Partitioned)
		assertState(t, c, "n2", "n0", Alive)
	})
	t.Run("a node that is reachable again is alive", func(t *testing.T) {
		c := newCluster(6, 1)
		c.blocked = func(from, to string) bool { return from == "n0" || to == "n0" }
		c.run(20 * time.Second)
		c.blocked = func(string, string) bool { return false }
		c.run(20 * time.Second)
		assertState(t, c, "n1", "n0", Alive)
		assertState(t, c, "n0", "n1", Alive)
	})
}

// partitionMinority generates a cluster and partitions a random minority of its nodes from
// the others.
func partitionMinority(t *rapid.T) (*cluster, []string) {
	n := rapid.IntRange(4, 12).Draw(t, "nodes")
	c := newCluster(n, rapid.Uint64().Draw(t, "seed"))
	c.run(time.Duration(rapid.IntRange(0, 5000).Draw(t, "before")) * time.Millisecond)
	minority := c.names[:rapid.IntRange(1, (n-1)/2).Draw(t, "minority")]
	c.blocked = func(from, to string) bool { return slices.Contains(minority, from) != slices.Contains(minority, to) }
	return c, minority
}

func TestPartitionedObserverDeclaresNoMajorityDead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, minority := partitionMinority(t)
		c.run(40 * time.Second)
		for _, m := range minority {
			if got, limit := len(c.declaredDead[m]), len(c.names)/2; got > limit {
				t.Errorf("nodes declared dead by %s, which is partitioned: got %d, want at most %d", m, got, limit)
			}
			if len(minority) == 1 && len(c.declaredDead[m]) > 0 {
				t.Errorf("nodes declared dead by %s, which is alone in its partition: got %v, want none", m, c.declaredDead[m])
			}
		}
	})
}

func TestNaiveVariantDeclaresMajorityDead(t *testing.T) {
	// The variant treats a probe without any reply as a dead target and ignores isolation.
	c := newCluster(6, 1)
	c.blocked = func(from, to string) bool { return from == "n0" || to == "n0" }
	for range 800 {
		c.run(tick)
		if p := c.nodes["n0"].probe; p != nil && p.indirectSent {
			p.helperReplies = 1
		}
		c.nodes["n0"].isolated = false
	}
	if got := len(c.declaredDead["n0"]); got < 3 {
		t.Errorf("nodes declared dead by the naive variant: got %d, want at least 3", got)
	}
}

// The number of messages per node and second must not depend on the number of nodes, both
// with all nodes up and with one in ten unresponsive.
func TestMessagesPerNodeDoNotDependOnClusterSize(t *testing.T) {
	maxMean := map[int]float64{}
	for _, n := range []int{6, 330} {
		for _, unresponsive := range []int{0, max(1, n/10)} {
			c := newCluster(n, 1)
			down := c.names[:unresponsive]
			c.blocked = func(from, to string) bool { return slices.Contains(down, from) || slices.Contains(down, to) }
			c.run(5 * time.Second)
			clear(c.sent)
			c.run(20 * time.Second)
			sum, worst := 0, 0
			for _, name := range c.names[unresponsive:] {
				sum += c.sent[name]
				worst = max(worst, c.sent[name])
			}
			mean := float64(sum) / float64(n-unresponsive) / 20
			t.Logf("%d nodes, %d unresponsive: %.2f messages per node and second on average, %.2f at most", n, unresponsive, mean, float64(worst)/20)
			maxMean[n] = max(maxMean[n], mean)
		}
	}
	if got, want := maxMean[330], 1.5*maxMean[6]; got > want {
		t.Errorf("messages per second at 330 nodes: got %.2f, want at most %.2f", got, want)
	}
}
