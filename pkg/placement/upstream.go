// Package placement decides which upstream a request goes to, from what one entry
// node knows: the statuses that upstreams report, the requests that this node and
// the others have open there, and the outcomes of earlier requests. It does no I/O
// and reads no clock.
package placement

import "time"

// Upstream is what a node knows of one upstream.
type Upstream struct {
	ID      string
	Address string // host and port
	Domain  string // failure domain
	Service string
	// Version is the version of the upstream's software.
	Version string
	// Born is the Unix time of its start in milliseconds; it tells two starts under one
	// ID apart.
	Born int64
	// Slots is how many requests it runs at a time; more wait in its queue.
	Slots int
	// Cold is until when it tolerates only ColdRate requests a second.
	Cold time.Time
	// Leaving is true once it has announced its shutdown; it gets no new requests.
	Leaving bool

	// Open counts the requests of this node that are open there.
	Open int
	// Others counts those of other nodes, as the leader last told.
	Others int
	// OthersPending is the number of prompt tokens of other nodes' requests without a
	// first event, as the leader last told.
	OthersPending int
	// OthersAt is when that was told.
	OthersAt time.Time
	// Pending is the number of prompt tokens that this node has sent there and that
	// have not led to a first event yet.
	Pending int
	// Reported is the number of running and waiting requests that its last answer told.
	Reported int
	// ReportedAt is when that answer came.
	ReportedAt time.Time
	// Since counts this node's requests there since ReportedAt.
	Since int

	health Health
	cold   coldShare
	idHash uint64 // of ID; zero until it is needed
}

// reportLife is how long a reported load is used. Requests last a few seconds, so an
// older report says little.
const reportLife = 800 * time.Millisecond

// Load estimates the requests that run or wait on the upstream.
func (u *Upstream) Load(now time.Time) int {
	load := u.Open + u.Others
	if now.Sub(u.ReportedAt) < reportLife {
		load = max(load, u.Reported+u.Since)
	}
	return load
}

// waiting estimates the prompt tokens that wait on the upstream. What others had there
// is read meanwhile.
func (u *Upstream) waiting(now time.Time) float64 {
	read := promptRate * float64(now.Sub(u.OthersAt).Milliseconds())
	return float64(u.Pending) + max(0, float64(u.OthersPending)-read)
}

// Sent notes that a request with this many prompt tokens goes to the upstream.
func (u *Upstream) Sent(prompt int) {
	u.Open++
	u.Since++
	u.Pending += prompt
}

// Began notes that a request that was sent has produced its first output, or has
// ended without any.
func (u *Upstream) Began(prompt int) { u.Pending = max(0, u.Pending-prompt) }

// Ended notes that a request is not open any more.
func (u *Upstream) Ended() { u.Open = max(0, u.Open-1) }

// Told notes the load that an answer of the upstream reported.
func (u *Upstream) Told(now time.Time, running, waiting int) {
	u.Reported, u.ReportedAt, u.Since = running+waiting, now, 0
}
