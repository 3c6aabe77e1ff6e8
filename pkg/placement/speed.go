package placement

import (
	"math"
	"time"
)

const (
	// slowFrom is the slowness from which a machine counts as slow.
	slowFrom = 1.5
	// changedBy is the share by which successive reports must differ to count as changed.
	changedBy = 0.2
	// maxPairAge is the longest time between two reports that tells how often they change: later
	// the machine may have changed and changed back.
	maxPairAge = 400 * time.Millisecond
	// Prior of the speeds: reports change a few times a second, and a tenth of them is slow.
	priorReports    = 20.0
	priorSlowShare  = 0.1
	priorSlowness   = 2.0
	priorChangeRate = 3.0
	priorPairTime   = 5.0 // seconds
	// Reports beyond these bounds are taken as the bounds: no machine works like that for long.
	minSlowness, maxSlowness = 0.25, 8.0
	// reportTrust is the weight of a report without age. Work that is sent now is done later.
	reportTrust = 0.9
)

// speeds are the speeds of a service's machines.
type speeds struct {
	// slowShare is the share of time in which a machine is slow, slow its slowness then, and
	// usual the one at other times.
	slowShare, slow, usual float64
	// changes is how often a machine's slowness changes in a second.
	changes float64
}

func speedsOf(s [sumCount]float64) speeds {
	slow := s[sumSlow] + priorSlowShare*priorReports
	usual := s[sumReports] - s[sumSlow] + (1-priorSlowShare)*priorReports
	share := slow / (slow + usual)
	return speeds{
		slowShare: share,
		slow:      (s[sumSlowness] + priorSlowness*priorSlowShare*priorReports) / slow,
		usual:     (s[sumUsual] + (1-priorSlowShare)*priorReports) / usual,
		// Two independent reports differ with the probability 2*share*(1-share).
		changes: (s[sumChanged]/(2*share*(1-share)) + priorChangeRate*priorPairTime) / (s[sumPairTime] + priorPairTime),
	}
}

// ApplySlowness applies how long work takes on the upstream's machine, as a multiple of the
// usual time, as reported with a response. engine may be nil.
func (u *Upstream) ApplySlowness(now time.Time, slowness float64, engine *Engine) {
	slowness = min(max(slowness, minSlowness), maxSlowness)
	if engine != nil {
		engine.recordSlowness(now, slowness, u.SlownessAt, u.ReportedSlowness)
	}
	u.ReportedSlowness, u.SlownessAt = slowness, now
}

// ApplyOthersSlowness applies a report that another node has got.
func (u *Upstream) ApplyOthersSlowness(at time.Time, slowness float64) {
	if slowness > 0 && at.After(u.SlownessAt) {
		u.ReportedSlowness, u.SlownessAt = min(max(slowness, minSlowness), maxSlowness), at
	}
}

func (e *Engine) recordSlowness(now time.Time, slowness float64, lastAt time.Time, last float64) {
	e.decay(now)
	e.solved = false
	e.own[sumReports]++
	if slowness >= slowFrom {
		e.own[sumSlow]++
		e.own[sumSlowness] += slowness
	} else {
		e.own[sumUsual] += slowness
	}
	if age := now.Sub(lastAt); last > 0 && age > 0 && age < maxPairAge {
		e.own[sumPairs]++
		e.own[sumPairTime] += age.Seconds()
		if math.Abs(slowness-last) > changedBy*last {
			e.own[sumChanged]++
		}
	}
}

// outlook is how slow a machine will be: with each probability, one slowness.
type outlook struct {
	probability [3]float64
	slowness    [3]float64
	mean        float64
}

// outlook weighs the upstream's last report by its age against the speeds of the service.
func (u *Upstream) outlook(now time.Time, e *Engine) outlook {
	e.solve()
	s := e.speeds
	trust := 0.0
	if u.ReportedSlowness > 0 {
		trust = reportTrust * math.Exp(-s.changes*max(0, now.Sub(u.SlownessAt).Seconds()))
	}
	o := outlook{
		probability: [3]float64{trust, (1 - trust) * (1 - s.slowShare), (1 - trust) * s.slowShare},
		slowness:    [3]float64{u.ReportedSlowness, s.usual, s.slow},
	}
	for i, p := range o.probability {
		o.mean += p * o.slowness[i]
	}
	return o
}

// lateSpread is the width of the transition around a target, as a share of it: neither the
// tokens nor the speed are known exactly.
const lateSpread = 0.12

// exceeds returns the probability that something that takes so long at the usual speed takes
// longer than the target.
func (o outlook) exceeds(ms, target float64) float64 {
	p := 0.0
	for i, probability := range o.probability {
		p += probability / (1 + math.Exp((1-o.slowness[i]*ms/target)/lateSpread))
	}
	return p
}
