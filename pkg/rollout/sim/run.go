package sim

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"time"

	"github.com/jaystage/jaystage/pkg/rollout"
)

const (
	oldVersion = "1.0"
	newVersion = "1.1"
	rolloutID  = "r1"
	tick       = time.Second
	// leaseTicks is the time after which a node without contact admits nothing.
	leaseTicks = 2
	// reportTicks is the time between two reports of a node, and between two
	// decisions of the leader.
	reportTicks = 2
)

// Result is the course of one rollout.
type Result struct {
	Scenario Scenario
	Rollout  rollout.Rollout
	Last     rollout.Decision
	// Took is the time from the start to the end, and Late the time by which the
	// end missed the deadline.
	Took, Late time.Duration
	// All and New count the requests of the service and those that the new version
	// got until it ended; Bad counts those it got after its fault began.
	All, New, Bad float64
	// Over is the largest excess of the new version's requests, or of its tokens
	// in mean requests, over the share limit at any time.
	Over float64
	// FirstBad is the time of the first bad answer, Judged of the verdict, and
	// LastNew of the last request that the new version got; negative if none.
	FirstBad, Judged, LastNew time.Duration
}

// Start is the time at which simulated rollouts begin.
var Start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

type run struct {
	s       Scenario
	variant Variant
	rng     *rand.Rand
	now     time.Time
	res     Result

	state     rollout.Rollout
	collector *rollout.Collector
	allocator *rollout.Allocator
	term      uint64
	outage    int
	nodes     []*node
	mail      map[int][]func()
	ticks     int

	// allowed is the share limit's integral over the traffic so far.
	allowed, spent rollout.Amount
	onset          time.Time
}

// Run simulates one rollout until one minute after its end, or 10 minutes after
// its deadline.
func Run(s Scenario, variant Variant) Result {
	r := newRun(s, variant)
	tail := 60
	for r.now.Before(Start.Add(s.Limit + 10*time.Minute)) {
		r.step()
		if r.state.Phase.Final() {
			if tail--; tail == 0 {
				break
			}
		}
	}
	r.res.Rollout = r.state
	r.res.Took = r.state.Ended.Sub(Start)
	r.res.Late = r.state.Ended.Sub(r.state.Deadline)
	if !r.state.Phase.Final() {
		r.res.Took, r.res.Late = r.now.Sub(Start), r.now.Sub(r.state.Deadline)
	}
	return r.res
}

func newRun(s Scenario, variant Variant) *run {
	r := &run{
		s: s, variant: variant, rng: rand.New(rand.NewPCG(s.Seed, 11)), now: Start, term: 1,
		collector: rollout.NewCollector(), allocator: rollout.NewAllocator(rolloutID, 1),
		mail: make(map[int][]func()),
	}
	r.res = Result{Scenario: s, FirstBad: -1, Judged: -1, LastNew: -1}
	state, err := rollout.Start(Start, nil, rollout.Request{
		ID: rolloutID, Service: "desk", From: oldVersion, To: newVersion, Deadline: Start.Add(s.Limit), Rules: s.Rules,
	})
	if err != nil {
		panic(err)
	}
	if variant == NoUndoReserve {
		state.Rules.Undo = 0
	}
	r.state = state
	for i := range s.Nodes {
		r.nodes = append(r.nodes, newNode(r, i))
	}
	return r
}

func (r *run) step() {
	for _, deliver := range r.mail[r.ticks] {
		deliver()
	}
	delete(r.mail, r.ticks)
	r.inject()
	for _, n := range r.nodes {
		n.traffic()
	}
	if r.outage > 0 {
		r.outage--
	} else if r.ticks%reportTicks == 0 {
		r.lead()
	}
	r.ticks++
	r.now = r.now.Add(tick)
}

func (r *run) inject() {
	t := r.s.Trouble
	if r.rng.Float64() < t.Leader {
		r.changeLeader()
	}
	for _, n := range r.nodes {
		if r.rng.Float64() < t.Restart {
			n.restart()
		}
		if n.silent == 0 && r.rng.Float64() < t.Silent {
			n.silent = 1 + r.rng.IntN(20)
		}
	}
	if t.Undo > 0 && r.now.Sub(Start) == t.Undo.Truncate(tick) {
		if next, err := rollout.Undo(r.now, r.state, "operator"); err == nil {
			r.store(next)
		}
	}
}

