package gateway

import (
	"sync"
	"time"

	"github.com/jaystage/jaystage/pkg/traffic"
	"github.com/jaystage/jaystage/pkg/wire"
)

const (
	// totalsLife is how long the leader's totals are used; without newer ones the node
	// keeps to an even share of each limit.
	totalsLife = 2 * time.Second
	// windowsKept is the number of usage windows whose counts are told again, so that a
	// new leader learns them.
	windowsKept = 5
	// longestWait bounds the Retry-After of an account that is over its limit.
	longestWait = 5 * time.Second
	// longestTally is the time until the node has heard the next totals.
	longestTally = 2 * tallyInterval
)

// ledger counts what this node's clients use: tokens of accounts, requests that began
// in each usage window and outcomes of versions. It is safe for concurrent use.
type ledger struct {
	window time.Duration
	start  time.Time

	mu       sync.Mutex
	nodes    int // entry nodes, at least 1
	accounts map[string]*accountUse
	windows  map[uint64]map[string]uint64
	versions map[versionKey]*wire.VersionUse
}

type accountUse struct {
	bucket traffic.Bucket
	used   float64 // since the start of the process
	asked  float64 // since the start of the process
	told   float64 // used when the last tally was sent
	// confirmed is what was used when the last answered tally was sent.
	confirmed float64
	others    float64 // use of the other nodes a second
	// demand is what clients of all nodes ask for a second.
	demand float64
	at     time.Time
}

type versionKey struct{ service, version, route string }

func newLedger(window time.Duration) *ledger {
	return &ledger{
		window: window, start: time.Now(), nodes: 1, accounts: make(map[string]*accountUse),
		windows: make(map[uint64]map[string]uint64), versions: make(map[versionKey]*wire.VersionUse),
	}
}

// spending is a decision about an account's limit with what it rests on.
type spending struct {
	accepted bool
	wait     time.Duration // until the client should come back, when refused
	level    float64       // what was left, in the units of the limit
	others   float64       // use of the other nodes a second
	demand   float64       // what clients of all nodes ask for a second
	age      time.Duration // of the leader's totals
	known    bool          // the totals are recent enough; otherwise an even share counts
}

// take spends from an account's limit. The draw in [0, 1) decides which requests are
// accepted while all nodes together would accept too many.
func (l *ledger) take(now time.Time, a *traffic.Account, cost, draw float64) spending {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.account(a.Name)
	rate, burst := a.Rate-u.others, a.Burst
	u.asked += cost
	known := !u.at.IsZero() && now.Sub(u.at) <= totalsLife
	s := spending{others: u.others, demand: u.demand, age: now.Sub(u.at), known: known}
	if !known {
		rate, burst = a.Rate/float64(l.nodes), a.Burst/float64(l.nodes)
	}
	rate = max(rate, a.Rate/float64(l.nodes)/2)
	u.bucket.Refill(now, rate, burst)
	s.level = u.bucket.Level
	switch {
	case known && draw > u.chance(burst, cost):
		s.wait = longestTally + time.Duration(draw*float64(longestTally))
	case !u.bucket.Take(now, rate, burst, cost):
		s.wait = min(u.bucket.Wait(rate, burst, cost), longestWait)
	default:
		s.accepted = true
		u.used += cost
	}
	return s
}

// chance is the part of the requests that all nodes may accept until they hear the next
// totals, since all of them see the same level: what the level leaves above the reserve,
// relative to what will be asked for until then.
func (u *accountUse) chance(burst, cost float64) float64 {
	coming := u.demand * tallyInterval.Seconds()
	if coming <= 0 {
		return 1
	}
	return (u.bucket.Level - traffic.RequiredLevel(burst, cost) + min(cost, burst/2)) / coming
}

func (l *ledger) account(name string) *accountUse {
	u := l.accounts[name]
	if u == nil {
		u = &accountUse{}
		l.accounts[name] = u
	}
	return u
}

// began counts a request that an upstream began to run. The window follows the wall
// clock of the process's start, so that steps of the clock move no count.
func (l *ledger) began(now time.Time, account string) {
	if l.window <= 0 || account == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	number := l.number(now)
	counts := l.windows[number]
	if counts == nil {
		counts = make(map[string]uint64)
		l.windows[number] = counts
		for old := range l.windows {
			if old+windowsKept < number {
				delete(l.windows, old)
			}
		}
	}
	counts[account]++
}

func (l *ledger) number(now time.Time) uint64 {
	return uint64(l.start.Add(now.Sub(l.start)).UnixNano() / int64(l.window))
}

// outcome counts the outcome of an attempt for its version.
func (l *ledger) outcome(c *call, a *attempt, good bool, took time.Duration) {
	key := versionKey{c.service.Name, a.up.Version, c.route.Name}
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.versions[key]
	if v == nil {
		v = &wire.VersionUse{Service: key.service, Version: key.version, Route: key.route}
		l.versions[key] = v
	}
	v.Sent++
	if !good {
		v.Bad++
		return
	}
	v.Good++
	v.Millis += uint64(took.Milliseconds())
}

// tally fills in what the leader is told.
func (l *ledger) tally(t *wire.UseTally) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, u := range l.accounts {
		u.told = u.used
		t.Use = append(t.Use, wire.AccountUse{Account: name, Cost: u.used, Asked: u.asked, Level: u.bucket.Level, Untold: u.used - u.confirmed, Known: !u.at.IsZero()})
	}
	for number, counts := range l.windows {
		for account, n := range counts {
			t.Windows = append(t.Windows, wire.WindowCount{Window: number, Account: account, Count: n})
		}
	}
	for _, v := range l.versions {
		t.Versions = append(t.Versions, *v)
	}
}

// learn takes the leader's totals.
func (l *ledger) learn(now time.Time, nodes int, t wire.UseTotals) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodes = max(1, nodes)
	for _, level := range t.Levels {
		u := l.account(level.Account)
		u.bucket = traffic.Bucket{Level: level.Level - (u.used - u.told), UpdatedAt: now}
		u.others, u.demand, u.at = level.Rate, level.Asked, now
		u.confirmed = u.told
	}
}
