package capacity

import "time"

// Size is the size that the system is planned for.
type Size struct {
	Nodes     float64
	Upstreams float64
	// Cell is the number of nodes that share upstreams.
	Cell float64
	// Requests and Tokens are per second, at the peak.
	Requests float64
	Tokens   float64
	// Changes are configuration changes a day.
	Changes float64
	// Restarts are VM failures, restarts and replacements a day.
	Restarts float64
	// Bookings is the share of requests that run at most once.
	Bookings float64
	// Heartbeat is the interval of an upstream's announcements.
	Heartbeat time.Duration
	// OpenStreams is the number of streams that a node has open at the peak.
	OpenStreams float64
	// Voters is the number of voters in a group.
	Voters float64
}

// FullSize is the size of the users' two-year plan.
var FullSize = Size{
	Nodes: 330, Upstreams: 12000, Cell: 8, Requests: 60000, Tokens: 13e6, Changes: 12000, Restarts: 140 + 2100,
	Bookings: 0.05, Heartbeat: 5 * time.Second, OpenStreams: 2000, Voters: 5,
}

// Today is the size of the two present deployments.
var Today = Size{
	Nodes: 8, Upstreams: 16, Cell: 8, Requests: 100, Tokens: 5000, Changes: 50, Restarts: 20,
	Bookings: 0.2, Heartbeat: time.Second, OpenStreams: 50, Voters: 3,
}

// Budget is what one node may spend on control.
type Budget struct {
	// Core is a share of one core.
	Core float64
	// Memory is in bytes.
	Memory float64
	// Network is in bytes per second, in each direction.
	Network float64
}

// FullBudget is the budget of the users' two-year plan.
var FullBudget = Budget{Core: 0.049, Memory: 256e6, Network: 5e3}

// secondsPerDay converts daily rates.
const secondsPerDay = 24 * 60 * 60
