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
	// leaseTicks is the time after which a partitioned node stops admitting requests.
	leaseTicks = 2
	// reportTicks is the interval of a node's reports and of the leader's decisions.
	reportTicks = 2
)

// Result holds the measurements of one simulated rollout.
type Result struct {
	Scenario Scenario
	Rollout  rollout.Rollout
	Last     rollout.Decision // the leader's latest decision
	// Duration is the time from the start to the end, and Overrun the time from the
	// deadline to the end, which is negative if the rollout ended before it.
	Duration, Overrun time.Duration
	// Requests and NewRequests count the requests of the service until the rollout
	// ended and those that the new version got; BadRequests counts the latter since
	// the onset of its fault.
	Requests, NewRequests, BadRequests float64
	// Excess is the maximum excess over the share limit at any time, in requests or in
	// tokens divided by the mean tokens per request.
	Excess float64
	// FirstBadAnswer is the time of the first bad answer, JudgedAt that of the verdict, and
	// LastNewRequest that of the new version's last request. Each is negative if there
	// is none.
	FirstBadAnswer, JudgedAt, LastNewRequest time.Duration
}

// Start is the start time of all simulated rollouts.
var Start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

type run struct {
	scenario Scenario
	variant  Variant
	rng      *rand.Rand
	now      time.Time
	result   Result

	state       rollout.Rollout
	collector   *rollout.Collector
	allocator   *rollout.Allocator
	term        uint64
	outageTicks int // remaining ticks without a leader
	nodes       []*node
	messages    map[int][]func() // by the tick of their delivery
	ticks       int

	// allowed is the sum of the share limit over all requests so far, and spent the
	// amount that the new version got.
	allowed, spent rollout.Amount
	onset          time.Time
}

// Run simulates one rollout until one minute after its end, but at most until 10
// minutes after its deadline.
func Run(s Scenario, variant Variant) Result {
	r := newRun(s, variant)
	remainingTicks := 60
	for r.now.Before(Start.Add(s.TimeLimit + 10*time.Minute)) {
		r.step()
		if r.state.Phase.Final() {
			if remainingTicks--; remainingTicks == 0 {
				break
			}
		}
	}
	r.result.Rollout = r.state
	r.result.Duration = r.state.Ended.Sub(Start)
	r.result.Overrun = r.state.Ended.Sub(r.state.Deadline)
	if !r.state.Phase.Final() {
		r.result.Duration, r.result.Overrun = r.now.Sub(Start), r.now.Sub(r.state.Deadline)
	}
	return r.result
}

func newRun(s Scenario, variant Variant) *run {
	r := &run{
		scenario: s, variant: variant, rng: rand.New(rand.NewPCG(s.Seed, 11)), now: Start, term: 1,
		collector: rollout.NewCollector(), allocator: rollout.NewAllocator(rolloutID, 1),
		messages: make(map[int][]func()),
	}
	r.result = Result{Scenario: s, FirstBadAnswer: -1, JudgedAt: -1, LastNewRequest: -1}
	state, err := rollout.Start(Start, nil, rollout.Request{
		ID: rolloutID, Service: "desk", From: oldVersion, To: newVersion, Deadline: Start.Add(s.TimeLimit), Rules: s.Rules,
	})
	if err != nil {
		panic(err)
	}
	if variant == NoRollbackReserve {
		state.Rules.RollbackReserve = 0
	}
	r.state = state
	for i := range s.Nodes {
		r.nodes = append(r.nodes, newNode(r, i))
	}
	return r
}

func (r *run) step() {
	for _, deliver := range r.messages[r.ticks] {
		deliver()
	}
	delete(r.messages, r.ticks)
	r.injectFaults()
	for _, n := range r.nodes {
		n.runTick()
	}
	if r.outageTicks > 0 {
		r.outageTicks--
	} else if r.ticks%reportTicks == 0 {
		r.runLeader()
	}
	r.ticks++
	r.now = r.now.Add(tick)
}

func (r *run) injectFaults() {
	injected := r.scenario.Injected
	if r.rng.Float64() < injected.LeaderChangeRate {
		r.changeLeader()
	}
	for _, n := range r.nodes {
		if r.rng.Float64() < injected.RestartRate {
			n.restart()
		}
		if n.partitionedTicks == 0 && r.rng.Float64() < injected.PartitionRate {
			n.partitionedTicks = 1 + r.rng.IntN(20)
		}
	}
	if injected.RollbackAfter > 0 && r.now.Sub(Start) == injected.RollbackAfter.Truncate(tick) {
		if next, err := rollout.Rollback(r.now, r.state, "operator"); err == nil {
			r.store(next)
		}
	}
}

