package gateway

import (
	"sync"
	"time"

	"github.com/jaystage/jaystage/pkg/admission"
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
	// unreportedTime is for how long nodes have not reported usage on average.
	unreportedTime = usageReportInterval / 2
	// limitCorrection is the time in which the nodes bring an account's level back to its
	// reserve. Usage is in the totals of all nodes after two report intervals at most.
	limitCorrection = 3 * usageReportInterval
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
	// term is the term of the last totals, and termAt when the first ones of it arrived.
	term   uint64
	termAt time.Time
	// routesByName indexes the routes of the plan routesOf.
	routesOf     *traffic.Plan
	routesByName map[string]*traffic.Route
}

type accountUsage struct {
	bucket traffic.Bucket
	// kinds measures the demand of this node's clients by route, and demands lists it over
	// all nodes, from the last totals.
	kinds   map[string]*kindMeter
	demands []admission.Demand
	// levelAtTotals is the level in the last totals, and shortSince is since when totals have
	// shown a demand above the rate; zero if the last ones do not.
	levelAtTotals float64
	shortSince    time.Time
	used          float64 // cost of accepted requests since the start of the process
	requested     float64 // cost of all requests since the start of the process
	reported      float64 // value of used in the last usage report
	// acknowledged is the value of used in the last usage report that the leader answered.
	acknowledged   float64
	otherNodesRate float64 // usage of the other nodes per second
	// demand is the cost requested per second at all nodes.
	demand   float64
	totalsAt time.Time
}

// kindMeter measures the demand of one kind of request.
type kindMeter struct{ cost, calls admission.Meter }

type versionKey struct{ service, version, route string }

func newLedger(window time.Duration) *ledger {
	return &ledger{
		window: window, start: time.Now(), nodes: 1, accounts: make(map[string]*accountUsage),
		windows: make(map[uint64]map[string]uint64), versions: make(map[versionKey]*wire.VersionUse),
	}
}

// charge is a cost that a request would take from its account's limit.
type charge struct {
	account *traffic.Account
	plan    *traffic.Plan
	route   *traffic.Route
	cost    float64
	// hash is uniform over requests, and the same for a request that comes back.
	hash uint64
	// useful is the time for which a response can still be in time if the request comes back.
	useful time.Duration
}

// spendResult is a decision about an account's limit, with the values behind it.
type spendResult struct {
	accepted       bool
	retryAfter     time.Duration // set when refused
	level          float64       // bucket level before the request, in the units of the limit
	required       float64       // level that the request needs
	supply         float64       // cost that all nodes may accept per second
	share          float64       // share of the requests of its kind that the supply covers
	draw           float64       // the request's position among those; refused from share on
	otherNodesRate float64       // usage of the other nodes per second
	demand         float64       // cost requested per second at all nodes
	totalsAge      time.Duration // age of the leader's usage totals
	totalsFresh    bool          // the totals are valid; otherwise the node uses an even share
}

// unused reports whether the limit would have covered a refused request, so that it was
// refused to keep room for others.
func (r spendResult) unused() bool { return !r.accepted && r.level > r.required }

// spend takes a cost from an account's token bucket if the account's limit allows it. When
// the clients ask for more than the limit, only the requests in their kind's share are
// accepted.
func (l *ledger) spend(now time.Time, c charge) spendResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	account := c.account
	usage := l.account(account.Name)
	usage.requested += c.cost
	usage.countDemand(now, c)
	fresh := !usage.totalsAt.IsZero() && now.Sub(usage.totalsAt) <= totalsTTL
	result := spendResult{
		otherNodesRate: usage.otherNodesRate, demand: usage.demand, totalsAge: now.Sub(usage.totalsAt), totalsFresh: fresh, share: 1,
	}
	rate, burst := account.Rate-usage.otherNodesRate, account.Burst
	if !fresh {
		rate, burst = account.Rate/float64(l.nodes), account.Burst/float64(l.nodes)
	}
	rate = max(rate, account.Rate/float64(l.nodes)/2)
	usage.bucket.Refill(now, rate, burst)
	result.level, result.required = usage.bucket.Level, traffic.RequiredLevel(burst, c.cost)
	draw := admission.NewDraw(now, c.hash, c.route.TargetLatency)
	result.draw = draw.Position
	if !usage.totalsAt.IsZero() {
		limit := admission.Limit{
			Rate: account.Rate, Burst: account.Burst,
			Level: usage.levelAtTotals - usage.otherNodesRate*unreportedTime.Seconds(),
			Age:   result.totalsAge, Correction: limitCorrection,
		}
		result.supply = limit.Supply()
		result.share = usage.share(result.supply, l.routes(c.plan), c)
	}
	switch {
	case draw.Position >= result.share:
		result.retryAfter = draw.RetryAfter(result.share, c.useful, usage.shortFor(now))
	case !usage.bucket.Take(now, rate, burst, c.cost):
		result.retryAfter = min(max(usage.bucket.Wait(rate, burst, c.cost), maxTotalsDelay), maxAccountRetryAfter)
	default:
		result.accepted = true
		usage.used += c.cost
	}
	return result
}

