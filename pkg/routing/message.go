package routing

import "time"

// Default lengths of the slot protocol.
const (
	// GrantTTL is the longest life of a grant. It is 2 s less the drift bound, so
	// that a grant ends within 2 s on a clock that runs 5% slow.
	GrantTTL = 1900 * time.Millisecond
	// SessionTTL is the length of a node's session lease with the leader.
	SessionTTL = 2 * time.Second
	// Drift is the largest ratio between the rates of two machines' clocks.
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
	// Epoch is the newest view version that the node follows for this upstream. It
	// accepts no grant of another owner from an older view.
	Epoch uint64 `json:"epoch"`
	// Running is the number of the node's open requests on the upstream.
	Running int `json:"running"`
	// MinRunning is the least number of open requests since the previous report.
	MinRunning int `json:"low,omitempty"`
	// RequestedSlots is the number of slots that the node could use now, Running included.
	RequestedSlots int `json:"want"`
	// PrefillTokens is the number of tokens of long prompts that the node has sent and
	// whose first token has not come yet.
	PrefillTokens int `json:"prefill,omitempty"`
	// Isolated is true while the node wants the upstream for one request only, with no
	// other request running there.
	Isolated bool `json:"alone,omitempty"`
	// OwnerIncarnation, Applied and Echo acknowledge grants: the incarnation of the owner that
	// sent the last applied grant, its number, and the newest stamp seen.
	OwnerIncarnation uint64        `json:"start,omitempty"`
	Applied          uint64        `json:"applied,omitempty"`
	Echo             time.Duration `json:"echo,omitempty"`
	// Evidence holds the outcomes of the newest generation, so that a lost report
	// loses none.
	Evidence Evidence `json:"evidence,omitzero"`
	// Hint is the last limit that the node was told, for an owner that takes over.
	Hint Hint `json:"hint,omitzero"`
}

// Evidence is what a node saw of an upstream's answers.
type Evidence struct {
	// Generation is that of the limit under which the counted requests started.
	Generation uint64 `json:"generation,omitempty"`
	// Good counts first tokens that came in time, of requests that started while the
	// node used all its slots.
	Good int `json:"good,omitempty"`
	// Slow counts answers whose first token came after its target.
	Slow int `json:"slow,omitempty"`
	// Cold is true when the upstream failed or showed that it is cold.
	Cold bool `json:"cold,omitempty"`
}

// Hint is a limit that an owner had learned.
type Hint struct {
	Epoch  uint64 `json:"epoch,omitempty"`
	Number uint64 `json:"number,omitempty"`
	// Incarnation is that of the upstream.
	Incarnation uint64 `json:"incarnation,omitempty"`
	Limit       int    `json:"limit,omitempty"`
	// Cold is true when the node saw the upstream cold since then.
	Cold bool `json:"cold,omitempty"`
}

// Grant lets one node run up to Slots requests at once on one upstream.
type Grant struct {
	Upstream string `json:"upstream"`
	// To and Owner are names of nodes.
	To    string `json:"to"`
	Owner string `json:"owner"`
	// OwnerIncarnation is the owner's incarnation.
	OwnerIncarnation uint64 `json:"start"`
	// Epoch is the owner's view version and Number grows with each grant of the
	// owner; a node never applies a grant that is older than the last one.
	Epoch  uint64 `json:"epoch"`
	Number uint64 `json:"number"`
	// Sequence names the node's report from whose sending TTL is measured; zero when
	// the owner has no report yet, in which case Slots is zero.
	Sequence uint64        `json:"sequence,omitempty"`
	TTL      time.Duration `json:"ttl,omitempty"`
	Slots    int           `json:"slots"`
	// Isolated is true when no other node has requests on the upstream, nor slots.
	Isolated bool `json:"alone,omitempty"`
	// Stamp is the owner's clock at sending, echoed by the node.
	Stamp time.Duration `json:"stamp"`
	// RequestReport is true when the owner needs a report before it can grant.
	RequestReport bool `json:"ask,omitempty"`
	// Incarnation is that of the upstream.
	Incarnation uint64 `json:"incarnation,omitempty"`
	// Limit is the learned limit, zero while the owner may not grant; Generation
	// grows whenever the learned limit changes.
	Limit      int    `json:"limit,omitempty"`
	Generation uint64 `json:"generation,omitempty"`
	// PrefillTokens is the number of long-prompt tokens in flight from other nodes.
	PrefillTokens int `json:"prefill,omitempty"`
}
