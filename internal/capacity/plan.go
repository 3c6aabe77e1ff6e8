package capacity

import (
	"github.com/jaystage/jaystage/pkg/routing"
)

// Size is a size of the system to plan for. It is encoded to JSON under its field names.
type Size struct {
	Name      string
	Nodes     float64
	Upstreams float64
	// Cell is the number of nodes that share upstreams.
	Cell float64
	// Requests and Tokens are peak rates per second.
	Requests float64
	Tokens   float64
	// Changes is the number of configuration changes per day.
	Changes float64
	// Restarts is the number of VM failures, restarts and replacements per day, of nodes
	// and upstreams together.
	Restarts float64
	// Domains and Regions are the numbers of failure domains and of regions.
	Domains float64
	Regions float64
	// Voters is the number of voters in a consensus group.
	Voters float64
	// Entries is the number of entries in the key space besides those of the nodes:
	// client accounts, services, failure domains, drains and rollouts.
	Entries float64
	// Bookings is the fraction of requests that run at most once.
	Bookings float64
	// Streams is the peak number of open streams of a node.
	Streams float64
	// Rollouts is the number of concurrent rollouts, and Keys the number of keys (see
	// rollout.Key) for which a node reports counts in each of them.
	Rollouts float64
	Keys     float64
	// Screens is the number of operators that list the upstreams every ten seconds.
	Screens float64
}

// FullSize is the size of the users' two-year plan. Entries, Bookings, Streams,
// Rollouts, Keys and Screens are assumptions. Streams assumes that a
// response takes 217 tokens at 51 ms each.
var FullSize = Size{
	Name: "full", Nodes: 330, Upstreams: 12000, Cell: 8, Requests: 60000, Tokens: 13e6, Changes: 12000, Restarts: 140 + 2100,
	Domains: 14, Regions: 4, Voters: 5, Entries: 670, Bookings: 0.05, Streams: 2000, Rollouts: 2, Keys: 16, Screens: 10,
}

// TodaySize is the size of one of the two current deployments. All values except the
// numbers of nodes, upstreams, voters and failure domains are assumptions.
var TodaySize = Size{
	Name: "today", Nodes: 8, Upstreams: 16, Cell: 8, Requests: 100, Tokens: 5000, Changes: 50, Restarts: 20,
	Domains: 4, Regions: 1, Voters: 3, Entries: 30, Bookings: 0.2, Streams: 50, Rollouts: 1, Keys: 16, Screens: 2,
}

// Budget is what one node may spend on control.
type Budget struct {
	// Core is a fraction of one core.
	Core float64 `json:"core"`
	// Memory is in bytes.
	Memory float64 `json:"memory"`
	// Network is in bytes per second, in each direction.
	Network float64 `json:"network"`
}

// NodeBudget is the budget of a node in the users' two-year plan.
var NodeBudget = Budget{Core: 0.049, Memory: 256e6, Network: 5e3}

// maxControlVMs is the maximum number of VMs reserved for control.
const maxControlVMs = 17

const (
	secondsPerDay = 24 * 60 * 60
	// Intervals in seconds, and rates, that the code of the named packages uses.
	renewInterval          = 0.5    // internal/replica
	linkPingInterval       = 0.4    // internal/peer
	groupHeartbeatInterval = 0.0625 // pkg/raft: an eighth of the election timeout
	rolloutReportInterval  = 0.5    // internal/rollouts
	slotReportInterval     = 0.475  // pkg/routing: slot reports on an upstream in use
	slotTicksPerSecond     = 200    // internal/caller: slot ticks
	// Intervals in seconds of the fleet controller, which no node runs yet, and of
	// operators' screens.
	fleetPlanInterval     = 10.0
	screenRefreshInterval = 10.0
	// commandsPerMessage is the number of commands that share a log message under load,
	// as in the benchmark of pkg/raft.
	commandsPerMessage = 16
	vmCores            = 4.0
	maxVMUtilization   = 0.5
	maxLoopUtilization = 0.5   // fraction of a core that the loop of a consensus group may use
	linkBytesPerSecond = 125e6 // 1 Gbit/s network
)

// perCell is the number of upstreams per cell, and perNode the number per owner.
func (z Size) perCell() float64 { return z.Upstreams * z.Cell / z.Nodes }
func (z Size) perNode() float64 { return z.Upstreams / z.Nodes }

// requestedHeartbeatInterval is the interval in seconds that an owner requests of its
// upstreams.
func (z Size) requestedHeartbeatInterval() float64 {
	policy := routing.DefaultPolicy()
	return max(policy.MinHeartbeatInterval.Seconds(), z.perNode()*float64(policy.HeartbeatBytes)/float64(policy.HeartbeatBytesPerSecond))
}

// nodeRestarts is the number of daily restarts that affect nodes.
func (z Size) nodeRestarts() float64 { return z.Restarts * z.Nodes / (z.Nodes + z.Upstreams) }

// changes is the rate per second of commands that change the key space: changes by
// operators, and the end and the start of a session for each restart of a node.
func (z Size) changes() float64 { return (z.Changes + 2*z.nodeRestarts()) / secondsPerDay }

// keySpace is the number of entries in the key space.
func (z Size) keySpace() float64 { return z.Nodes + z.Entries }

// bookings is the number of bookings per second on all nodes.
func (z Size) bookings() float64 { return z.Requests * z.Bookings }
