package member

import "time"

// Kind is the kind of a message.
type Kind uint8

// Kinds of messages.
const (
	// Ping asks for an Ack.
	Ping Kind = iota + 1
	// Ack answers a Ping, or a Request once the target has answered the helper.
	Ack
	// Request asks a helper to ping Target.
	PingRequest
	// Nack tells that the helper works but got no answer from Target in time.
	Nack
)

// Message is one message between two nodes.
type Message struct {
	Kind Kind   `json:"kind"`
	From string `json:"from"`
	To   string `json:"to"`
	// Target is the node whose state is asked for or answered.
	Target string `json:"target"`
	// Sequence is chosen by the sender of a Ping or Request and repeated in answers.
	Sequence uint64 `json:"sequence"`
	// Incarnation is that of Target in an Ack.
	Incarnation Incarnation `json:"incarnation,omitzero"`
	// Updates holds news of other nodes, at most maxUpdates.
	Updates []Update `json:"updates,omitempty"`
}

// Incarnation orders what is said of one node.
type Incarnation struct {
	// Start grows at each start of the process.
	Start uint64 `json:"start"`
	// Refuted grows each time that the process refutes a suspicion.
	Refutations uint64 `json:"refuted,omitempty"`
}

// Less tells whether i is older than o.
func (i Incarnation) Less(o Incarnation) bool {
	return i.Start < o.Start || i.Start == o.Start && i.Refutations < o.Refutations
}

// Update is news of one node.
type Update struct {
	Node        string      `json:"node"`
	State       State       `json:"state"`
	Incarnation Incarnation `json:"incarnation"`
}

// State is what this node believes of another one.
type State uint8

// States of nodes.
const (
	// Alive nodes answer in time.
	Alive State = iota
	// Slow nodes answer, but later than the timeout.
	Slow
	// Partitioned nodes answer other nodes, but not this one.
	Partitioned
	// Suspect nodes answer neither this node nor its helpers.
	Suspect
	// Dead nodes have been suspect for Config.Confirm and did not refute it.
	Dead
)

// String returns the form used in logs.
func (s State) String() string {
	return [...]string{"alive", "slow", "partitioned", "suspect", "dead"}[s]
}

// Event is an input of Step. The zero Event tells only the time.
type Event struct {
	// Message is a received message, or nil.
	Message *Message
	// Members replaces the set of other nodes when Replace is true.
	Members        []string
	ReplaceMembers bool
}

// Action is an output of Step: a message to send, or a change of state to act on.
type Action struct {
	Send   *Message
	Change *Change
}

// Change tells that the state of a node, or of this node's own connection, changed.
type Change struct {
	Node     string
	Old, New State
	// Isolated is true when this node found itself cut off from most nodes, and
	// Joined when that is over. Node is then this node. An isolated node declares no
	// node dead.
	Isolated bool
	Rejoined bool
}

// Config holds the settings of a Detector.
type Config struct {
	Self string
	// Start is this process's incarnation.
	Start uint64
	// Period is the time from one probe to the next.
	ProbePeriod time.Duration
	// Timeout is when a direct probe counts as unanswered, at most a third of Period.
	ProbeTimeout time.Duration
	// Helpers is the number of nodes asked to probe a silent one.
	Helpers int
	// Confirm is how long a node is suspect before it is declared dead.
	SuspicionTimeout time.Duration
}

// DefaultConfig returns the settings for nodes of one region.
func DefaultConfig(self string, start uint64) Config {
	return Config{
		Self: self, Start: start, ProbePeriod: time.Second, ProbeTimeout: 250 * time.Millisecond, Helpers: 3, SuspicionTimeout: 4 * time.Second,
	}
}
