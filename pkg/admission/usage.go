package admission

import (
	"maps"
	"math"
	"slices"
	"time"
)

// usageTimeConstant is the time constant of the decay of an account's usage.
const usageTimeConstant = 10 * time.Second

// loadTimeConstant is the time constant of the decay of a class's offered work. It is
// short because low-class work that is accepted before a surge of higher classes is
// detected has to run during that surge.
const loadTimeConstant = 3 * time.Second

// decayingSum is a sum of amounts of work that decay exponentially.
type decayingSum struct {
	sum          float64
	updated      time.Time
	timeConstant time.Duration
}

func (s *decayingSum) value(now time.Time) float64 {
	return s.sum * math.Exp(-now.Sub(s.updated).Seconds()/s.timeConstant.Seconds())
}

func (s *decayingSum) add(now time.Time, amount float64) {
	s.sum, s.updated = max(0, s.value(now)+amount), now
}

// maxTrackedAccounts limits the number of accounts whose usage is recorded.
const maxTrackedAccounts = 4096

// overShare reports whether the account, with this request, would exceed its weighted
// share of the recent usage of all active accounts. An account is active if its decayed
// usage is at least one unit of work; the account itself is active if it has a record.
// With fewer than two active accounts, overShare returns true. It also removes the
// records of inactive accounts without waiting requests.
func (c *Controller) overShare(now time.Time, account string, work float64) bool {
	var total, weights float64
	active := 0
	// Sorted, because the rounding of the sums depends on the order.
	for _, name := range slices.Sorted(maps.Keys(c.accountUsage)) {
		u := c.accountUsage[name]
		v := u.value(now)
		if v < 1 && name != account {
			if c.waitingByAccount[name] == 0 {
				delete(c.accountUsage, name)
			}
			continue
		}
		active++
		total += v
		weights += c.weight(name)
	}
	if active < 2 {
		return true // reserve capacity for accounts that become active later
	}
	own := 0.0
	if u := c.accountUsage[account]; u != nil {
		own = u.value(now)
	} else {
		weights += c.weight(account)
	}
	return own+work > (total+work)*c.weight(account)/weights
}

func (c *Controller) weight(account string) float64 {
	if a, ok := c.policy.Accounts[account]; ok && a.Weight > 0 {
		return a.Weight
	}
	return 1
}

func (c *Controller) recordUsage(now time.Time, account string, work float64) {
	u := c.accountUsage[account]
	if u == nil {
		if len(c.accountUsage) >= maxTrackedAccounts {
			return
		}
		u = &decayingSum{updated: now, timeConstant: usageTimeConstant}
		c.accountUsage[account] = u
	}
	u.add(now, work)
}

// recordOffered counts work that clients offer in a class, accepted or not.
func (c *Controller) recordOffered(now time.Time, class string, work float64) {
	u := c.offeredByClass[class]
	if u == nil {
		u = &decayingSum{updated: now, timeConstant: loadTimeConstant}
		c.offeredByClass[class] = u
	}
	u.add(now, work)
}

// higherClassLoad returns the fraction of the capacity that the recently offered work
// of higher classes needs, at most 1.
func (c *Controller) higherClassLoad(now time.Time, class Class) float64 {
	work := 0.0
	for _, name := range slices.Sorted(maps.Keys(c.offeredByClass)) {
		if o, ok := c.policy.Classes[name]; ok && o.Priority < class.Priority {
			work += c.offeredByClass[name].value(now)
		}
	}
	return min(1, work/loadTimeConstant.Seconds()*c.durations.mean/float64(max(1, c.capacity)))
}

// durationEstimator estimates the time that one unit of work takes from exponentially
// weighted moving averages of the mean and the mean absolute deviation.
type durationEstimator struct {
	mean, deviation float64 // seconds
}

// sampleWeight is the weight of a new sample.
const sampleWeight = 0.05

func (d *durationEstimator) update(seconds float64) {
	diff := seconds - d.mean
	d.mean += sampleWeight * diff
	d.deviation += sampleWeight * (math.Abs(diff) - d.deviation)
}

// estimate returns a duration that few requests with this amount of work exceed.
func (d *durationEstimator) estimate(work float64) time.Duration {
	return time.Duration(work * (d.mean + 2*d.deviation) * float64(time.Second))
}
