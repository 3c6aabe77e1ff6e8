package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var now = time.Unix(1_000_000, 0)

func fleet(n, slots int) []*Upstream {
	var list []*Upstream
	for i := range n {
		list = append(list, &Upstream{ID: fmt.Sprint("u", i), Slots: slots, Domain: "a"})
	}
	return list
}

func choose(t *testing.T, at time.Time, r Request, o Options, list []*Upstream) *Upstream {
	t.Helper()
	c, ok := Choose(at, r, o, list)
	if !ok {
		t.Fatal("no upstream was chosen")
	}
	return c.Upstream
}

// Load pattern: many sessions whose requests reach different nodes. Guards against
// each upstream processing a session's shared prefix again.
func TestNodesAgreeOnPreferredUpstream(t *testing.T) {
	for s := range 50 {
		session := Part{fmt.Sprint("s", s), 4000}
		var first string
		for node := range 8 {
			r := Request{ID: fmt.Sprint(s, node), PromptTokens: 6000, Parts: []Part{session, {fmt.Sprint("own", s, node), 2000}}}
			got := choose(t, now, r, Options{Self: fmt.Sprint(node), Domain: "a"}, fleet(12, 64)).ID
			if first == "" {
				first = got
			}
			if got != first {
				t.Errorf("session %d: got %s and %s", s, first, got)
			}
		}
	}
}

// Load pattern: a hot key. Guards against sending all requests of a session to its
// preferred upstream regardless of its queue.
func TestHotSessionSpreadsWhenPreferredUpstreamIsBusy(t *testing.T) {
	list, used := fleet(6, 8), map[string]bool{}
	for i := range 40 {
		r := Request{ID: fmt.Sprint(i), PromptTokens: 6000, Parts: []Part{{"hot", 5000}, {fmt.Sprint("own", i), 1000}}}
		c, ok := Choose(now, r, Options{Domain: "a", MaxWaiting: 100}, list)
		if !ok {
			t.Fatal("no upstream was chosen")
		}
		c.RecordSend(now, Options{})
		used[c.Upstream.ID] = true
	}
	if got, want := len(used), 6; got != want {
		t.Errorf("got %d upstreams in use, want %d", got, want)
	}
}

// Load pattern: an upstream restarts cold under full load. Guards against all nodes
// together sending it more requests per second than it can take.
func TestColdRateHoldsOverAllNodes(t *testing.T) {
	for _, c := range []struct {
		nodes int
		rate  float64
	}{{8, 13}, {6, 17}, {59, 13}, {72, 4}, {3, 1}} {
		var nodes []string
		for i := range c.nodes {
			nodes = append(nodes, fmt.Sprint("n", i))
		}
		sum := 0
		cold := now.Add(time.Hour)
		for _, self := range nodes {
			u := &Upstream{ID: "u", Slots: 64, ColdUntil: cold}
			o := Options{Self: self, Nodes: nodes, ColdRate: c.rate, MaxWaiting: 1000}
			for ms := range 1000 {
				at := now.Add(time.Duration(ms) * time.Millisecond)
				if got, ok := Choose(at, Request{}, o, []*Upstream{u}); ok {
					got.RecordSend(at, o)
					sum++
				}
			}
		}
		if got, want := float64(sum), c.rate*1.5+5; got > want || sum == 0 {
			t.Errorf("%d nodes, rate %v: got %v requests per second, want 1 to %v", c.nodes, c.rate, got, want)
		}
	}
}

// Load pattern: an upstream fails part of its requests although its health check
// passes.
func TestFailingUpstreamLosesTraffic(t *testing.T) {
	list := fleet(4, 64)
	for range 10 {
		list[0].RecordFailure(now)
	}
	for i := range 40 {
		if u := choose(t, now, Request{ID: fmt.Sprint(i)}, Options{Domain: "a", MaxWaiting: 10}, list); u == list[0] {
			t.Fatal("the failing upstream was chosen among idle ones")
		}
	}
	later := now.Add(30 * time.Second)
	if got := list[0].FailureRate(later); got > 0.02 {
		t.Errorf("got failure rate %v after 30 s, want about 0", got)
	}
}