// changeLeader drops all soft state; the state goes through its stored form.
func (r *run) changeLeader() {
	data, err := json.Marshal(r.state)
	if err != nil {
		panic(err)
	}
	r.state = rollout.Rollout{}
	if err := json.Unmarshal(data, &r.state); err != nil {
		panic(err)
	}
	r.term++
	r.outage = 1 + r.rng.IntN(3)
	r.collector, r.allocator = rollout.NewCollector(), rollout.NewAllocator(rolloutID, r.term)
}

func (r *run) lead() {
	e := r.collector.Evidence(r.now, r.state)
	e.Drained = map[string]bool{}
	if d := r.s.Trouble.Drain; d > 0 && r.now.Sub(Start) > d {
		e.Drained[r.s.Domains[0].Name] = true
	}
	e.OldReady, e.NewReady = 10, 10
	if g := r.s.Trouble.OldGone; g > 0 && r.now.Sub(Start) > g {
		e.OldReady = 0
	}
	e.UndoInForce = r.inForce()
	if r.variant != "" {
		e = naiveEvidence(r.variant, e)
	}
	d := rollout.Step(r.now, r.state, e)
	if r.variant == FixedSample && r.state.Phase == rollout.Running {
		d = fixedSample(r.now, r.state, e, d)
	}
	r.res.Last = d
	if d.Changed {
		r.store(d.Rollout)
		if r.s.Trouble.EachStep {
			r.changeLeader()
			return
		}
	}
	if r.state.Phase == rollout.Running {
		for _, g := range r.allocator.Grants() {
			r.sendGrant(g)
		}
	}
}

func (r *run) store(next rollout.Rollout) {
	if next.Bad && !r.state.Bad {
		r.res.Judged = r.now.Sub(Start)
	}
	r.state = next
}

func (r *run) inForce() bool {
	if r.state.Phase != rollout.Undoing {
		return false
	}
	for _, n := range r.nodes {
		if n.known.Phase != rollout.Undoing && n.silent <= leaseTicks+1 {
			return false
		}
		if n.known.Phase != rollout.Undoing && n.silentFor <= leaseTicks {
			return false
		}
	}
	return true
}

// send delivers a message after this second, or later, twice or never.
func (r *run) send(deliver func()) {
	t := r.s.Trouble
	if r.rng.Float64() < t.Lose {
		return
	}
	times := 1
	if r.rng.Float64() < t.Repeat {
		times = 2
	}
	for range times {
		at := r.ticks + 1
		if r.rng.Float64() < t.Delay {
			at += 1 + r.rng.IntN(10)
		}
		r.mail[at] = append(r.mail[at], deliver)
	}
}

func (r *run) sendGrant(g rollout.Grant) {
	for _, n := range r.nodes {
		if n.name == g.Node && n.silent == 0 {
			if r.variant == AddedGrants {
				limit := g.Limit
				g.Limit.Requests -= n.sent.Requests
				g.Limit.Tokens -= n.sent.Tokens
				n.sent = limit
			}
			r.send(func() { n.accept(g) })
		}
	}
}

// active tells whether the new version's fault shows on a route now.
func (r *run) active(route int) bool {
	switch {
	case r.s.Fault == None:
		return false
	case r.s.Onset == AtOnce:
		return true
	case r.s.Onset == OneRoute:
		return route == r.s.Route
	case r.s.Onset == UnderLoad:
		return r.state.Step >= r.s.Step && r.state.Phase == rollout.Running
	}
	if r.onset.IsZero() && r.state.Step >= r.s.Step && r.now.Sub(r.state.StepStarted) >= r.s.After {
		r.onset = r.now
	}
	return !r.onset.IsZero()
}

// account checks the share limit at every request.
func (r *run) account(tokens float64, isNew, bad bool) {
	r.allowed.Requests += r.limit()
	r.allowed.Tokens += r.limit() * tokens
	if !r.state.Phase.Final() {
		r.res.All++
	}
	if !isNew {
		return
	}
	r.spent.Requests++
	r.spent.Tokens += tokens
	r.res.New++
	r.res.LastNew = r.now.Sub(Start)
	if bad {
		r.res.Bad++
	}
	mean := r.allowed.Tokens / r.allowed.Requests
	r.res.Over = max(r.res.Over, r.spent.Requests-r.allowed.Requests, (r.spent.Tokens-r.allowed.Tokens)/mean)
}

func (r *run) limit() float64 {
	if r.state.Phase == rollout.Done {
		return 1
	}
	return r.state.Share
}

func pow(x, y float64) float64 { return math.Pow(x, y) }
