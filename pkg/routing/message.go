package routing

import "time"

// Durations of the slot protocol.
const (
	// GrantTTL is the longest duration of a grant. It is 2 s less the drift bound,
	// so that a grant ends within 2 s on a clock that runs 5% slow.
	GrantTTL = 1900 * time.Millisecond
	// SessionTTL is the duration of a node's session lease with the leader.
	SessionTTL = 2 * time.Second
	// MaxClockRateRatio is the largest ratio between the clock rates of two
	// machines.
	MaxClockRateRatio = 1.05
)

// Demand is a node's report on one upstream to the upstream's owner.
type Demand struct {
	Upstream string `json:"upstream"`
	Node     string `json:"node"`
	// Incarnation and Sequence order the reports of one node; older ones are
	// ignored.
	Incarnation uint64 `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
	// Epoch is the newest view version that the node follows for this upstream. The
	// node applies no grant of an older view.
	Epoch uint64 `json:"epoch"`
	// Running is the number of the node's open requests on the upstream.
	Running int `json:"running"`
	// MinRunning is the minimum number of open requests since the previous report.
	MinRunning int `json:"low,omitempty"`
	// RequestedSlots is the number of slots that the node could use now, including
	// Running.
	RequestedSlots int `json:"want"`
	// PrefillTokens is the number of tokens of long prompts that the node has sent
	// and whose first token has not arrived yet.
	PrefillTokens int `json:"prefill,omitempty"`
	// Isolated is true while the node requests the upstream for a single request,
	// with no other request running there.
	Isolated bool `json:"alone,omitempty"`
	// OwnerIncarnation, Applied and Echo acknowledge grants: the incarnation of the
	// owner that sent the last applied grant, that grant's number, and the newest
	// stamp received.
	OwnerIncarnation uint64        `json:"start,omitempty"`
	Applied          uint64        `json:"applied,omitempty"`
	Echo             time.Duration `json:"echo,omitempty"`
	// Evidence counts all outcomes since the newest generation started, so that no
	// outcome is lost with a lost report.
	Evidence Evidence `json:"evidence,omitzero"`
	// Hint is the last limit that the node received, for an owner that takes over.
	Hint Hint `json:"hint,omitzero"`
}

// Evidence counts the outcomes of a node's requests to an upstream.
type Evidence struct {
	// Generation is the generation of the limit under which the counted requests
	// started.
	Generation uint64 `json:"generation,omitempty"`
	// Good counts the requests that took the node's last free slot and whose first
	// token met its target.
	Good int `json:"good,omitempty"`
	// Slow counts the requests whose first token missed its target.
	Slow int `json:"slow,omitempty"`
	// Cold is true if the node found the upstream cold or failing.
	Cold bool `json:"cold,omitempty"`
}

// Hint is a limit that a previous owner had estimated.
type Hint struct {
	Epoch  uint64 `json:"epoch,omitempty"`
	Number uint64 `json:"number,omitempty"`
	// Incarnation is the upstream's incarnation.
	Incarnation uint64 `json:"incarnation,omitempty"`
	Limit       int    `json:"limit,omitempty"`
	// Cold is true if the node has found the upstream cold or failing since then.
	Cold bool `json:"cold,omitempty"`
}

// Grant allows one node to run up to Slots concurrent requests on one upstream.
type Grant struct {
	Upstream string `json:"upstream"`
	// To and Owner are node names.
	To    string `json:"to"`
	Owner string `json:"owner"`
	// OwnerIncarnation is the incarnation of the owner's process.
	OwnerIncarnation uint64 `json:"start"`
	// Epoch is the owner's view version, and Number increases with each grant of
	// the owner. A node never applies a grant that is older than the last one.
	Epoch  uint64 `json:"epoch"`
	Number uint64 `json:"number"`
	// Sequence is the sequence number of the node's report that the grant answers;
	// TTL counts from the time at which that report was sent. It is zero if the
	// owner has no report yet, in which case Slots is zero too.
	Sequence uint64        `json:"sequence,omitempty"`
	TTL      time.Duration `json:"ttl,omitempty"`
	Slots    int           `json:"slots"`
	// Isolated is true if the slot is for an isolated request: no other node has
	// open requests or slots on the upstream.
	Isolated bool `json:"alone,omitempty"`
	// Stamp is the time of sending on the owner's clock, counted from the owner's
	// start; the node echoes it.
	Stamp time.Duration `json:"stamp"`
	// RequestReport is true if the owner needs a report before it can grant.
	RequestReport bool `json:"ask,omitempty"`
	// Incarnation is the upstream's incarnation.
	Incarnation uint64 `json:"incarnation,omitempty"`
	// Limit is the estimated limit, or zero while the owner must not grant.
	// Generation increases whenever the estimated limit changes.
	Limit      int    `json:"limit,omitempty"`
	Generation uint64 `json:"generation,omitempty"`
	// PrefillTokens is the number of tokens of long prompts in prefill from other
	// nodes.
	PrefillTokens int `json:"prefill,omitempty"`
}
