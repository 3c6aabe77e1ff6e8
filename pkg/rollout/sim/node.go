package sim

import (
	"math"
	"strconv"
	"time"

	"github.com/jaystage/jaystage/pkg/rollout"
)

// ended is a request that will have ended at a later second.
type ended struct {
	key                   rollout.Key
	step                  int
	first, between, whole time.Duration
	outcome               Fault
	bad                   bool
}

const horizon = 64

type node struct {
	run         *run
	name        string
	incarnation uint64
	sequence    uint64
	holder      *rollout.Holder
	known       rollout.Rollout
	counts      rollout.Set
	open        [horizon][]ended
	// silent is the number of seconds without contact that are left, and silentFor
	// those that have passed.
	silent, silentFor int
	requests          uint64
	// local counts requests for the variant that limits each node by itself.
	local rollout.Amount
	// sent and added are the leader's last limit and the node's sum, for the
	// variant whose grants are increments.
	sent, added rollout.Amount
}

func newNode(r *run, i int) *node {
	n := &node{run: r, name: "n" + strconv.Itoa(i)}
	n.restart()
	return n
}

func (n *node) restart() {
	n.incarnation++
	n.sequence = 0
	n.holder = rollout.NewHolder(rolloutID, n.name, n.incarnation)
	n.counts = rollout.Set{}
	n.open = [horizon][]ended{}
	n.known = n.run.state
}

func (n *node) accept(g rollout.Grant) {
	if n.run.variant == AddedGrants {
		n.added.Requests += g.Limit.Requests
		n.added.Tokens += g.Limit.Tokens
		g.Limit = n.added
	}
	n.holder.Accept(g)
}

// follow is the session renewal: the node learns the replicated state.
func (n *node) follow() {
	if n.silent > 0 {
		n.silent--
		n.silentFor++
		return
	}
	n.silentFor = 0
	state := n.run.state
	if state.Step != n.known.Step {
		n.counts = rollout.Set{}
	}
	n.known = state
	if n.known.Share == 0 && n.run.variant != KeptPermits {
		n.holder.Void()
	}
	n.holder.Follow(n.run.term, state.Share)
}

// traffic runs one second of the node's requests and reports.
func (n *node) traffic() {
	r := n.run
	n.follow()
	slot := &n.open[r.ticks%horizon]
	for i := range *slot {
		n.finish(&(*slot)[i])
	}
	*slot = (*slot)[:0]
	if n.silentFor <= leaseTicks {
		count := poisson(r, r.s.Rate/float64(r.s.Nodes))
		for range count {
			n.request()
		}
	}
	if n.silent > 0 || (r.ticks+1)%reportTicks != 0 {
		return
	}
	n.sequence++
	report := n.report()
	usage := n.holder.Usage()
	r.send(func() {
		r.collector.Add(report)
		if r.variant == FreshLeader {
			u := usage
			u.Total, u.Granted = rollout.Amount{}, rollout.Amount{}
			r.allocator.Report(u)
			usage.Granted = rollout.Amount{}
		}
		r.allocator.Report(usage)
	})
}

func (n *node) report() rollout.Report {
	return rollout.Report{
		Rollout: rolloutID, Step: n.known.Step, Node: n.name, Incarnation: n.incarnation, Sequence: n.sequence,
		Set: n.counts.Clone(),
	}
}

