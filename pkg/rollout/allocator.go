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

// Usage is what a node tells the leader of one service's traffic. All numbers
// are totals since the node's process saw the rollout.
type Usage struct {
	Rollout     string
	Node        string
	Incarnation uint64
	// Term is the highest leader term that the node has seen.
	Term uint64
	// Share is the share that the node applied last.
	Share float64
	// Total counts all requests that the node admitted for the service.
	Total Amount
	// Granted is the node's present limit and Spent what it has used of it.
	Granted, Spent Amount
}

// Grant tells a node how much the new version may have got from it in total,
// since its process saw the rollout. A repeated or overtaken grant changes nothing.
type Grant struct {
	Rollout     string
	Node        string
	Incarnation uint64
	Term        uint64
	Limit       Amount
}

// maxCreditRequests bounds the credit that is kept for later when no node needs it.
// Tokens are bounded by four times the tokens of that many mean requests, so
// that long requests find enough.
const maxCreditRequests = 64

// baseUnspentRequests and maxUnspentReports bound a node's unspent permits: a few requests,
// and what it could spend within that many reports. Without the bound, permits
// left over from a time without upstreams would be spent in one burst.
const (
	baseUnspentRequests = 2
	maxUnspentReports   = 4
)

type nodeAllocation struct {
	usage Usage
	limit Amount
	// maxUnspent is the most unspent permits for requests.
	maxUnspent float64
}

// Allocator hands out permits for the new version on the leader. The sum of all
// permits never exceeds the share times the traffic that nodes reported, for
// requests and for tokens. A new leader starts with an empty Allocator: permits
// of its predecessor stay valid, and traffic reported before its term earns
// nothing more.
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

// AddUsage takes one node's usage. The traffic since the node's last report earns
// credit at the lower share of the two reports. A first report in this term and
// a new incarnation earn nothing: part of that traffic may have been counted
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

// Grants divides the credit among the nodes and returns each node's limit. The
// node with the fewest unspent permits for its traffic is served first.
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

// fillRatio relates the unspent permits to the most that the node may hold.
func (n *nodeAllocation) fillRatio() float64 {
	return (n.limit.Requests - n.usage.Spent.Requests) / n.maxUnspent
}

// PermitHolder spends a node's permits for one rollout. Its zero value, and a holder
// of a restarted process, has no permits.
type PermitHolder struct {
	usage   Usage
	revoked bool
}

// NewPermitHolder returns the holder of one node process for one rollout.
func NewPermitHolder(rollout, node string, incarnation uint64) *PermitHolder {
	return &PermitHolder{usage: Usage{Rollout: rollout, Node: node, Incarnation: incarnation}}
}

// SetShare tells the holder of the leader's term and of the share that is in force
// on this node. Grants of earlier terms are refused from then on, so that the
// new leader's view of them is final.
func (h *PermitHolder) SetShare(term uint64, share float64) {
	h.usage.Term = max(h.usage.Term, term)
	h.usage.Share = share
}

// Accept takes a grant.
func (h *PermitHolder) Accept(g Grant) {
	if g.Rollout != h.usage.Rollout || g.Node != h.usage.Node || g.Incarnation != h.usage.Incarnation ||
		g.Term < h.usage.Term {
		return
	}
	h.usage.Term = g.Term
	h.usage.Granted.Requests = max(h.usage.Granted.Requests, g.Limit.Requests)
	h.usage.Granted.Tokens = max(h.usage.Granted.Tokens, g.Limit.Tokens)
}

// Revoke ends the use of all permits, present and later. The node calls it when
// the share entry says that the new version is bad or gets no traffic.
func (h *PermitHolder) Revoke() { h.revoked = true }

// Admit counts a request of the service. It returns true when the request goes
// to the new version, which needs wanted and permits for one request and for its
// tokens (prompt and the most output).
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

// stickyFraction is the part of the share that sessions are assigned to, so that
// sessions seldom find the node without a permit.
const stickyFraction = 0.8

// StickyToNew tells whether a session belongs to the new version at this share. All
// nodes give the same answer; while the share rises, a session changes at most
// once. The share limit prevails: without a permit, Admit still says false, and
// that request of the session goes to the old version.
func StickyToNew(rollout, session string, share float64) bool {
	h := xxhash.Sum64String(rollout + "\x00" + session)
	return float64(h>>11)/(1<<53) < stickyFraction*share
}
