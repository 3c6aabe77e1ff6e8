package admission

import (
	"maps"
	"math"
	"slices"
	"time"
)

// usageWindow is the time constant over which past use of an account counts.
const usageWindow = 10 * time.Second

// loadWindow is the same for the load that classes offer. It is short, because
// work of low classes that is accepted before a surge of higher ones shows has to
// be done in the middle of it.
const loadWindow = 3 * time.Second

// usage is an amount of work that decays over time.
type usage struct {
	work   float64
	at     time.Time
	window time.Duration
}

func (u *usage) value(now time.Time) float64 {
	return u.work * math.Exp(-now.Sub(u.at).Seconds()/u.window.Seconds())
}

func (u *usage) add(now time.Time, work float64) {
	u.work, u.at = max(0, u.value(now)+work), now
}

// maxUsages bounds the accounts whose use is remembered.
const maxUsages = 4096

// over tells whether the account has used more than its weighted share of what
// all active accounts used, the request included. A lone account is never over.
func (c *Controller) over(now time.Time, account string, work float64) bool {
	var total, weights float64
	active := 0
	// The order matters to the rounding of the sums.
	for _, name := range slices.Sorted(maps.Keys(c.used)) {
		u := c.used[name]
		v := u.value(now)
		if v < 1 && name != account {
			if c.waiting[name] == 0 {
				delete(c.used, name)
			}
			continue
		}
		active++
		total += v
		weights += c.weight(name)
	}
	if active < 2 {
		return true // the rest is left to accounts that come later
	}
	mine := 0.0
	if u := c.used[account]; u != nil {
		mine = u.value(now)
	} else {
		weights += c.weight(account)
	}
	return mine+work > (total+work)*c.weight(account)/weights
}

func (c *Controller) weight(account string) float64 {
	if a, ok := c.policy.Accounts[account]; ok && a.Weight > 0 {
		return a.Weight
	}
	return 1
}

func (c *Controller) use(now time.Time, account string, work float64) {
	u := c.used[account]
	if u == nil {
		if len(c.used) >= maxUsages {
			return
		}
		u = &usage{at: now, window: usageWindow}
		c.used[account] = u
	}
	u.add(now, work)
}

// offered counts work that callers offer in a class, accepted or not.
func (c *Controller) offered(now time.Time, class string, work float64) {
	u := c.classes[class]
	if u == nil {
		u = &usage{at: now, window: loadWindow}
		c.classes[class] = u
	}
	u.add(now, work)
}

// higher returns the part of the capacity that the recent load of higher classes
// takes, at most 1.
func (c *Controller) higher(now time.Time, class Class) float64 {
	work := 0.0
	for _, name := range slices.Sorted(maps.Keys(c.classes)) {
		if o, ok := c.policy.Classes[name]; ok && o.Priority < class.Priority {
			work += c.classes[name].value(now)
		}
	}
	return min(1, work/loadWindow.Seconds()*c.pace.mean/float64(max(1, c.capacity)))
}

// pace learns the time that one unit of work takes.
type pace struct {
	mean, dev float64 // seconds
}

// learning is the weight of a new sample.
const learning = 0.05

func (p *pace) learn(seconds float64) {
	diff := seconds - p.mean
	p.mean += learning * diff
	p.dev += learning * (math.Abs(diff) - p.dev)
}

// estimate is a duration that few requests of that work exceed.
func (p *pace) estimate(work float64) time.Duration {
	return time.Duration(work * (p.mean + 2*p.dev) * float64(time.Second))
}