func TestUnreachableUpstreamIsRetriedAfterBan(t *testing.T) {
	u := fleet(1, 1)[0]
	u.RecordUnreachable(now)
	u.RecordUnreachable(now) // a second request fails for the same reason
	if !u.Banned(now) || u.Banned(now.Add(minBan)) {
		t.Errorf("got banned %v, then %v, want true, then false", u.Banned(now), u.Banned(now.Add(minBan)))
	}
}

func TestExcludedUpstreamsAreNotChosen(t *testing.T) {
	list := fleet(3, 2)
	list[0].Leaving = true
	list[1].Open = 2
	r := Request{ID: "x", Tried: []string{"u2"}}
	if c, ok := Choose(now, r, Options{}, list); ok {
		t.Errorf("got %s, want none", c.Upstream.ID)
	}
}

func TestReportedLoadExpires(t *testing.T) {
	u := fleet(1, 8)[0]
	u.ApplyReport(now, 5, 1)
	u.RecordSend(0)
	if got, want := u.Load(now), 7; got != want {
		t.Errorf("got load %d, want %d", got, want)
	}
	if got, want := u.Load(now.Add(reportTTL)), 1; got != want {
		t.Errorf("got load %d from an old report, want %d", got, want)
	}
}

// Load pattern: long prompts of other nodes wait on an upstream that has few requests.
// Guards against queueing a short request behind them.
func TestPendingPromptsOfOtherNodesCount(t *testing.T) {
	list := fleet(2, 64)
	list[0].OtherNodesOpen, list[0].OtherNodesPendingTokens, list[0].OtherNodesAt = 1, 30_000, now
	list[1].OtherNodesOpen = 20
	if u := choose(t, now, Request{ID: "x", PromptTokens: 800}, Options{Domain: "a", MaxWaiting: 16}, list); u != list[1] {
		t.Error("the request was queued behind long prompts")
	}
}

// simulateStaleReports simulates nodes that see each other's requests with a lag. It
// returns the mean and the 99th percentile of the queued work ahead of a new request,
// in milliseconds of prompt processing.
func simulateStaleReports(nodes, upstreams, sample int) (mean, p99 float64) {
	const seconds, rate, lag, tokensPerMs = 20, 6.0, 300, 80.0 // rate: requests per second and node
	rng := rand.New(rand.NewPCG(3, uint64(sample)))
	backlog := make([]float64, upstreams) // prompt tokens
	views := make([][]*Upstream, nodes)
	sent := make([][]float64, nodes) // waiting prompt tokens by node and upstream
	for n := range views {
		views[n], sent[n] = fleet(upstreams, 1000), make([]float64, upstreams)
	}
	var waits []float64
	for ms := range seconds * 1000 {
		at := now.Add(time.Duration(ms) * time.Millisecond)
		for u := range backlog {
			processed := min(backlog[u], tokensPerMs)
			for n := range sent {
				if backlog[u] > 0 {
					sent[n][u] -= sent[n][u] * processed / backlog[u]
				}
				views[n][u].PendingTokens = int(sent[n][u])
			}
			backlog[u] -= processed
		}
		if ms%lag == 0 {
			for n := range views {
				for u := range backlog {
					views[n][u].OtherNodesPendingTokens, views[n][u].OtherNodesAt = int(backlog[u]-sent[n][u]), at
				}
			}
		}
		for n := range views {
			if rng.Float64() >= rate/1000 {
				continue
			}
			tokens := 1000 + rng.ExpFloat64()*8000
			c, ok := Choose(at, Request{ID: fmt.Sprint(ms, n), PromptTokens: int(tokens)}, Options{Domain: "a", MaxWaiting: 10_000, SampleSize: sample}, views[n])
			if !ok {
				panic("no upstream")
			}
			var u int
			_, _ = fmt.Sscanf(c.Upstream.ID, "u%d", &u)
			waits = append(waits, backlog[u]/tokensPerMs)
			backlog[u] += tokens
			sent[n][u] += tokens
		}
	}
	slices.Sort(waits)
	for _, w := range waits {
		mean += w / float64(len(waits))
	}
	return mean, waits[len(waits)*99/100]
}

