package gateway

import (
	"sync"
	"time"

	"github.com/jaystage/jaystage/pkg/traffic"
	"github.com/jaystage/jaystage/pkg/wire"
)

const (
	// totalsTTL is how long the leader's usage totals are valid. Without newer ones, the
	// node keeps to an even share of each limit.
	totalsTTL = 2 * time.Second
	// retainedWindows is the number of past usage windows whose counts are still
	// reported, so that a new leader receives them.
	retainedWindows = 5
	// maxAccountRetryAfter bounds the Retry-After of an account that is over its limit.
	maxAccountRetryAfter = 5 * time.Second
	// maxTotalsDelay is the time within which the node receives the next usage totals.
	maxTotalsDelay = 2 * usageReportInterval
)

// ledger counts the usage of this node's clients: the cost charged to accounts, the
// requests started in each usage window and the outcomes of each version. It is safe for
// concurrent use.
type ledger struct {
	window time.Duration
	start  time.Time

	mu       sync.Mutex
	nodes    int // number of entry nodes, at least 1
	accounts map[string]*accountUsage
	windows  map[uint64]map[string]uint64 // started requests by window number and account
	versions map[versionKey]*wire.VersionUse
}

type accountUsage struct {
	bucket    traffic.Bucket
	used      float64 // cost of accepted requests since the start of the process
	requested float64 // cost of all requests since the start of the process
	reported  float64 // value of used in the last usage report
	// acknowledged is the value of used in the last usage report that the leader answered.
	acknowledged   float64
	otherNodesRate float64 // usage of the other nodes per second
	// demand is the cost requested per second at all nodes.
	demand   float64
	totalsAt time.Time
}

type versionKey struct{ service, version, route string }

func newLedger(window time.Duration) *ledger {
	return &ledger{
		window: window, start: time.Now(), nodes: 1, accounts: make(map[string]*accountUsage),
		windows: make(map[uint64]map[string]uint64), versions: make(map[versionKey]*wire.VersionUse),
	}
}

// spendResult is a decision about an account's limit, with the values behind it.
type spendResult struct {
	accepted       bool
	retryAfter     time.Duration // set when refused
	level          float64       // bucket level before the request, in the units of the limit
	otherNodesRate float64       // usage of the other nodes per second
	demand         float64       // cost requested per second at all nodes
	totalsAge      time.Duration // age of the leader's usage totals
	totalsFresh    bool          // the totals are valid; otherwise the node uses an even share
}

// spend takes a cost from an account's token bucket if the account's limit allows it. When
// the nodes together would accept too many requests, only those with a low sample are
// accepted; samples are uniform in [0, 1).
func (l *ledger) spend(now time.Time, account *traffic.Account, cost, sample float64) spendResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	usage := l.account(account.Name)
	rate, burst := account.Rate-usage.otherNodesRate, account.Burst
	usage.requested += cost
	fresh := !usage.totalsAt.IsZero() && now.Sub(usage.totalsAt) <= totalsTTL
	result := spendResult{otherNodesRate: usage.otherNodesRate, demand: usage.demand, totalsAge: now.Sub(usage.totalsAt), totalsFresh: fresh}
	if !fresh {
		rate, burst = account.Rate/float64(l.nodes), account.Burst/float64(l.nodes)
	}
	rate = max(rate, account.Rate/float64(l.nodes)/2)
	usage.bucket.Refill(now, rate, burst)
	result.level = usage.bucket.Level
	switch {
	case fresh && sample > usage.acceptProbability(burst, cost):
		result.retryAfter = maxTotalsDelay + time.Duration(sample*float64(maxTotalsDelay))
	case !usage.bucket.Take(now, rate, burst, cost):
		result.retryAfter = min(usage.bucket.Wait(rate, burst, cost), maxAccountRetryAfter)
	default:
		result.accepted = true
		usage.used += cost
	}
	return result
}

// acceptProbability returns the share of requests that the nodes may accept until they
// receive the next usage totals: the bucket level above the reserve for smaller requests,
// which is the required level less the cost, relative to the demand expected at all nodes
// until then. All nodes see the same level, so without it each of them would spend the
// whole level.
func (u *accountUsage) acceptProbability(burst, cost float64) float64 {
	expectedDemand := u.demand * usageReportInterval.Seconds()
	if expectedDemand <= 0 {
		return 1
	}
	return (u.bucket.Level - traffic.RequiredLevel(burst, cost) + min(cost, burst/2)) / expectedDemand
}

func (l *ledger) account(name string) *accountUsage {
	usage := l.accounts[name]
	if usage == nil {
		usage = &accountUsage{}
		l.accounts[name] = usage
	}
	return usage
}

// countStart counts a request that an upstream started to run.
func (l *ledger) countStart(now time.Time, account string) {
	if l.window <= 0 || account == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	window := l.windowNumber(now)
	counts := l.windows[window]
	if counts == nil {
		counts = make(map[string]uint64)
		l.windows[window] = counts
		for old := range l.windows {
			if old+retainedWindows < window {
				delete(l.windows, old)
			}
		}
	}
	counts[account]++
}

// windowNumber returns the number of the usage window that contains now. It uses the wall
// clock at the start of the process plus the monotonic time since then, so that steps of
// the clock do not move counts to another window.
func (l *ledger) windowNumber(now time.Time) uint64 {
	return uint64(l.start.Add(now.Sub(l.start)).UnixNano() / int64(l.window))
}

// countOutcome counts the outcome of an attempt for the upstream's version.
func (l *ledger) countOutcome(c *call, a *attempt, good bool, took time.Duration) {
	key := versionKey{c.service.Name, a.upstream.Version, c.route.Name}
	l.mu.Lock()
	defer l.mu.Unlock()
	usage := l.versions[key]
	if usage == nil {
		usage = &wire.VersionUse{Service: key.service, Version: key.version, Route: key.route}
		l.versions[key] = usage
	}
	usage.Sent++
	if !good {
		usage.Bad++
		return
	}
	usage.Good++
	usage.Millis += uint64(took.Milliseconds())
}

// fillUsageReport adds the counts of the ledger to a usage report.
func (l *ledger) fillUsageReport(report *wire.UseTally) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, usage := range l.accounts {
		usage.reported = usage.used
		report.Use = append(report.Use, wire.AccountUse{
			Account: name, Cost: usage.used, Asked: usage.requested, Level: usage.bucket.Level,
			Untold: usage.used - usage.acknowledged, Known: !usage.totalsAt.IsZero(),
		})
	}
	for number, counts := range l.windows {
		for account, n := range counts {
			report.Windows = append(report.Windows, wire.WindowCount{Window: number, Account: account, Count: n})
		}
	}
	for _, usage := range l.versions {
		report.Versions = append(report.Versions, *usage)
	}
}

// applyTotals applies the usage totals that the leader sent.
func (l *ledger) applyTotals(now time.Time, nodes int, totals wire.UseTotals) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodes = max(1, nodes)
	for _, level := range totals.Levels {
		usage := l.account(level.Account)
		usage.bucket = traffic.Bucket{Level: level.Level - (usage.used - usage.reported), UpdatedAt: now}
		usage.otherNodesRate, usage.demand, usage.totalsAt = level.Rate, level.Asked, now
		usage.acknowledged = usage.reported
	}
}