// changeLeader discards all state that is not replicated, and passes the rollout
// through its stored encoding.
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
	r.outageTicks = 1 + r.rng.IntN(3)
	r.collector, r.allocator = rollout.NewCollector(), rollout.NewAllocator(rolloutID, r.term)
}

func (r *run) runLeader() {
	e := r.collector.Evidence(r.now, r.state)
	e.DrainedDomains = map[string]bool{}
	if d := r.scenario.Injected.DrainAfter; d > 0 && r.now.Sub(Start) > d {
		e.DrainedDomains[r.scenario.Domains[0].Name] = true
	}
	e.OldReady, e.NewReady = 10, 10
	if g := r.scenario.Injected.OldGoneAfter; g > 0 && r.now.Sub(Start) > g {
		e.OldReady = 0
	}
	e.RollbackInForce = r.rollbackInForce()
	if r.variant != "" {
		e = naiveEvidence(r.variant, e)
	}
	d := rollout.Step(r.now, r.state, e)
	if r.variant == FixedSample && r.state.Phase == rollout.Running {
		d = fixedSample(r.now, r.state, e, d)
	}
	r.result.Last = d
	if d.Changed {
		r.store(d.Rollout)
		if r.scenario.Injected.LeaderChangeOnStep {
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
		r.result.JudgedAt = r.now.Sub(Start)
	}
	r.state = next
}

// rollbackInForce reports whether each node has applied the rollback or has been
// partitioned for so long that it no longer admits requests.
func (r *run) rollbackInForce() bool {
	if r.state.Phase != rollout.RollingBack {
		return false
	}
	for _, n := range r.nodes {
		if n.state.Phase != rollout.RollingBack && n.partitionedTicks <= leaseTicks+1 {
			return false
		}
		if n.state.Phase != rollout.RollingBack && n.partitionedFor <= leaseTicks {
			return false
		}
	}
	return true
}

// send delivers a message at the next tick, or loses, duplicates or delays it.
func (r *run) send(deliver func()) {
	injected := r.scenario.Injected
	if r.rng.Float64() < injected.LossRate {
		return
	}
	times := 1
	if r.rng.Float64() < injected.DuplicateRate {
		times = 2
	}
	for range times {
		at := r.ticks + 1
		if r.rng.Float64() < injected.DelayRate {
			at += 1 + r.rng.IntN(10)
		}
		r.messages[at] = append(r.messages[at], deliver)
	}
}

func (r *run) sendGrant(g rollout.Grant) {
	for _, n := range r.nodes {
		if n.name == g.Node && n.partitionedTicks == 0 {
			if r.variant == IncrementalGrants {
				limit := g.Limit
				g.Limit.Requests -= n.lastLimit.Requests
				g.Limit.Tokens -= n.lastLimit.Tokens
				n.lastLimit = limit
			}
			r.send(func() { n.accept(g) })
		}
	}
}

// faultActive reports whether the new version's fault currently affects a route.
func (r *run) faultActive(route int) bool {
	switch {
	case r.scenario.Fault == FaultNone:
		return false
	case r.scenario.Onset == OnsetImmediate:
		return true
	case r.scenario.Onset == OnsetOneRoute:
		return route == r.scenario.BadRoute
	case r.scenario.Onset == OnsetUnderLoad:
		return r.state.Step >= r.scenario.OnsetStep && r.state.Phase == rollout.Running
	}
	if r.onset.IsZero() && r.state.Step >= r.scenario.OnsetStep && r.now.Sub(r.state.StepStarted) >= r.scenario.OnsetDelay {
		r.onset = r.now
	}
	return !r.onset.IsZero()
}

// recordRequest updates the totals with one request and the maximum excess over the
// share limit.
func (r *run) recordRequest(tokens float64, isNew, faulty bool) {
	r.allowed.Requests += r.shareLimit()
	r.allowed.Tokens += r.shareLimit() * tokens
	if !r.state.Phase.Final() {
		r.result.Requests++
	}
	if !isNew {
		return
	}
	r.spent.Requests++
	r.spent.Tokens += tokens
	r.result.NewRequests++
	r.result.LastNewRequest = r.now.Sub(Start)
	if faulty {
		r.result.BadRequests++
	}
	mean := r.allowed.Tokens / r.allowed.Requests
	r.result.Excess = max(r.result.Excess, r.spent.Requests-r.allowed.Requests, (r.spent.Tokens-r.allowed.Tokens)/mean)
}

func (r *run) shareLimit() float64 {
	if r.state.Phase == rollout.Done {
		return 1
	}
	return r.state.Share
}

func pow(x, y float64) float64 { return math.Pow(x, y) }
