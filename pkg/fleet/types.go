package fleet

import (
	"math/rand/v2"
	"time"
)

// Offer is a kind of VM that the platform sells in one failure domain.
type Offer struct {
	Class       string
	Domain      string
	Reclaimable bool
}

// Price is the present price of an offer.
type Price struct {
	Offer Offer
	// PerHour is the price of one VM for one hour, above zero.
	PerHour float64
	// ReclaimRate is the expected number of reclaims per VM and hour, from history.
	ReclaimRate float64
}

// Sample is one reading of a pool's load.
type Sample struct {
	Time time.Time
	// Load is in tokens/s, or requests/s for plain services.
	Load float64
}

// Pool is a group of upstreams that are alike.
type Pool struct {
	Name    string
	Service string
	Model   string
	Adapter string
	Version string
	Role    string
	// Priority orders pools when starts are scarce; the lowest is served first.
	Priority int
	// Samples holds the recent load, the oldest first, over at least Rules.Hold.
	Samples []Sample
	// Capacity is the load that a VM of each class carries at the latency target.
	// Classes that are not listed cannot serve the pool.
	Capacity map[string]float64
	// ColdStart is the time from an order to full capacity.
	ColdStart time.Duration
	// WeightBytes is the size in bytes of what a start loads from the weight store.
	WeightBytes float64
	// MinLoad is a lower bound of the load to plan for, such as that of the old
	// version during a rollout.
	MinLoad float64
	// RecomputeSeconds is the load, in seconds of a VM's capacity, that a reclaim makes
	// other VMs run again.
	RecomputeSeconds float64
}

// State is a VM's state.
type State string

// States of a VM.
const (
	Starting State = "starting"
	Ready    State = "ready"
	Leaving  State = "leaving"
)

// VM is a VM that the platform lists.
type VM struct {
	ID      string
	OrderID string
	Offer   Offer
	Pool    string
	State   State
	Since   time.Time
	// PricePerHour is the price that the VM is billed at.
	PricePerHour float64
	// ReclaimAt is the time at which the platform takes the VM; zero without notice.
	ReclaimAt time.Time
}

// Lease is the right to give orders.
type Lease struct {
	// Token is the fencing token that each order carries.
	Token   uint64
	Expires time.Time
}

// Rules holds a deployment's rules.
type Rules struct {
	// Headroom is the part of the planned load that must be carried after the loss
	// of the failure domain with the most capacity; usually 1.
	Headroom float64
	// ForecastMargin multiplies the forecast.
	ForecastMargin float64
	// OnDemandShare is the part of the planned load that on-demand VMs carry, so that a
	// wave of reclaims over all domains leaves some capacity.
	OnDemandShare float64
	// ScaleInWindow is how long load must stay lower before VMs are stopped.
	ScaleInWindow time.Duration
	// MinAge is the least age at which a VM is replaced by a cheaper one.
	MinAge time.Duration
	// StoreRate is the weight store's rate limit in bytes/s; zero for none.
	StoreRate float64
}

// Result is the platform's answer to a start order.
type Result struct {
	OrderID string
	Refused bool
}

// Backoff keeps an offer out of use after refused starts.
type Backoff struct {
	Offer    Offer
	Until    time.Time
	Failures int
}

// Memory is what one Plan hands to the next. A new leader may begin with an
// empty one: order ids do not repeat, since they contain the fencing token.
type Memory struct {
	Sequence uint64
	// Pending holds start orders whose VM is not listed yet.
	Pending []Order
	Backoff []Backoff
	// StoreFree is the time at which the weight store has served all starts.
	StoreFree time.Time
}

// Inputs is everything that a plan depends on.
type Inputs struct {
	Rules   Rules
	Prices  []Price
	Pools   []Pool
	VMs     []VM
	Drained map[string]bool
	// Results holds the answers to orders since the last plan.
	Results []Result
	Memory  Memory
	// Lease is nil without a lease.
	Lease *Lease
	// Rand jitters the backoff.
	Rand *rand.Rand
}

// Action is what an order does.
type Action string

// Actions.
const (
	Start Action = "start"
	Stop  Action = "stop"
)

// Order is an instruction to the platform. Repeating it has no further effect.
type Order struct {
	ID      string
	Fencing uint64
	Action  Action
	Offer   Offer
	Pool    string
	// VM is the VM to stop, which is drained before.
	VM string
	// Sent is the time of the last submission.
	Sent time.Time
	Why  string
}

// PoolPlan says how one pool's capacity was planned.
type PoolPlan struct {
	Pool string
	// Load is the last load, Forecast the load expected at the end of a cold
	// start, and Need the load planned for.
	Load, Forecast, Need float64
	// Ready and Coming are the capacities of ready VMs without a notice, and of
	// those that start or are ordered. Surviving is what both leave after the loss
	// of the largest failure domain.
	Ready, Coming, Surviving float64
	// Chosen is the cost per hour of the plan, including the expected cost of
	// reclaims, and Other that of the best plan that lost.
	Chosen, Other float64
	Placement     string
	Lost          string
	// Waiting lists what delays starts.
	Waiting []string
}

// Decision is the outcome of a plan.
type Decision struct {
	Orders []Order
	Pools  []PoolPlan
	// Refused says why no orders were given at all; empty otherwise.
	Refused string
	Memory  Memory
}
