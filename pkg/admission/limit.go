package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// limitReserveShare is the fraction of an account's burst that a shortage leaves in its
	// bucket. It lets a request that costs as much find as much of the limit as a small one, and
	// takes up what nodes accept before they hear that the demand has grown: after 0.6 s, four
	// times the rate has used more than most bursts hold.
	limitReserveShare = 0.4
	// priorityWeight is the weight of a priority relative to the next one: work of the next
	// priority goes first only if it costs less than this part.
	priorityWeight = 8.0
	// minKindShare is the fraction of an even share that each kind of request gets. A kind may not
	// be served less than a quarter as often as all; as cheap requests go first, all are served
	// more often than an even share of the cost would allow.
	minKindShare = 0.4
	// drawCycleTargets is the length of the cycle of draws in target latencies.
	drawCycleTargets = 4
	// returnShare bounds the requests that are asked to come back, relative to those that are
	// accepted at once: returns use the same limit.
	returnShare = 0.25
	// lightShare is the share from which a shortage is light: fewer requests are refused than
	// accepted, so that all of them may come back when their draw is accepted.
	lightShare = 0.5
	// minOverload and maxOverload bound the expected rest of an overload. One that has just begun
	// is expected to last until upstreams that are ordered now have booted: a request that comes
	// back too late to be in time only adds to the load, and is refused again if it comes sooner.
	minOverload = 4 * time.Second
	maxOverload = 8 * time.Second
)

// Demand is what the clients of an account ask for of one kind of request, over all nodes.
type Demand struct {
	Kind string
	// Service is the service that runs the kind. Of one service, more urgent kinds are never
	// served less often than less urgent ones.
	Service string
	// Priority is the priority of the kind; 0 is the most urgent.
	Priority int
	// Rate is the cost asked per second, and Calls the number of requests per second.
	Rate, Calls float64
}

// Limit is what a node knows of the limit of one account over all nodes.
type Limit struct {
	Rate, Burst float64
	// Level is the level of the account's bucket at the last totals, and Age their age.
	Level float64
	Age   time.Duration
	// Correction is the time in which the nodes bring the level back to its reserve. It must
	// be longer than usage takes to come back in the totals; otherwise the level swings.
	Correction time.Duration
}

// Supply returns the cost per second that all nodes together may accept, so that the bucket
// keeps its reserve. What the level holds beyond it is spent while no newer totals arrive, so
// that the supply approaches the rate.
func (l Limit) Supply() float64 {
	seconds := l.Correction.Seconds()
	surplus := (l.Level - limitReserveShare*l.Burst) / seconds
	return max(0, l.Rate+surplus*math.Exp(-max(0, l.Age.Seconds())/seconds))
}

// Shares returns the share of each kind's requests that a supply covers. Each kind gets a part
// of an even share, and the rest goes to the kinds whose loss costs callers most for what they
// need. All sizes of a kind have the same share.
func Shares(supply float64, demands []Demand) []float64 {
	shares := make([]float64, len(demands))
	total := 0.0
	for _, d := range demands {
		total += d.Rate
	}
	if total <= supply {
		for i := range shares {
			shares[i] = 1
		}
		return shares
	}
	even := max(0, supply) / total
	rest := (1 - minKindShare) * max(0, supply)
	for i := range shares {
		shares[i] = minKindShare * even
	}
	for _, i := range mostCostly(demands) {
		if rest <= 0 {
			break
		}
		if missing := (1 - shares[i]) * demands[i].Rate; missing > 0 {
			given := min(rest, missing)
			shares[i] += given / demands[i].Rate
			rest -= given
		}
	}
	return shares
}

// mostCostly returns the indexes of the kinds in the order of what a refusal costs for the
// work that it saves.
func mostCostly(demands []Demand) []int {
	keys, order := make([]float64, len(demands)), make([]int, len(demands))
	for i, d := range demands {
		order[i] = i
		if d.Rate > 0 {
			keys[i] = math.Pow(priorityWeight, -float64(d.Priority)) * max(d.Calls, 1e-9) / d.Rate
		}
	}
	own := slices.Clone(keys)
	for i, d := range demands {
		for j, o := range demands {
			if d.Service == o.Service && d.Priority > o.Priority {
				keys[i] = min(keys[i], own[j])
			}
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(keys[b], keys[a]), cmp.Compare(demands[a].Priority, demands[b].Priority), cmp.Compare(demands[a].Kind, demands[b].Kind))
	})
	return order
}

// Draw is the position of a request among all requests of its kind. It follows from the
// request's content and the time, so that all nodes draw the same for it.
type Draw struct {
	// Cycle is the time after which the position is the same again.
	Cycle time.Duration
	// Position is uniform in [0, 1). A request is accepted if it is below its kind's share.
	Position float64
}

// NewDraw returns the draw of a request at a time. hash is uniform over requests, and target
// the latency after which a response is worth less.
func NewDraw(now time.Time, hash uint64, target time.Duration) Draw {
	cycle := max(drawCycleTargets*target, time.Second)
	phase := float64(now.UnixNano()%int64(cycle)) / float64(cycle)
	_, position := math.Modf(float64(hash>>11)/(1<<53) + phase)
	return Draw{cycle, position}
}

// RetryAfter returns after which time a refused request should come back. useful is the time
// for which a return can still be in time, and overload how long the shortage has lasted.
func (d Draw) RetryAfter(share float64, useful, overload time.Duration) time.Duration {
	untilAccepted := time.Duration((1 - d.Position) * float64(d.Cycle))
	if share >= lightShare || 1-d.Position < returnShare*share && untilAccepted <= useful {
		return untilAccepted + time.Duration(d.Position*returnShare*share*float64(d.Cycle)/2)
	}
	expected := min(max(overload, minOverload), maxOverload)
	return expected + time.Duration(d.Position*float64(expected)/2)
}

// Meter measures the rate at which something happens. Rates of many nodes add up: the sum of
// their readings is the reading of one meter for all of them.
type Meter struct{ sum decayingSum }

// meterTime is the time constant of a Meter. It is as long as usage takes to come back in the
// totals twice, so that a control by both does not swing.
const meterTime = 600 * time.Millisecond

// Add counts an amount.
func (m *Meter) Add(now time.Time, amount float64) {
	m.sum.timeConstant = meterTime
	m.sum.add(now, amount)
}

// Rate returns the recent amount per second.
func (m *Meter) Rate(now time.Time) float64 {
	if m.sum.updated.IsZero() {
		return 0
	}
	return m.sum.value(now) / meterTime.Seconds()
}

// Idle reports whether nothing was counted for so long that the rate is negligible.
func (m *Meter) Idle(now time.Time) bool { return now.Sub(m.sum.updated) > 5*meterTime }