// sessionLoad is the load that the clients of each node generate.
type sessionLoad struct {
	rate        float64 // requests per second
	shared, own int     // prompt tokens that a session shares and that a request has alone
}

// sessionResult is the result of simulateSessions.
type sessionResult struct {
	recomputed float64 // share of requests whose shared prefix was processed again
	opened     float64 // new connections per request
	waiting    float64 // mean queued work ahead of a request, in ms of prompt processing
}

// simulateSessions simulates nodes that send prompts of many sessions to upstreams with
// a prefix cache, with lagging load reports.
func simulateSessions(traffic sessionLoad, o Options) sessionResult {
	const nodes, upstreams, sessions, seconds, lag, tokensPerMs = 30, 40, 80, 20, 300, 80.0
	const cacheTTL, idleTimeout = 10 * time.Second, 4 * time.Second
	rng := rand.New(rand.NewPCG(5, 1))
	var result sessionResult
	views, sent := make([][]*Upstream, nodes), make([][]float64, nodes)
	cachedAt, used := map[[2]int]time.Time{}, make([]map[string]time.Time, nodes)
	for n := range views {
		views[n], sent[n], used[n] = fleet(upstreams, 1000), make([]float64, upstreams), map[string]time.Time{}
		for _, u := range views[n] {
			u.Address = u.ID
		}
	}
	backlog := make([]float64, upstreams)
	requests := 0.0
	for ms := range seconds * 1000 {
		at := now.Add(time.Duration(ms) * time.Millisecond)
		for u := range backlog {
			processed := min(backlog[u], tokensPerMs)
			for n := range sent {
				if backlog[u] > 0 {
					sent[n][u] -= sent[n][u] * processed / backlog[u]
				}
				views[n][u].PendingTokens = int(sent[n][u])
			}
			backlog[u] -= processed
		}
		for n := range views {
			for u := range backlog {
				if ms%lag == 0 {
					views[n][u].OtherNodesPendingTokens, views[n][u].OtherNodesAt = int(backlog[u]-sent[n][u]), at
				}
			}
			if rng.Float64() >= traffic.rate/1000 {
				continue
			}
			s := rng.IntN(sessions)
			options := o
			options.Domain, options.MaxWaiting = "a", 10_000
			connected := func(address string) bool { return at.Sub(used[n][address]) < idleTimeout }
			if o.Connected != nil {
				options.Connected = connected
				for _, u := range views[n] {
					if connected(u.Address) {
						options.ConnectedUpstreams = append(options.ConnectedUpstreams, u)
					}
				}
			}
			r := Request{ID: fmt.Sprint(ms, n), PromptTokens: traffic.shared + traffic.own, Parts: []Part{{fmt.Sprint("s", s), traffic.shared}, {fmt.Sprint("own", ms, n), traffic.own}}}
			c, ok := Choose(at, r, options, views[n])
			if !ok {
				panic("no upstream")
			}
			u := slices.Index(views[n], c.Upstream)
			tokens := float64(traffic.own)
			if at.Sub(cachedAt[[2]int{u, s}]) > cacheTTL {
				tokens += float64(traffic.shared)
				result.recomputed++
			}
			if !connected(c.Upstream.Address) {
				result.opened++
			}
			cachedAt[[2]int{u, s}], used[n][c.Upstream.Address] = at, at
			result.waiting += backlog[u] / tokensPerMs
			backlog[u] += tokens
			sent[n][u] += tokens
			requests++
		}
	}
	return sessionResult{result.recomputed / requests, result.opened / requests, result.waiting / requests}
}