// countDemand counts a request in the demand of this node's clients.
func (u *accountUsage) countDemand(now time.Time, c charge) {
	meter := u.kinds[c.route.Name]
	if meter == nil {
		meter = &kindMeter{}
		u.kinds[c.route.Name] = meter
	}
	meter.cost.Add(now, c.cost)
	meter.calls.Add(now, 1)
}

// share returns the share of the requests of the charge's kind that a supply covers.
func (u *accountUsage) share(supply float64, routes map[string]*traffic.Route, c charge) float64 {
	demands, own := u.demands, -1
	if len(demands) == 0 {
		return 1 // the account asks for less than its limit
	}
	for i := range demands {
		if demands[i].Kind == c.route.Name {
			own = i
		}
		if route := routes[demands[i].Kind]; route != nil {
			demands[i].Priority, demands[i].Service = route.Priority, mainService(route)
		}
	}
	if own < 0 {
		// The totals do not tell of the kind yet.
		own = len(demands)
		demands = append(demands[:own:own], admission.Demand{
			Kind: c.route.Name, Service: mainService(c.route), Priority: c.route.Priority, Rate: c.cost, Calls: 1,
		})
	}
	return admission.Shares(supply, demands)[own]
}

// mainService returns the service that most of a route's requests go to.
func mainService(route *traffic.Route) string {
	name, most := "", -1
	for _, w := range route.Split {
		if w.Weight > most {
			name, most = w.Service, w.Weight
		}
	}
	return name
}

// shortFor returns for how long the clients of the account have asked for more than its rate.
func (u *accountUsage) shortFor(now time.Time) time.Duration {
	if u.shortSince.IsZero() {
		return 0
	}
	return now.Sub(u.shortSince)
}

// routes returns the routes of a plan by name. The lock must be held.
func (l *ledger) routes(plan *traffic.Plan) map[string]*traffic.Route {
	if plan != l.routesOf || l.routesByName == nil {
		l.routesOf, l.routesByName = plan, make(map[string]*traffic.Route)
		if plan != nil {
			for i := range plan.Routes {
				l.routesByName[plan.Routes[i].Name] = &plan.Routes[i]
			}
		}
	}
	return l.routesByName
}

func (l *ledger) account(name string) *accountUsage {
	usage := l.accounts[name]
	if usage == nil {
		usage = &accountUsage{kinds: make(map[string]*kindMeter)}
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
func (l *ledger) fillUsageReport(now time.Time, report *wire.UseTally) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, usage := range l.accounts {
		usage.reported = usage.used
		report.Use = append(report.Use, wire.AccountUse{
			Account: name, Cost: usage.used, Asked: usage.requested, Level: usage.bucket.Level,
			Untold: usage.used - usage.acknowledged, Known: !usage.totalsAt.IsZero(),
			Kinds: usage.kindDemands(now),
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

// kindDemands returns the recent demand of this node's clients by kind of request.
func (u *accountUsage) kindDemands(now time.Time) []wire.KindDemand {
	var list []wire.KindDemand
	for kind, meter := range u.kinds {
		if meter.calls.Idle(now) {
			delete(u.kinds, kind)
			continue
		}
		list = append(list, wire.KindDemand{Kind: kind, Asked: meter.cost.Rate(now), Calls: meter.calls.Rate(now)})
	}
	return list
}

// demandsOf returns the demand in the leader's totals by kind of request. A leader of an
// earlier release tells only the sum, and nodes of one are missing in the kinds.
func demandsOf(level wire.AccountLevel) []admission.Demand {
	var demands []admission.Demand
	sum := 0.0
	for _, k := range level.Kinds {
		sum += k.Asked
		demands = append(demands, admission.Demand{Kind: k.Kind, Rate: k.Asked, Calls: k.Calls})
	}
	if sum < level.Asked/2 {
		demands = append(demands, admission.Demand{Rate: level.Asked - sum, Calls: 1})
	}
	return demands
}

// applyTotals applies the usage totals that the leader sent.
func (l *ledger) applyTotals(now time.Time, nodes int, totals wire.UseTotals) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodes = max(1, nodes)
	if totals.Term != l.term || l.termAt.IsZero() {
		l.term, l.termAt = totals.Term, now
	}
	// A new leader knows the demand once all nodes have reported to it.
	demandKnown := now.Sub(l.termAt) >= usageReportInterval
	for _, level := range totals.Levels {
		usage := l.account(level.Account)
		usage.bucket = traffic.Bucket{Level: level.Level - (usage.used - usage.reported), UpdatedAt: now}
		usage.otherNodesRate, usage.demand, usage.totalsAt = level.Rate, level.Asked, now
		usage.acknowledged = usage.reported
		usage.levelAtTotals = usage.bucket.Level
		if demandKnown || len(usage.demands) == 0 {
			usage.setDemands(now, demandsOf(level))
		}
	}
}

// setDemands sets the demand by kind over all nodes, which the totals tell while the account is
// short.
func (u *accountUsage) setDemands(now time.Time, demands []admission.Demand) {
	u.demands = demands
	switch {
	case len(demands) == 0:
		u.shortSince = time.Time{}
	case u.shortSince.IsZero():
		u.shortSince = now
	}
}
