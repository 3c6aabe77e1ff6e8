package rollout

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Amount is a number of requests and of tokens.
type Amount struct {
	Requests float64 `json:"requests"`
	Tokens   float64 `json:"tokens"`
}

// Usage is a node's report of one service's traffic to the leader. All amounts are
// totals since the node's process first saw the rollout.
type Usage struct {
	Rollout     string
	Node        string
	Incarnation uint64
	// Term is the highest leader term that the node has seen.
	Term uint64
	// Share is the share that the node currently applies.
	Share float64
	// Total counts all requests that the node admitted for the service.
	Total Amount
	// Granted is the node's current limit and Spent the part of it that is used.
	Granted, Spent Amount
}

// Grant limits the total amount that a node may send to the new version, counted
// since its process first saw the rollout. Since limits are totals, a duplicate or
// late grant changes nothing.
type Grant struct {
	Rollout     string
	Node        string
	Incarnation uint64
	Term        uint64
	Limit       Amount
}

// maxCreditRequests bounds the credit that is kept while no node needs it. The token
// credit is bounded by four times the tokens of that many average requests, so that it
// also suffices for long requests.
const maxCreditRequests = 64

// A node has at most baseUnspentRequests unspent permits plus those that it could use in
// maxUnspentReports report intervals. Without this bound, permits left from a time
// without upstreams would be spent in one burst.
const (
	baseUnspentRequests = 2
	maxUnspentReports   = 4
)

type nodeAllocation struct {
	usage Usage
	limit Amount
	// maxUnspent is the maximum number of unspent request permits.
	maxUnspent float64
}

// Allocator grants permits for the new version on the leader. The sum of all permits
// never exceeds the share times the traffic that nodes reported, for requests and for
// tokens. A new leader starts with an empty Allocator: permits of the previous leader
// stay valid, and traffic reported before the new term earns no further permits.
type Allocator struct {
	rollout  string
	term     uint64
	nodes    map[string]*nodeAllocation
	credit   Amount
	reported Amount
}

// NewAllocator returns an allocator for one leader term and rollout.
func NewAllocator(rollout string, term uint64) *Allocator {
	return &Allocator{rollout: rollout, term: term, nodes: make(map[string]*nodeAllocation)}
}

// AddUsage applies one node's usage report. The traffic since the node's previous report
// earns credit at the lower share of the two reports. The first report in this term or
// of a new incarnation earns nothing, since part of that traffic may have earned credit
// before.
func (a *Allocator) AddUsage(u Usage) {
	if u.Rollout != a.rollout || u.Term != a.term {
		return
	}
	n, ok := a.nodes[u.Node]
	if !ok || u.Incarnation > n.usage.Incarnation {
		a.nodes[u.Node] = &nodeAllocation{usage: u, limit: u.Granted, maxUnspent: baseUnspentRequests}
		return
	}
	if u.Incarnation < n.usage.Incarnation || u.Total.Requests < n.usage.Total.Requests ||
		u.Total.Tokens < n.usage.Total.Tokens {
		return
	}
	share := min(1, max(0, min(u.Share, n.usage.Share)))
	delta := Amount{u.Total.Requests - n.usage.Total.Requests, u.Total.Tokens - n.usage.Total.Tokens}
	u.Spent.Requests = max(u.Spent.Requests, n.usage.Spent.Requests)
	u.Spent.Tokens = max(u.Spent.Tokens, n.usage.Spent.Tokens)
	n.usage = u
	n.maxUnspent = baseUnspentRequests + maxUnspentReports*share*delta.Requests
	a.reported.Requests += delta.Requests
	a.reported.Tokens += delta.Tokens
	a.credit.Requests = min(a.credit.Requests+share*delta.Requests, maxCreditRequests+share*delta.Requests)
	if a.reported.Requests > 0 {
		mean := a.reported.Tokens / a.reported.Requests
		a.credit.Tokens = min(a.credit.Tokens+share*delta.Tokens, 4*maxCreditRequests*mean+share*delta.Tokens)
	}
}

