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
	// partFactor is how much more than its share of the use a node may spend of the
	// level that all nodes see.
	partFactor = 2.0
	// ownHalf smooths the node's own use a second, as the leader smooths the others'.
	ownHalf = 500 * time.Millisecond
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
	told   float64 // used when the answered tally was sent
	others float64 // use of the other nodes a second
	own    float64 // use of this node a second
	ownAt  float64 // used when own was last brought up to date
	// allow is the part of the level that this node may spend until the next totals;
	// all nodes see the same level.
	allow float64
	at    time.Time
}

type versionKey struct{ service, version, route string }

func newLedger(window time.Duration) *ledger {
	return &ledger{
		window: window, start: time.Now(), nodes: 1, accounts: make(map[string]*accountUse),
		windows: make(map[uint64]map[string]uint64), versions: make(map[versionKey]*wire.VersionUse),
	}
}

// take spends from an account's limit. When it is used up, it returns how long the
// client should wait. The draw in [0, 1) decides on a request that is larger than this
// node's part of what is left.
func (l *ledger) take(now time.Time, a *traffic.Account, cost, draw float64) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.account(a.Name)
	rate, burst := a.Rate-u.others, a.Burst
	known := !u.at.IsZero() && now.Sub(u.at) <= totalsLife
	if !known {
		rate, burst = a.Rate/float64(l.nodes), a.Burst/float64(l.nodes)
	}
	rate = max(rate, a.Rate/float64(l.nodes)/2)
	if known && draw*cost > u.allow {
		return longestTally + time.Duration(draw*float64(longestTally)), false
	}
	if !u.bucket.Take(now, rate, burst, cost) {
		return min(u.bucket.Wait(rate, burst, cost), longestWait), false
	}
	u.used += cost
	u.allow = max(0, u.allow-cost)
	return 0, true
}

// part is the share of an account's level that this node may spend before it hears the
// next one: twice its share of the use, so that shifting clients are not held up.
func (u *accountUse) part(nodes int) float64 {
	even := 1 / float64(nodes)
	share := even
	if sum := u.own + u.others; sum > 0 {
		share = max(u.own/sum, even)
	}
	return min(1, partFactor*share)
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
		t.Use = append(t.Use, wire.AccountUse{Account: name, Cost: u.used})
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
		if passed := now.Sub(u.at).Seconds(); !u.at.IsZero() && passed > 0 {
			keep := 1 / (1 + passed/ownHalf.Seconds())
			u.own = keep*u.own + (1-keep)*(u.used-u.ownAt)/passed
		}
		u.bucket = traffic.Bucket{Level: level.Level - (u.used - u.told), At: now}
		u.others, u.at, u.ownAt = level.Rate, now, u.used
		u.allow = max(0, u.bucket.Level) * u.part(l.nodes)
	}
}
