package capacity

import (
	"github.com/jaystage/jaystage/pkg/routing"
)

// Size is the size that the system is planned for.
type Size struct {
	Name      string
	Nodes     float64
	Upstreams float64
	// Cell is the number of nodes that share upstreams.
	Cell float64
	// Requests and Tokens are per second, at the peak.
	Requests float64
	Tokens   float64
	// Changes are configuration changes a day.
	Changes float64
	// Restarts are VM failures, restarts and replacements a day, of nodes and
	// upstreams together.
	Restarts float64
	// Domains and Regions are the numbers of failure domains and of regions.
	Domains float64
	Regions float64
	// Voters is the number of voters in a group.
	Voters float64
	// Entries is the number of entries in the key space besides those of the nodes:
	// client accounts, services, failure domains, drains and rollouts.
	Entries float64
	// Bookings is the share of requests that run at most once.
	Bookings float64
	// Streams is the number of streams that a node has open at the peak.
	Streams float64
	// Rollouts run at the same time; a node counts Keys outcomes for each.
	Rollouts float64
	Keys     float64
	// Screens are operators that list upstreams every ten seconds.
	Screens float64
}

// FullSize is the size of the users' two-year plan. Entries, Bookings, Streams,
// Rollouts, Keys and Screens are assumptions of ours. Streams follows from 217
// tokens a request at 51 ms each.
var FullSize = Size{
	Name: "full", Nodes: 330, Upstreams: 12000, Cell: 8, Requests: 60000, Tokens: 13e6, Changes: 12000, Restarts: 140 + 2100,
	Domains: 14, Regions: 4, Voters: 5, Entries: 670, Bookings: 0.05, Streams: 2000, Rollouts: 2, Keys: 16, Screens: 10,
}

// TodaySize is the size of one of the two present deployments; all but the numbers of
// nodes, upstreams, voters and failure domains are assumptions of ours.
var TodaySize = Size{
	Name: "today", Nodes: 8, Upstreams: 16, Cell: 8, Requests: 100, Tokens: 5000, Changes: 50, Restarts: 20,
	Domains: 4, Regions: 1, Voters: 3, Entries: 30, Bookings: 0.2, Streams: 50, Rollouts: 1, Keys: 16, Screens: 2,
}

// Budget is what one node may spend on control.
type Budget struct {
	// Core is a share of one core.
	Core float64 `json:"core"`
	// Memory is in bytes.
	Memory float64 `json:"memory"`
	// Network is in bytes per second, in each direction.
	Network float64 `json:"network"`
}

// NodeBudget is the budget of a node in the users' two-year plan.
var NodeBudget = Budget{Core: 0.049, Memory: 256e6, Network: 5e3}

// maxControlVMs is the number of VMs that may be set aside for control.
const maxControlVMs = 17

const (
	secondsPerDay = 24 * 60 * 60
	// Intervals and rates that the code uses; see the packages that are named.
	renewInterval          = 0.5    // internal/replica
	pingInterval           = 0.4    // internal/peer
	groupHeartbeatInterval = 0.0625 // pkg/raft: an eighth of the election timeout
	rolloutReportInterval  = 0.5    // internal/rollouts
	slotReportInterval     = 0.475  // pkg/routing: reports on an upstream in use
	slotTicksPerSecond     = 200    // internal/caller: ticks of the slots
	// Intervals of parts that no node runs yet.
	fleetPlanInterval     = 10.0
	screenRefreshInterval = 10.0
	// batch is the number of commands that share a log message under load, as in the
	// benchmark of pkg/raft.
	commandsPerMessage = 16
	vmCores            = 4.0
	maxVMUtilization   = 0.5
	maxLoopUtilization = 0.5   // share of a core that the loop of a consensus group may use
	linkBytesPerSecond = 125e6 // bytes per second of a network of 1 Gbit/s
)

// perCell is the number of upstreams of a cell, perNode that of an owner.
func (z Size) perCell() float64 { return z.Upstreams * z.Cell / z.Nodes }
func (z Size) perNode() float64 { return z.Upstreams / z.Nodes }

// heartbeat is the interval in seconds that an owner asks for.
func (z Size) requestedHeartbeatInterval() float64 {
	policy := routing.DefaultPolicy()
	return max(policy.MinHeartbeatInterval.Seconds(), z.perNode()*float64(policy.HeartbeatBytes)/float64(policy.HeartbeatBytesPerSecond))
}

// nodeRestarts is the part of the daily restarts that hits nodes.
func (z Size) nodeRestarts() float64 { return z.Restarts * z.Nodes / (z.Nodes + z.Upstreams) }

// changes are the commands a second that change the key space: those of operators,
// and the end and the start of a session for each restart of a node.
func (z Size) changes() float64 { return (z.Changes + 2*z.nodeRestarts()) / secondsPerDay }

// keySpace is the number of entries in the key space.
func (z Size) keySpace() float64 { return z.Nodes + z.Entries }

// bookings are per second, over all nodes.
func (z Size) bookings() float64 { return z.Requests * z.Bookings }