// Grants divides the credit among the nodes and returns each node's limit. The node
// with the fewest unspent permits relative to its traffic is served first.
func (a *Allocator) Grants() []Grant {
	nodes := make([]*nodeAllocation, 0, len(a.nodes))
	for _, n := range a.nodes {
		nodes = append(nodes, n)
	}
	slices.SortFunc(nodes, func(x, y *nodeAllocation) int { return cmp.Compare(x.usage.Node, y.usage.Node) })
	if len(nodes) > 0 {
		a.divide(nodes)
	}
	grants := make([]Grant, 0, len(nodes))
	for _, n := range nodes {
		grants = append(grants, Grant{
			Rollout: a.rollout, Node: n.usage.Node, Incarnation: n.usage.Incarnation, Term: a.term, Limit: n.limit,
		})
	}
	return grants
}

func (a *Allocator) divide(nodes []*nodeAllocation) {
	permits := math.Floor(a.credit.Requests + 1e-9)
	tokensPerPermit := a.credit.Tokens / max(1, permits)
	for range int(permits) {
		lowest := slices.MinFunc(nodes, func(x, y *nodeAllocation) int { return cmp.Compare(x.fillRatio(), y.fillRatio()) })
		if lowest.limit.Requests-lowest.usage.Spent.Requests >= lowest.maxUnspent {
			return
		}
		lowest.limit.Requests++
		lowest.limit.Tokens += tokensPerPermit
		a.credit.Requests--
		a.credit.Tokens -= tokensPerPermit
	}
}

// fillRatio returns the unspent permits as a fraction of the node's maximum.
func (n *nodeAllocation) fillRatio() float64 {
	return (n.limit.Requests - n.usage.Spent.Requests) / n.maxUnspent
}

// PermitHolder tracks and spends a node's permits for one rollout. The zero value and
// the holder of a restarted process have no permits.
type PermitHolder struct {
	usage   Usage
	revoked bool
}

// NewPermitHolder returns the permit holder of one node process for one rollout.
func NewPermitHolder(rollout, node string, incarnation uint64) *PermitHolder {
	return &PermitHolder{usage: Usage{Rollout: rollout, Node: node, Incarnation: incarnation}}
}

// SetShare sets the leader's term and the share that this node applies. Grants of earlier
// terms are rejected afterwards, so that the grants known to the new leader are final.
func (h *PermitHolder) SetShare(term uint64, share float64) {
	h.usage.Term = max(h.usage.Term, term)
	h.usage.Share = share
}

// Accept applies a grant. It ignores grants for another node, incarnation or rollout
// and those of an earlier term.
func (h *PermitHolder) Accept(g Grant) {
	if g.Rollout != h.usage.Rollout || g.Node != h.usage.Node || g.Incarnation != h.usage.Incarnation ||
		g.Term < h.usage.Term {
		return
	}
	h.usage.Term = g.Term
	h.usage.Granted.Requests = max(h.usage.Granted.Requests, g.Limit.Requests)
	h.usage.Granted.Tokens = max(h.usage.Granted.Tokens, g.Limit.Tokens)
}

// Revoke invalidates all current and future permits. The node calls it when the
// replicated share entry marks the new version as bad or sets its share to zero.
func (h *PermitHolder) Revoke() { h.revoked = true }

// Admit counts a request of the service and reports whether the new version serves it.
// That requires preferNew and permits for one request and for its tokens (the prompt
// plus the maximum output).
func (h *PermitHolder) Admit(tokens float64, preferNew bool) bool {
	h.usage.Total.Requests++
	h.usage.Total.Tokens += tokens
	if h.revoked || !preferNew || h.usage.Spent.Requests+1 > h.usage.Granted.Requests+1e-9 ||
		h.usage.Spent.Tokens+tokens > h.usage.Granted.Tokens+1e-6 {
		return false
	}
	h.usage.Spent.Requests++
	h.usage.Spent.Tokens += tokens
	return true
}

// Usage returns the report for the leader.
func (h *PermitHolder) Usage() Usage { return h.usage }

// stickyFraction is the fraction of the share to which sessions are assigned. The rest
// is a reserve, so that the node rarely has no permit for a session's request.
const stickyFraction = 0.8

// StickyToNew reports whether a session belongs to the new version at this share. All
// nodes return the same result, and while the share increases, a session changes its
// version at most once. The share limit takes precedence: without a permit, Admit
// returns false and the old version serves that request of the session.
func StickyToNew(rollout, session string, share float64) bool {
	h := xxhash.Sum64String(rollout + "\x00" + session)
	return float64(h>>11)/(1<<53) < stickyFraction*share
}
