package fleet

import (
	"math/rand/v2"
	"time"
)

// Offer is a class of VM that the platform sells in one failure domain, either
// reclaimable or on demand.
type Offer struct {
	Class       string
	Domain      string
	Reclaimable bool
}

// Price is the current price of an offer.
type Price struct {
	Offer Offer
	// PerHour is the price of one VM for one hour; it is above zero.
	PerHour float64
	// ReclaimRate is the expected number of reclaims per VM and hour, based on history.
	ReclaimRate float64
}

// Sample is one measurement of a pool's load.
type Sample struct {
	Time time.Time
	// Load is in tokens/s, or requests/s for plain services.
	Load float64
}

// Pool is a group of interchangeable upstreams that is scaled as a unit.
type Pool struct {
	Name    string
	Service string
	Model   string
	Adapter string
	Version string
	Role    string
	// Priority is the order in which pools are planned when starts are limited, such as
	// by the weight store's rate. Lower values come first.
	Priority int
	// Samples holds the recent load, oldest first, over at least Rules.ScaleInWindow.
	Samples []Sample
	// Capacity is the load that a VM of each class can serve within the latency target.
	// Classes that are not listed cannot run the pool.
	Capacity map[string]float64
	// ColdStart is the time from a start order until the VM has its full capacity.
	ColdStart time.Duration
	// WeightBytes is the number of bytes that a start loads from the weight store.
	WeightBytes float64
	// MinLoad is a lower bound of the load to plan for. During a rollout, it keeps the
	// capacity of the old version.
	MinLoad float64
	// RecomputeSeconds is the work that other VMs have to repeat after a reclaim, in
	// seconds of the reclaimed VM's full capacity.
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

// VM is an entry of the platform's list of VMs.
type VM struct {
	ID      string
	OrderID string
	Offer   Offer
	Pool    string
	State   State
	Since   time.Time
	// PricePerHour is the price at which the VM is billed.
	PricePerHour float64
	// ReclaimAt is the time at which the platform reclaims the VM; zero without a
	// reclaim notice.
	ReclaimAt time.Time
}

// Lease is the exclusive right to submit orders to the platform.
type Lease struct {
	// Token is the fencing token that each order carries.
	Token   uint64
	Expires time.Time
}

// Rules holds the scaling rules of a deployment.
type Rules struct {
	// Headroom is the fraction of the planned load that the remaining capacity must
	// serve after the loss of the failure domain with the most capacity; usually 1.
	Headroom float64
	// ForecastMargin is the factor by which the forecast is multiplied.
	ForecastMargin float64
	// OnDemandShare is the fraction of the planned load that on-demand VMs must be able
	// to serve. That capacity survives a wave of reclaims in all failure domains.
	OnDemandShare float64
	// ScaleInWindow is how long the load must have stayed lower before VMs are stopped.
	ScaleInWindow time.Duration
	// MinAge is the minimum age of a VM that may be replaced by a cheaper one.
	MinAge time.Duration
	// StoreRate is the weight store's rate limit in bytes/s; zero for no limit.
	StoreRate float64
}

// Result is the platform's response to a start order.
type Result struct {
	OrderID string
	Refused bool
}

// Backoff excludes an offer from new orders after refused starts.
type Backoff struct {
	Offer    Offer
	Until    time.Time
	Failures int
}

// Memory is the state that one call of Plan passes to the next. A new leader may start
// with the zero value: order IDs stay unique, because they contain the fencing token.
type Memory struct {
	Sequence uint64
	// Pending holds the start orders whose VM the platform does not list yet.
	Pending []Order
	Backoff []Backoff
	// StoreFree is the time by which the weight store will have served all ordered
	// starts.
	StoreFree time.Time
}

// Inputs holds everything that a plan depends on, except the time.
type Inputs struct {
	Rules   Rules
	Prices  []Price
	Pools   []Pool
	VMs     []VM
	Drained map[string]bool
	// Results holds the platform's responses since the last plan.
	Results []Result
	Memory  Memory
	// Lease is nil when no lease is held.
	Lease *Lease
	// Rand is the source of the backoff's jitter.
	Rand *rand.Rand
}

// Action is the kind of an order.
type Action string

// Actions.
const (
	Start Action = "start"
	Stop  Action = "stop"
)

// Order is an order to the platform to start or stop a VM. It is idempotent: the
// platform recognizes a resent order by its ID.
type Order struct {
	ID      string
	Fencing uint64
	Action  Action
	Offer   Offer
	Pool    string
	// VM is the VM to stop. It is drained first.
	VM string
	// Sent is the time at which the order was last submitted.
	Sent time.Time
	Why  string
}

// PoolPlan describes the plan for one pool.
type PoolPlan struct {
	Pool string
	// Load is the current load, Forecast the load expected at the end of a cold start,
	// and Need the load to provide capacity for.
	Load, Forecast, Need float64
	// Ready is the capacity of the ready VMs without a reclaim notice, and Coming that of
	// the VMs that are starting or ordered. Surviving is the part of both that remains
	// after the loss of the failure domain with the most capacity.
	Ready, Coming, Surviving float64
	// Chosen is the cost per hour of the chosen placement as it was compared with others,
	// and Other that of the second-best one. Both include the expected cost of reclaims;
	// VMs that the platform lists or that are ordered count at a reduced cost or at zero.
	// Placement and Lost describe these two placements.
	Chosen, Other float64
	Placement     string
	Lost          string
	// Waiting lists the reasons why starts are delayed.
	Waiting []string
}

// Decision is the result of Plan.
type Decision struct {
	Orders []Order
	Pools  []PoolPlan
	// Refused is the reason why nothing was planned; empty otherwise.
	Refused string
	Memory  Memory
}
