package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jaystage/jaystage/pkg/placement"
	"github.com/jaystage/jaystage/pkg/poison"
	"github.com/jaystage/jaystage/pkg/verdict"
)

func refusal(status int, code verdict.Code, after time.Duration, detail string) *verdict.Error {
	return &verdict.Error{Verdict: verdict.NotRun, Code: code, Status: status, RetryAfter: after, Detail: detail}
}

// admit checks whether the call may be served: state of the node, route, account, body
// size and account limit. It also reads the request body.
func (c *call) admit() *verdict.Error {
	view, e := c.awaitState()
	c.view = view
	if e != nil {
		return e
	}
	route, ok := view.Plan.Match(c.r.Host, c.r.URL.EscapedPath())
	if !ok {
		return refusal(http.StatusNotFound, verdict.CodeUnknownService, 0, "no route takes this host and path")
	}
	c.route = route
	if e := c.authenticate(); e != nil {
		return e
	}
	c.setDeadline()
	c.readPromptHeaders()
	name := route.PickService(unitHash(c.id, route.Name))
	c.service, ok = view.Plan.Service(name)
	if !ok {
		return refusal(http.StatusServiceUnavailable, verdict.CodeNoUpstream, minStateRetryAfter, "the route has no service")
	}
	if e := c.readBody(); e != nil {
		return e
	}
	c.g.open.startWaiting(c)
	c.parts = append(c.parts, poison.NewRequest(c.accountName(), c.r.Method, c.r.RequestURI, c.body))
	if e := c.checkParts(c.view, time.Now()); e != nil {
		return e
	}
	if !c.g.open.admits(time.Now(), c) {
		return c.stopRefusal() // before the account pays for it
	}
	if e := c.checkRoom(time.Now()); e != nil {
		return e
	}
	return c.charge()
}

// clientTimeout returns the timeout that the client set; false if it set none.
func (c *call) clientTimeout() (time.Duration, bool) {
	ms, err := strconv.ParseFloat(c.r.Header.Get(c.g.Headers.Deadline), 64)
	return time.Duration(ms * float64(time.Millisecond)), err == nil && ms > 0
}

// unitHash maps a request ID to [0, 1), uniformly over IDs, so that splits by weight are
// even. Different salts give independent values for the same ID.
func unitHash(id, salt string) float64 {
	return float64(xxhash.Sum64String(salt+"\x00"+id)>>11) / (1 << 53)
}

func (c *call) authenticate() *verdict.Error {
	if !c.view.Plan.RequiresKey() {
		return nil
	}
	scheme, key, _ := strings.Cut(c.r.Header.Get("Authorization"), " ")
	if strings.EqualFold(scheme, "Bearer") {
		if account, ok := c.view.Plan.AccountByKey(strings.TrimSpace(key)); ok {
			c.account = account
			return nil
		}
	}
	if c.route.Public {
		return nil
	}
	return refusal(http.StatusUnauthorized, verdict.CodeUnauthenticated, 0, "the key belongs to no client account")
}

// setDeadline sets the deadline to the shorter of the client's and the route's timeout.
func (c *call) setDeadline() {
	timeout := c.route.Timeout
	if clientTimeout, ok := c.clientTimeout(); ok {
		timeout = min(timeout, clientTimeout)
	}
	c.deadline = c.start.Add(timeout)
	c.limitWrites(c.deadline)
}

// readPromptHeaders reads the token counts and parts of a prompt. Malformed values are
// ignored: the headers only affect the choice of an upstream and the cost, and the
// upstream validates them.
func (c *call) readPromptHeaders() {
	c.prompt.ID = c.id
	in, out := parsePair(c.r.Header.Get(c.g.Headers.Tokens))
	c.prompt.PromptTokens, c.maxOutput = int(in), int(out)
	if c.account != nil {
		switch {
		case !c.account.Tokens:
			c.cost = 1
		case in+out > 0:
			c.cost = in + out
		default:
			c.cost = c.account.DefaultCost
		}
	}
	for part := range strings.SplitSeq(c.r.Header.Get(c.g.Headers.Parts), ",") {
		id, tokens, ok := strings.Cut(strings.TrimSpace(part), ":")
		if n, err := strconv.Atoi(tokens); ok && err == nil {
			c.prompt.Parts = append(c.prompt.Parts, placement.Part{ID: id, Tokens: n})
		}
	}
	c.parts = sharedParts(c.r.Header.Get(c.g.Headers.Model), c.prompt.Parts)
}

// parsePair parses two numbers separated by a comma. A malformed or negative number
// counts as zero.
func parsePair(s string) (first, second float64) {
	a, b, _ := strings.Cut(s, ",")
	first, _ = strconv.ParseFloat(strings.TrimSpace(a), 64)
	second, _ = strconv.ParseFloat(strings.TrimSpace(b), 64)
	return max(0, first), max(0, second)
}

// charge takes the call's cost from its account's token bucket, and refuses the call if
// the account is over its limit.
func (c *call) charge() *verdict.Error {
	if c.account == nil || c.account.Rate <= 0 {
		return nil
	}
	now := time.Now()
	spent := c.g.ledger.spend(now, charge{
		account: c.account, plan: c.view.Plan, route: c.route, cost: c.cost,
		hash: uint64(c.parts[len(c.parts)-1]), useful: c.useful(now),
	})
	if spent.accepted {
		return nil
	}
	c.limitRefusal = &spent
	c.g.Metrics.countLimitRefusal(c.route.Priority, c.cost, spent.unused())
	return refusal(http.StatusTooManyRequests, verdict.CodeAccountLimit, spent.retryAfter, "the client account has used up its limit")
}

// setUpstreamHeaders turns the client's headers h into those for the upstream u: it
// removes credentials and reserved headers and sets the gateway's own.
func (c *call) setUpstreamHeaders(u placement.Upstream, now time.Time, h http.Header) {
	headers := c.g.Headers
	for _, name := range append([]string{"Authorization", headers.Account, headers.Expect, headers.Priority}, headers.Reserved...) {
		h.Del(name)
	}
	set := func(name, value string) {
		if name != "" {
			h.Set(name, value)
		}
	}
	if c.account != nil {
		set(headers.Account, c.account.Name)
	}
	set(headers.Expect, u.ID)
	set(headers.Deadline, strconv.FormatInt(max(1, c.remaining(now).Milliseconds()), 10))
	if c.prompt.PromptTokens > 0 {
		set(headers.Priority, strconv.Itoa(enginePriority(c.priority(), c.route.Priority)))
	}
	if c.lastEventID != "" {
		set(headers.Resume, c.lastEventID)
	}
}

const (
	// lowestPriority is the lowest priority that engines accept; 0 is the highest.
	lowestPriority = 9
	// enginePriorities is the number of priorities of routes that engines tell apart for each
	// priority of calls.
	enginePriorities = 3
)

// enginePriority returns the priority of a request at its engine: by the priority of the call,
// which its account may set, and among equal ones by that of its route. Accounts mostly have the
// same priority, and without the route's an engine would have no order between kinds.
func enginePriority(call, route int) int {
	return min(call*enginePriorities+min(route, enginePriorities-1), lowestPriority)
}