// Load pattern: drafts of many sessions, each with a long part of its own, at half the
// load that the upstreams can handle. Guards against processing the shared prefix on one
// upstream after another while the preferred one is busy. The baseline is the same load
// with a single preferred upstream.
func TestSecondPreferredUpstreamReducesRecomputation(t *testing.T) {
	drafts := sessionLoad{rate: 7, shared: 5400, own: 6600}
	single, double := simulateSessions(drafts, Options{SinglePreferred: true}), simulateSessions(drafts, Options{})
	t.Logf("one preferred upstream: %.3f recomputed, wait %.0f ms; two: %.3f, %.0f ms", single.recomputed, single.waiting, double.recomputed, double.waiting)
	if got, want := double.recomputed, 0.6*single.recomputed; got > want {
		t.Errorf("got %.3f of the shared prefixes recomputed, want at most %.3f", got, want)
	}
	if got, want := double.waiting, single.waiting; got > want {
		t.Errorf("got a mean wait of %.0f ms, want at most %.0f", got, want)
	}
}

// Load pattern: short prompts from many nodes to many upstreams, a few per second from
// each node. Guards against a new connection for nearly every request. The baseline is
// the same load with connections that cost nothing.
func TestShortPromptsReuseConnections(t *testing.T) {
	chats := sessionLoad{rate: 6, shared: 200, own: 630}
	unpriced, priced := simulateSessions(chats, Options{}), simulateSessions(chats, Options{Connected: func(string) bool { return false }})
	t.Logf("without connection cost: %.3f connections, wait %.1f ms; with cost: %.3f, %.1f ms", unpriced.opened, unpriced.waiting, priced.opened, priced.waiting)
	if got, want := priced.opened, 0.5*unpriced.opened; got > want {
		t.Errorf("got %.3f connections per request, want at most %.3f", got, want)
	}
	if got, want := priced.waiting, unpriced.waiting+1; got > want {
		t.Errorf("got a mean wait of %.1f ms, want at most %.1f", got, want)
	}
}

// Load pattern: many nodes with lagging load reports. Guards against all nodes avoiding
// or choosing the same upstream because of an outdated load. The baseline is a random
// choice under the same load.
func TestLoadSpreadsWithStaleReports(t *testing.T) {
	random, randomP99 := simulateStaleReports(59, 80, 1)
	mean, p99 := simulateStaleReports(59, 80, defaultSampleSize)
	t.Logf("random: mean %.0f ms, p99 %.0f ms; best of %d: mean %.0f ms, p99 %.0f ms", random, randomP99, defaultSampleSize, mean, p99)
	if mean > 0.6*random || p99 > 0.7*randomP99 {
		t.Errorf("got a mean wait of %.0f ms and a p99 of %.0f ms, want at most %.0f ms and %.0f ms", mean, p99, 0.6*random, 0.7*randomP99)
	}
}

// Load pattern: brittle upstreams under more requests than they have slots for. Guards against
// nodes that together send more than the slots, and against slots that no node may use.
func TestBrittleSlotsAreSharedExactly(t *testing.T) {
	for _, c := range []struct{ nodes, slots int }{{1, 6}, {3, 16}, {8, 6}, {72, 6}, {72, 64}, {295, 24}} {
		var nodes []string
		for i := range c.nodes {
			nodes = append(nodes, fmt.Sprint("n", i))
		}
		sent := 0
		for _, self := range nodes {
			u := &Upstream{ID: "u", Slots: c.slots}
			o := Options{Self: self, Nodes: nodes, Brittle: true}
			for range c.slots + 1 {
				if got, ok := Choose(now, Request{}, o, []*Upstream{u}); ok {
					got.RecordSend(now, o)
					sent++
				}
			}
		}
		if sent != c.slots {
			t.Errorf("%d nodes: got %d requests at once, want %d", c.nodes, sent, c.slots)
		}
	}
}

// Guards against many nodes that each have a request turned away as soon as they may send one
// again.
func TestBrittleHoldGrowsWithNodes(t *testing.T) {
	for _, c := range []struct {
		limit, nodes int
		want         time.Duration
	}{{4, 8, 2 * time.Second}, {8, 1, minBrittleHold}, {2, 295, maxBrittleHold}, {0, 1, time.Second}} {
		if got := BrittleHold(c.limit, c.nodes); got != c.want {
			t.Errorf("limit %d, %d nodes: got %v, want %v", c.limit, c.nodes, got, c.want)
		}
	}
}
