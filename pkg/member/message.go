package member

import "time"

// Kind is the kind of a message.
type Kind uint8

// Kinds of messages.
const (
	// Ping probes a node, which replies with an Ack.
	Ping Kind = iota + 1
	// Ack replies to a Ping. It also replies to a PingRequest once the target has replied
	// to the helper.
	Ack
	// PingRequest asks a helper to ping Target (an indirect probe).
	PingRequest
	// Nack replies to a PingRequest when the helper got no Ack from Target in time. It
	// shows that the requester can reach the helper.
	Nack
)

// Message is one message between two nodes.
type Message struct {
	Kind Kind   `json:"kind"`
	From string `json:"from"`
	To   string `json:"to"`
	// Target is the node that the probe is about.
	Target string `json:"target"`
	// Sequence is chosen by the sender of a Ping or PingRequest and repeated in replies.
	Sequence uint64 `json:"sequence"`
	// Incarnation is the incarnation of Target; it is set in an Ack.
	Incarnation Incarnation `json:"incarnation,omitzero"`
	// Updates holds piggybacked state updates, at most maxUpdatesPerMessage.
	Updates []Update `json:"updates,omitempty"`
}

// Incarnation orders the updates about one node.
type Incarnation struct {
	// Start increases with each start of the process.
	Start uint64 `json:"start"`
	// Refutations increases each time the process refutes a suspicion.
	Refutations uint64 `json:"refuted,omitempty"`
}

// Less reports whether i is older than o.
func (i Incarnation) Less(o Incarnation) bool {
	return i.Start < o.Start || i.Start == o.Start && i.Refutations < o.Refutations
}

// Update reports the state of one node. Updates are disseminated on other messages.
type Update struct {
	Node        string      `json:"node"`
	State       State       `json:"state"`
	Incarnation Incarnation `json:"incarnation"`
}

// State is the state of another node as seen by this node.
type State uint8

// States of nodes.
const (
	// Alive nodes reply in time.
	Alive State = iota
	// Slow nodes reply, but after Config.ProbeTimeout.
	Slow
	// Partitioned nodes reply to helpers, but not to this node.
	Partitioned
	// Suspect nodes reply neither to this node nor to its helpers.
	Suspect
	// Dead nodes were suspect for Config.SuspicionTimeout and did not refute it.
	Dead
)

// String returns the form used in logs.
func (s State) String() string {
	return [...]string{"alive", "slow", "partitioned", "suspect", "dead"}[s]
}

// Event is an input of Step. The zero Event only advances the time.
type Event struct {
	// Message is a received message, or nil.
	Message *Message
	// Members is the new set of nodes when ReplaceMembers is true. It may contain this
	// node, which is skipped.
	Members        []string
	ReplaceMembers bool
}

// Action is an output of Step: a message to send or a state change to handle.
type Action struct {
	Send   *Message
	Change *Change
}

// Change reports that the state of a node changed, or that this node became isolated or
// rejoined.
type Change struct {
	Node     string
	Old, New State
	// Isolated is true when this node has become partitioned from most nodes, and Rejoined
	// when it no longer is. In both cases Node is this node. An isolated node declares no
	// node dead.
	Isolated bool
	Rejoined bool
}

// Config holds the settings of a Detector.
type Config struct {
	Self string
	// Start is Incarnation.Start of this process.
	Start uint64
	// ProbePeriod is the interval between probes.
	ProbePeriod time.Duration
	// ProbeTimeout is the time after which a direct probe counts as unanswered and helpers
	// get a PingRequest. It is at most a third of ProbePeriod, so that they have time to
	// reply.
	ProbeTimeout time.Duration
	// Helpers is the number of nodes that send indirect probes to an unresponsive node.
	Helpers int
	// SuspicionTimeout is how long a node is suspect before it is declared dead.
	SuspicionTimeout time.Duration
}

// DefaultConfig returns the settings for nodes in one region.
func DefaultConfig(self string, start uint64) Config {
	return Config{
		Self: self, Start: start, ProbePeriod: time.Second, ProbeTimeout: 250 * time.Millisecond, Helpers: 3, SuspicionTimeout: 4 * time.Second,
	}
}
