package sim

import (
	"math"
	"strconv"
	"time"

	"github.com/jaystage/jaystage/pkg/rollout"
)

// pendingRequest is a request with the outcome that it has when it completes.
type pendingRequest struct {
	key                                                 rollout.Key
	step                                                int
	timeToFirstToken, interTokenLatency, completionTime time.Duration
	outcome                                             Fault
	bad                                                 bool
}

// horizonTicks is the size of the ring buffer of pending requests. Requests that would
// take longer complete at its end.
const horizonTicks = 64

type node struct {
	run         *run
	name        string
	incarnation uint64
	sequence    uint64
	holder      *rollout.PermitHolder
	state       rollout.Rollout
	counts      rollout.CountSet
	pending     [horizonTicks][]pendingRequest
	// partitionedTicks is the remaining number of ticks of a network partition, and
	// partitionedFor the number that have passed.
	partitionedTicks, partitionedFor int
	requests                         uint64
	// localCounts counts requests for the variant that limits each node separately. Its
	// Tokens field counts the requests that the new version got.
	localCounts rollout.Amount
	// lastLimit and grantSum are the limit that the leader sent last and the node's sum of all
	// grants, for the variant whose grants are increments.
	lastLimit, grantSum rollout.Amount
}

func newNode(r *run, i int) *node {
	n := &node{run: r, name: "n" + strconv.Itoa(i)}
	n.restart()
	return n
}

func (n *node) restart() {
	n.incarnation++
	n.sequence = 0
	n.holder = rollout.NewPermitHolder(rolloutID, n.name, n.incarnation)
	n.counts = rollout.CountSet{}
	n.pending = [horizonTicks][]pendingRequest{}
	n.state = n.run.state
}

func (n *node) accept(g rollout.Grant) {
	if n.run.variant == IncrementalGrants {
		n.grantSum.Requests += g.Limit.Requests
		n.grantSum.Tokens += g.Limit.Tokens
		g.Limit = n.grantSum
	}
	n.holder.Accept(g)
}

// syncState simulates the node's session renewal, which delivers the replicated state.
func (n *node) syncState() {
	if n.partitionedTicks > 0 {
		n.partitionedTicks--
		n.partitionedFor++
		return
	}
	n.partitionedFor = 0
	state := n.run.state
	if state.Step != n.state.Step {
		n.counts = rollout.CountSet{}
	}
	n.state = state
	if n.state.Share == 0 && n.run.variant != KeptPermits {
		n.holder.Revoke()
	}
	n.holder.SetShare(n.run.term, state.Share)
}

// runTick simulates the node's requests and reports of one tick.
func (n *node) runTick() {
	r := n.run
	n.syncState()
	slot := &n.pending[r.ticks%horizonTicks]
	for i := range *slot {
		n.finish(&(*slot)[i])
	}
	*slot = (*slot)[:0]
	if n.partitionedFor <= leaseTicks {
		count := poisson(r, r.scenario.Rate/float64(r.scenario.Nodes))
		for range count {
			n.request()
		}
	}
	if n.partitionedTicks > 0 || (r.ticks+1)%reportTicks != 0 {
		return
	}
	n.sequence++
	report := n.report()
	usage := n.holder.Usage()
	r.send(func() {
		r.collector.Add(report)
		if r.variant == LeaderRecounts {
			u := usage
			u.Total, u.Granted = rollout.Amount{}, rollout.Amount{}
			r.allocator.AddUsage(u)
			usage.Granted = rollout.Amount{}
		}
		r.allocator.AddUsage(usage)
	})
}

func (n *node) report() rollout.Report {
	return rollout.Report{
		Rollout: rolloutID, Step: n.state.Step, Node: n.name, Incarnation: n.incarnation, Sequence: n.sequence,
		Counts: n.counts.Clone(),
	}
}

func poisson(r *run, mean float64) int {
	// Knuth's method; exp(-mean) does not underflow, since the mean is below 700.
	limit, p, k := math.Exp(-mean), 1.0, 0
	for {
		if p *= r.rng.Float64(); p <= limit {
			return k
		}
		k++
	}
}

