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
	// StartMillis is the Unix time of its start in milliseconds; it tells two starts under one
	// ID apart.
	StartMillis int64
	// Slots is how many requests it runs at a time; more wait in its queue.
	Slots int
	// ColdUntil is until when it tolerates only ColdRate requests a second.
	ColdUntil time.Time
	// Leaving is true once it has announced its shutdown; it gets no new requests.
	Leaving bool

	// Open counts the requests of this node that are open there.
	Open int
	// OtherNodesOpen counts those of other nodes, as the leader last told.
	OtherNodesOpen int
	// OtherNodesPendingTokens is the number of prompt tokens of other nodes' requests without a
	// first event, as the leader last told.
	OtherNodesPendingTokens int
	// OtherNodesAt is when that was told.
	OtherNodesAt time.Time
	// PendingTokens is the number of prompt tokens that this node has sent there and that
	// have not led to a first event yet.
	PendingTokens int
	// ReportedLoad is the number of running and waiting requests that its last answer told.
	ReportedLoad int
	// ReportedAt is when that answer came.
	ReportedAt time.Time
	// SentSinceReport counts this node's requests there since ReportedAt.
	SentSinceReport int

	health Health
	cold   coldPacer
	idHash uint64 // of ID; zero until it is needed
}

// reportTTL is how long a reported load is used. Requests last a few seconds, so an
// older report says little.
const reportTTL = 800 * time.Millisecond

// Load estimates the requests that run or wait on the upstream.
func (u *Upstream) Load(now time.Time) int {
	load := u.Open + u.OtherNodesOpen
	if now.Sub(u.ReportedAt) < reportTTL {
		load = max(load, u.ReportedLoad+u.SentSinceReport)
	}
	return load
}

// waitingTokens estimates the prompt tokens that wait on the upstream. What others had there
// is read meanwhile.
func (u *Upstream) waitingTokens(now time.Time) float64 {
	processed := promptTokensPerMs * float64(now.Sub(u.OtherNodesAt).Milliseconds())
	return float64(u.PendingTokens) + max(0, float64(u.OtherNodesPendingTokens)-processed)
}

// RecordSend notes that a request with this many prompt tokens goes to the upstream.
func (u *Upstream) RecordSend(promptTokens int) {
	u.Open++
	u.SentSinceReport++
	u.PendingTokens += promptTokens
}

// RecordResponseStart notes that a request that was sent has produced its first output, or has
// ended without any.
func (u *Upstream) RecordResponseStart(promptTokens int) {
	u.PendingTokens = max(0, u.PendingTokens-promptTokens)
}

// RecordEnd notes that a request is not open any more.
func (u *Upstream) RecordEnd() { u.Open = max(0, u.Open-1) }

// ApplyReport notes the load that an answer of the upstream reported.
func (u *Upstream) ApplyReport(now time.Time, running, waiting int) {
	u.ReportedLoad, u.ReportedAt, u.SentSinceReport = running+waiting, now, 0
}
