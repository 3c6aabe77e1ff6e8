package admission

import (
	"maps"
	"math"
	"slices"
	"time"
)

// usageTimeConstant is the time constant over which past use of an account counts.
const usageTimeConstant = 10 * time.Second

// loadTimeConstant is the same for the load that classes offer. It is short, because
// work of low classes that is accepted before a surge of higher ones shows has to
// be done in the middle of it.
const loadTimeConstant = 3 * time.Second

// usage is an amount of work that decays over time.
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

// maxTrackedAccounts bounds the accounts whose use is remembered.
const maxTrackedAccounts = 4096

// over tells whether the account has used more than its weighted share of what
// all active accounts used, the request included. A lone account is never over.
func (c *Controller) overShare(now time.Time, account string, work float64) bool {
	var total, weights float64
	active := 0
	// The order matters to the rounding of the sums.
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
		return true // the rest is left to accounts that come later
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

// offered counts work that callers offer in a class, accepted or not.
func (c *Controller) recordOffered(now time.Time, class string, work float64) {
	u := c.offeredByClass[class]
	if u == nil {
		u = &decayingSum{updated: now, timeConstant: loadTimeConstant}
		c.offeredByClass[class] = u
	}
	u.add(now, work)
}

// higher returns the part of the capacity that the recent load of higher classes
// takes, at most 1.
func (c *Controller) higherClassLoad(now time.Time, class Class) float64 {
	work := 0.0
	for _, name := range slices.Sorted(maps.Keys(c.offeredByClass)) {
		if o, ok := c.policy.Classes[name]; ok && o.Priority < class.Priority {
			work += c.offeredByClass[name].value(now)
		}
	}
	return min(1, work/loadTimeConstant.Seconds()*c.durations.mean/float64(max(1, c.capacity)))
}

// pace learns the time that one unit of work takes.
type durationEstimator struct {
	mean, deviation float64 // seconds
}

// learning is the weight of a new sample.
const sampleWeight = 0.05

func (d *durationEstimator) update(seconds float64) {
	diff := seconds - d.mean
	d.mean += sampleWeight * diff
	d.deviation += sampleWeight * (math.Abs(diff) - d.deviation)
}

// estimate is a duration that few requests of that work exceed.
func (d *durationEstimator) estimate(work float64) time.Duration {
	return time.Duration(work * (d.mean + 2*d.deviation) * float64(time.Second))
}
