// Package placement chooses the upstream for a request from the state that one entry
// node has: the statuses that upstreams report, the open requests of this and the
// other nodes, and the results of earlier requests. It does no I/O and reads no clock.
package placement

import "time"

// Upstream is the state of one upstream as a node sees it.
type Upstream struct {
	ID      string
	Address string // host and port
	Domain  string // failure domain
	Service string
	// Version is the version of the upstream's software.
	Version string
	// StartMillis is the Unix time of its start in milliseconds. It distinguishes two
	// starts with the same ID.
	StartMillis int64
	// Slots is how many requests it runs at a time; further ones wait in its queue.
	Slots int
	// ColdUntil is the time until which it accepts only Options.ColdRate requests per
	// second.
	ColdUntil time.Time
	// Leaving is true once it has announced its shutdown; it gets no new requests.
	Leaving bool

	// HoldUntil is the time until which it gets no requests, because it asked for that or is
	// brittle and turned one away.
	HoldUntil time.Time
	// BrittleLimit is the number of requests that it can turn away in a second without
	// falling over; zero if it is not brittle.
	BrittleLimit int
	// Open is the number of open requests that this node has sent to it.
	Open int
	// OtherNodesOpen is the number of open requests of the other nodes, as last reported
	// by the leader.
	OtherNodesOpen int
	// OtherNodesPendingTokens is PendingTokens of the other nodes together, as last
	// reported by the leader.
	OtherNodesPendingTokens int
	// OtherNodesAt is when that report of the leader arrived.
	OtherNodesAt time.Time
	// Streams is the number of this node's open streams there that have begun, and LongOpen
	// that of its open requests with a long prompt.
	Streams, LongOpen int
	// OtherNodesStreams and OtherNodesLong are those of the other nodes.
	OtherNodesStreams, OtherNodesLong int
	// PendingTokens is the number of uncached prompt tokens, as estimated by Choose, of
	// this node's requests that have not produced output yet.
	PendingTokens int
	// ReportedLoad is the number of running and waiting requests that it reported with its
	// last response.
	ReportedLoad int
	// ReportedAt is when that response arrived.
	ReportedAt time.Time
	// ReportedSlowness is how long work took on its machine at SlownessAt, as a multiple of
	// the usual time; zero if it did not tell. SlownessAt is not when the report arrived if
	// another node passed it on.
	ReportedSlowness float64
	SlownessAt       time.Time
	// SentSinceReport is the number of requests that this node has sent since ReportedAt.
	SentSinceReport int

	health Health
	cold   coldPacer
	own    nodeSlots
	idHash uint64 // hash of ID; zero until first use
}

// reportTTL is how long a reported load is used. Requests last a few seconds, so an
// older report is a poor estimate.
const reportTTL = 800 * time.Millisecond

// Load estimates the number of requests that run or wait on the upstream.
func (u *Upstream) Load(now time.Time) int {
	load := u.Open + u.OtherNodesOpen
	if now.Sub(u.ReportedAt) < reportTTL {
		load = max(load, u.ReportedLoad+u.SentSinceReport)
	}
	return load
}

// waitingTokens estimates the number of prompt tokens that the upstream still has to
// process. It assumes that since the last report of the leader, the upstream has
// processed tokens of the other nodes at the speed that its engine is known for.
func (u *Upstream) waitingTokens(now time.Time, o Options) float64 {
	perMs := promptTokensPerMs
	if o.Engine != nil {
		perMs = 1 / o.Engine.Costs().TokenMs
	}
	processed := perMs * float64(now.Sub(u.OtherNodesAt).Milliseconds())
	return float64(u.PendingTokens) + max(0, float64(u.OtherNodesPendingTokens)-processed)
}

// RecordSend records that a request with this many uncached prompt tokens is sent to
// the upstream.
func (u *Upstream) RecordSend(uncachedTokens int) {
	u.Open++
	u.SentSinceReport++
	u.PendingTokens += uncachedTokens
}

// RecordResponseStart records that a request has produced its first output or has ended
// without any. It takes the number that was passed to RecordSend.
func (u *Upstream) RecordResponseStart(uncachedTokens int) {
	u.PendingTokens = max(0, u.PendingTokens-uncachedTokens)
}

// RecordEnd records that a request is no longer open.
func (u *Upstream) RecordEnd() { u.Open = max(0, u.Open-1) }

// ApplyReport applies the load that the upstream reported with a response.
func (u *Upstream) ApplyReport(now time.Time, running, waiting int) {
	u.ReportedLoad, u.ReportedAt, u.SentSinceReport = running+waiting, now, 0
}