func poisson(r *run, mean float64) int {
	// Knuth's method; the mean is below 700.
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
	route := pick(r.rng.Float64(), len(r.s.Routes), func(i int) float64 { return r.s.Routes[i].Weight })
	rt := &r.s.Routes[route]
	count := math.Ceil(rt.Tokens * math.Exp(0.4*r.rng.NormFloat64()))
	tokens := 50 + count
	n.requests++
	isNew := n.admit(tokens)
	active := isNew && r.active(route)
	r.account(tokens, isNew, active)
	cold, chilled := n.cold(isNew)
	domain := n.domain(isNew)
	e := ended{step: n.known.Step, bad: active, key: rollout.Key{
		Version: oldVersion, Route: rt.Name, Class: "c", Domain: r.s.Domains[domain].Name, Cold: cold,
	}}
	if isNew {
		e.key.Version = newVersion
	}
	if r.variant == ColdMixed {
		e.key.Cold = false
	}
	d := &r.s.Domains[domain]
	slow, fail := d.Slow, 0.003+d.Fail
	if chilled {
		slow, fail = 3*slow, fail+0.2
	}
	if active && r.s.Fault == Slow {
		slow *= r.s.Size
	}
	e.first = time.Duration(slow * float64(rt.First) * math.Exp(0.5*r.rng.NormFloat64()))
	e.between = time.Duration(slow * 30e6 * math.Exp(0.3*r.rng.NormFloat64()))
	e.whole = e.first + time.Duration(count*float64(e.between))
	e.outcome = n.outcome(active, fail)
	at := r.ticks + 1 + min(horizon-2, int(e.whole/tick))
	n.open[at%horizon] = append(n.open[at%horizon], e)
}

func (n *node) outcome(active bool, fail float64) Fault {
	r := n.run
	if active && r.s.Fault != Slow && r.rng.Float64() < r.s.Size {
		return r.s.Fault
	}
	switch x := r.rng.Float64(); {
	case x < fail:
		return Fails
	case x < fail+0.0005:
		return Crash
	case x < fail+0.001:
		return Cut
	}
	return None
}

func (n *node) admit(tokens float64) bool {
	r := n.run
	if n.known.Phase == rollout.Done {
		return true
	}
	if r.variant == PerNodeShare {
		n.local.Requests++
		if n.known.Share > 0 && n.local.Tokens+1 <= math.Ceil(n.known.Share*n.local.Requests) {
			n.local.Tokens++
			return true
		}
		return false
	}
	if !r.s.Sessions {
		return n.holder.Admit(tokens, true)
	}
	session := n.name + "/" + strconv.FormatUint(n.requests, 10)
	share := n.known.Share
	if r.variant == KeptPermits {
		share = max(share, 0.05)
	}
	return n.holder.Admit(tokens, rollout.Sticky(rolloutID, session, share))
}

// cold tells whether the request's upstream is in its warm-up, and whether it
// suffers from it. The new version's upstreams start with each step as its share
// grows; 1 in 50 of the old version's was replaced a short while ago.
func (n *node) cold(isNew bool) (cold, chilled bool) {
	r := n.run
	if !isNew {
		cold = r.rng.Float64() < 0.02
		return cold, cold && r.s.Cold && r.rng.Float64() < 0.5
	}
	before := 0.0
	if r.state.Step > 0 {
		before = r.state.Rules.Steps[r.state.Step-1]
	}
	age := r.now.Sub(r.state.StepStarted)
	if r.state.Phase != rollout.Running || r.rng.Float64() < before/r.state.Share || age > r.state.Rules.Warmup {
		return false, false
	}
	return true, r.s.Cold && age < r.s.ColdFor
}

func (n *node) domain(isNew bool) int {
	r := n.run
	first := 0
	if d := r.s.Trouble.Drain; d > 0 && r.now.Sub(Start) > d {
		first = 1
	}
	rest := r.s.Domains[first:]
	return first + pick(r.rng.Float64(), len(rest), func(i int) float64 {
		if isNew {
			return rest[i].New
		}
		return rest[i].Old
	})
}

func pick(x float64, n int, weight func(int) float64) int {
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

func (n *node) finish(e *ended) {
	r := n.run
	if e.bad && r.res.FirstBad < 0 {
		r.res.FirstBad = r.now.Sub(Start)
	}
	if e.step != n.known.Step {
		return
	}
	c := n.counts.At(e.key)
	c.Runs++
	switch e.outcome {
	case Fails:
		c.Failures++
		return
	case Crash:
		c.Crashes++
		return
	case Cut:
		c.Cut++
		return
	}
	c.First.Add(e.first)
	c.Between.Add(e.between)
	c.Complete.Add(e.whole)
}