func (n *node) request() {
	r := n.run
	route := weightedIndex(r.rng.Float64(), len(r.scenario.Routes), func(i int) float64 { return r.scenario.Routes[i].Weight })
	routeConfig := &r.scenario.Routes[route]
	outputTokens := math.Ceil(routeConfig.MedianTokens * math.Exp(0.4*r.rng.NormFloat64()))
	tokens := 50 + outputTokens
	n.requests++
	isNew := n.admit(tokens)
	faulty := isNew && r.faultActive(route)
	r.recordRequest(tokens, isNew, faulty)
	cold, affected := n.cold(isNew)
	domain := n.domain(isNew)
	pending := pendingRequest{step: n.state.Step, bad: faulty, key: rollout.Key{
		Version: oldVersion, Route: routeConfig.Name, Class: "c", Domain: r.scenario.Domains[domain].Name, Cold: cold,
	}}
	if isNew {
		pending.key.Version = newVersion
	}
	if r.variant == ColdIncluded {
		pending.key.Cold = false
	}
	domainConfig := &r.scenario.Domains[domain]
	slowFactor, failureRate := domainConfig.SlowFactor, 0.003+domainConfig.AddedFailureRate
	if affected {
		slowFactor, failureRate = 3*slowFactor, failureRate+0.2
	}
	if faulty && r.scenario.Fault == FaultSlow {
		slowFactor *= r.scenario.Severity
	}
	pending.timeToFirstToken = time.Duration(slowFactor * float64(routeConfig.TimeToFirstToken) * math.Exp(0.5*r.rng.NormFloat64()))
	// 30e6 ns: the median time between two tokens is 30 ms for a slowFactor of 1.
	pending.interTokenLatency = time.Duration(slowFactor * 30e6 * math.Exp(0.3*r.rng.NormFloat64()))
	pending.completionTime = pending.timeToFirstToken + time.Duration(outputTokens*float64(pending.interTokenLatency))
	pending.outcome = n.outcome(faulty, failureRate)
	at := r.ticks + 1 + min(horizonTicks-2, int(pending.completionTime/tick))
	n.pending[at%horizonTicks] = append(n.pending[at%horizonTicks], pending)
}

func (n *node) outcome(faulty bool, failureRate float64) Fault {
	r := n.run
	if faulty && r.scenario.Fault != FaultSlow && r.rng.Float64() < r.scenario.Severity {
		return r.scenario.Fault
	}
	switch x := r.rng.Float64(); {
	case x < failureRate:
		return FaultFailures
	case x < failureRate+0.0005:
		return FaultCrashes
	case x < failureRate+0.001:
		return FaultTruncated
	}
	return FaultNone
}

func (n *node) admit(tokens float64) bool {
	r := n.run
	if n.state.Phase == rollout.Done {
		return true
	}
	if r.variant == PerNodeShare {
		n.localCounts.Requests++
		if n.state.Share > 0 && n.localCounts.Tokens+1 <= math.Ceil(n.state.Share*n.localCounts.Requests) {
			n.localCounts.Tokens++
			return true
		}
		return false
	}
	if !r.scenario.Sessions {
		return n.holder.Admit(tokens, true)
	}
	session := n.name + "/" + strconv.FormatUint(n.requests, 10)
	share := n.state.Share
	if r.variant == KeptPermits {
		share = max(share, 0.05)
	}
	return n.holder.Admit(tokens, rollout.StickyToNew(rolloutID, session, share))
}

// cold reports whether the request's upstream is cold, and whether the request is slower
// and fails more often because of that. The new version's upstreams start at each
// step as its share increases; 1 in 50 of the old version's upstreams was replaced
// recently.
func (n *node) cold(isNew bool) (cold, affected bool) {
	r := n.run
	if !isNew {
		cold = r.rng.Float64() < 0.02
		return cold, cold && r.scenario.ColdFaults && r.rng.Float64() < 0.5
	}
	previousShare := 0.0
	if r.state.Step > 0 {
		previousShare = r.state.Rules.Steps[r.state.Step-1]
	}
	stepAge := r.now.Sub(r.state.StepStarted)
	if r.state.Phase != rollout.Running || r.rng.Float64() < previousShare/r.state.Share || stepAge > r.state.Rules.Warmup {
		return false, false
	}
	return true, r.scenario.ColdFaults && stepAge < r.scenario.ColdFor
}

func (n *node) domain(isNew bool) int {
	r := n.run
	first := 0
	if d := r.scenario.Injected.DrainAfter; d > 0 && r.now.Sub(Start) > d {
		first = 1
	}
	rest := r.scenario.Domains[first:]
	return first + weightedIndex(r.rng.Float64(), len(rest), func(i int) float64 {
		if isNew {
			return rest[i].NewWeight
		}
		return rest[i].OldWeight
	})
}

// weightedIndex returns an index below n, chosen by the weights and a number x that is
// uniform in [0, 1).
func weightedIndex(x float64, n int, weight func(int) float64) int {
	sum := 0.0
	for i := range n {
		sum += weight(i)
	}
	x *= sum
	for i := range n - 1 {
		if x -= weight(i); x < 0 {
			return i
		}
	}
	return n - 1
}

// finish counts a completed request, unless it was admitted in an earlier step.
func (n *node) finish(pending *pendingRequest) {
	r := n.run
	if pending.bad && r.result.FirstBadAnswer < 0 {
		r.result.FirstBadAnswer = r.now.Sub(Start)
	}
	if pending.step != n.state.Step {
		return
	}
	c := n.counts.GetOrCreate(pending.key)
	c.Requests++
	switch pending.outcome {
	case FaultFailures:
		c.Failures++
		return
	case FaultCrashes:
		c.Crashes++
		return
	case FaultTruncated:
		c.Truncated++
		return
	}
	c.TimeToFirstToken.Add(pending.timeToFirstToken)
	c.InterTokenLatency.Add(pending.interTokenLatency)
	c.CompletionTime.Add(pending.completionTime)
}
