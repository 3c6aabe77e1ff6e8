package rollout

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// The judgement is a sequential test that may be looked at at any time. For one
// kind of event and one group of requests, each event (a failure, or an answer
// slower than some time) belongs to the new version with probability
//
//	p(k) = k new / (k new + old)
//
// when the new version's rate is k times the old one's; new and old are the
// numbers of requests. The likelihood ratio of p(k x psi) against p(k) is a
// martingale while the true ratio is k and falls on average while it is smaller,
// so by Ville's inequality it ever exceeds 1/a with probability at most a. The
// weights of all tests of one rollout sum to at most Alpha.
//
// Times are judged at each bin edge: the new version's answers beyond the edge
// above against the old version's answers beyond the edge, which tolerates a
// slowdown by one bin (a factor of 1.26).

// Tolerances: the new version's rate may be this many times the old one's.
const (
	tolerance        = 1.25
	historyTolerance = 2.0
	shift            = 1
	historyShift     = 2
	// Answers of cold upstreams may be 5 times as slow, and coldRate of them may
	// fail.
	coldShift = 7
	coldRate  = 0.35
)

// alternatives are the factors beyond the tolerance that are looked for.
var alternatives = [...]float64{1.5, 2, 3, 6, 16, 100}

var metrics = [...]string{"failures", "crashes", "cut-short", "first-token", "between-tokens", "completion"}

const (
	countMetrics = 3
	tests        = countMetrics + 3*Bins
)

// side holds the judged counts of one version for one route, class and domain.
type side struct {
	Counts
	// exposed counts the runs in which a crash would have been counted. Crashes
	// count during a warm-up as well.
	exposed uint32
	// cold holds the answers of cold upstreams that are not part of Counts.
	cold Counts
}

// pair holds the two versions' counts, for the same requests otherwise.
type pair struct {
	key      Key
	old, new side
}

// ratios holds the logarithms of the likelihood ratios; rows that are not in use
// are zero.
type ratios struct {
	row  [tests][len(alternatives)]float64
	used [tests]bool
}

// group collects the evidence of one or more pairs.
type group struct {
	level                int
	route, class, domain string
	shift                int
	ratios               ratios
	members              []*pair
}

// Levels of groups: all requests, one route and class, one domain, one cell, any
// of these against the old version's counts of the step before, and the new
// version's cold upstreams of a route and class.
const (
	levelAll = iota
	levelRoute
	levelDomain
	levelCell
	levelHistory
	levelCold
	levels
)

// verdict is the result of one judgement.
type verdict struct {
	// excess is the distance of the strongest evidence against the new version
	// from its threshold: bad from 0 on.
	excess, evidence, threshold float64
	group                       *group
	test                        int
}

// worst describes the strongest evidence against the new version.
func (v *verdict) worst() Reason {
	if v.group == nil {
		return Reason{}
	}
	return v.group.reason(v.test, v.evidence, v.threshold)
}

func judge(now time.Time, r *Rollout, e *Evidence) verdict {
	v := verdict{excess: math.Inf(-1)}
	// Half of Alpha goes to the totals and half to the windows, whose weights
	// 1/(w(w+1)) sum to 1.
	budget := math.Log(2*float64(len(r.Rules.Steps))) - math.Log(r.Rules.Alpha)
	v.take(weigh(pairs(now, r, e, e.Total), r), budget)
	if w := float64(e.Window); w > 0 {
		v.take(weigh(pairs(now, r, e, e.Recent), r), budget+math.Log(w*(w+1)))
	}
	return v
}

// pairs matches the counts of both versions. Answers of cold upstreams are left
// out of all but the crashes. They count in full once a step is older than three
// warm-ups and three in four of the new version's answers still come from cold
// upstreams, since a version that never warms up would otherwise go unjudged.
func pairs(now time.Time, r *Rollout, e *Evidence, set Set) []pair {
	var warm, cold uint32
	for k, c := range set {
		if k.Version == r.To && k.Cold {
			cold += c.Runs
		} else if k.Version == r.To {
			warm += c.Runs
		}
	}
	all := cold > 3*warm && now.Sub(r.StepStarted) > 3*r.Rules.Warmup
	index := make(map[Key]int)
	var list []pair
	for _, k := range set.keys() {
		if e.Drained[k.Domain] || (k.Version != r.From && k.Version != r.To) {
			continue
		}
		id := Key{Route: k.Route, Class: k.Class, Domain: k.Domain}
		i, ok := index[id]
		if !ok {
			i = len(list)
			index[id] = i
			list = append(list, pair{key: id})
		}
		s := &list[i].old
		if k.Version == r.To {
			s = &list[i].new
		}
		c := set[k]
		s.exposed += c.Runs
		if k.Cold && !all {
			s.Crashes += c.Crashes
			s.cold.Merge(c)
			continue
		}
		s.Merge(c)
	}
	return list
}

// weigh sorts the pairs into groups and adds up their evidence. Pairs are
// compared one by one before they are added, so that a version that runs mostly
// in a slow domain, or serves mostly a slow route, is not blamed for that.
func weigh(list []pair, r *Rollout) []*group {
	groups := []*group{}
	find := func(level int, route, class, domain string) *group {
		i := slices.IndexFunc(groups, func(g *group) bool {
			return g.level == level && g.route == route && g.class == class && g.domain == domain
		})
		if i >= 0 {
			return groups[i]
		}
		g := &group{level: level, route: route, class: class, domain: domain}
		groups = append(groups, g)
		return g
	}
	var one ratios
	for i := range list {
		p := &list[i]
		k := p.key
		one.compare(p, tolerance, shift)
		for _, g := range []*group{
			find(levelAll, "", "", ""), find(levelRoute, k.Route, k.Class, ""),
			find(levelDomain, "", "", k.Domain), find(levelCell, k.Route, k.Class, k.Domain),
		} {
			g.add(p, &one, shift)
		}
		if p.new.cold.Runs > 0 {
			cold := &pair{key: k, old: p.old, new: side{Counts: p.new.cold}}
			one.compareCold(cold)
			find(levelCold, k.Route, k.Class, "").add(cold, &one, coldShift)
		}
	}
	if r.Share > 0.5 {
		weighHistory(list, r, find)
	}
	return groups
}

// weighHistory compares with the old version's counts of the step before, since
// a large share of the new version leaves few answers of the old one.
func weighHistory(list []pair, r *Rollout, find func(level int, route, class, domain string) *group) {
	var one ratios
	for _, b := range r.Base {
		i := slices.IndexFunc(list, func(p pair) bool {
			return p.key == Key{Route: b.Key.Route, Class: b.Key.Class, Domain: b.Key.Domain}
		})
		if i < 0 {
			continue
		}
		k := list[i].key
		p := &pair{key: k, new: list[i].new, old: side{Counts: b.Counts, exposed: b.Counts.Runs}}
		one.compare(p, historyTolerance, historyShift)
		for _, g := range []*group{
			find(levelHistory, "", "", ""), find(levelHistory, k.Route, k.Class, ""),
			find(levelHistory, k.Route, k.Class, k.Domain),
		} {
			g.add(p, &one, historyShift)
		}
	}
}

// odds holds log(p1/p0) and log((1-p1)/(1-p0)) for each alternative.
type odds [len(alternatives)][2]float64

func newOdds(newRuns, oldRuns uint32, k float64) (odds, bool) {
	var o odds
	if newRuns == 0 || oldRuns == 0 {
		return o, false
	}
	n, m := k*float64(newRuns), float64(oldRuns)
	p0 := n / (n + m)
	for i, psi := range alternatives {
		p1 := psi * n / (psi*n + m)
		o[i] = [2]float64{math.Log(p1 / p0), math.Log((1 - p1) / (1 - p0))}
	}
	return o, true
}

func (t *ratios) compare(p *pair, k float64, shift int) {
	*t = ratios{}
	for i, c := range p.counts() {
		if od, ok := newOdds(c[0], c[1], k); ok {
			t.set(i, &od, c[2], c[3])
		}
	}
	newTimes, oldTimes := p.new.times(), p.old.times()
	for h := range newTimes {
		newBeyond, oldBeyond := beyond(newTimes[h]), beyond(oldTimes[h])
		od, ok := newOdds(newBeyond[0], oldBeyond[0], 1)
		if !ok {
			continue
		}
		for b := 1; b+shift < Bins && newBeyond[b+shift] > 0; b++ {
			t.set(countMetrics+h*Bins+b, &od, newBeyond[b+shift], oldBeyond[b])
		}
	}
}

// compareCold tests the failures of cold upstreams against a fixed rate, since a
// cold upstream may fail much more often than a warm one, and their times with a
// wide tolerance.
func (t *ratios) compareCold(p *pair) {
	var times pair
	times.new.First, times.new.Between, times.new.Complete = p.new.First, p.new.Between, p.new.Complete
	times.old.First, times.old.Between, times.old.Complete = p.old.First, p.old.Between, p.old.Complete
	t.compare(&times, 1, coldShift)
	failed, good := float64(p.new.Failures), float64(p.new.Runs-p.new.Failures)
	t.used[0] = true
	for j := range alternatives {
		p1 := coldRate + (1-coldRate)*float64(j+1)/float64(len(alternatives)+1)
		t.row[0][j] = failed*math.Log(p1/coldRate) + good*math.Log((1-p1)/(1-coldRate))
	}
}

func (t *ratios) set(i int, o *odds, newEvents, oldEvents uint32) {
	if newEvents == 0 && oldEvents == 0 {
		return
	}
	t.used[i] = true
	for j := range o {
		t.row[i][j] = float64(newEvents)*o[j][0] + float64(oldEvents)*o[j][1]
	}
}

func (c *Counts) times() [3]*Times { return [3]*Times{&c.First, &c.Between, &c.Complete} }

// beyond returns for each bin the number of times in it and above.
func beyond(t *Times) [Bins]uint32 {
	var sum [Bins]uint32
	var n uint32
	for i := Bins - 1; i >= 0; i-- {
		n += t[i]
		sum[i] = n
	}
	return sum
}

func (g *group) add(p *pair, one *ratios, shift int) {
	g.shift = shift
	g.members = append(g.members, p)
	for i, used := range one.used {
		if !used {
			continue
		}
		g.ratios.used[i] = true
		for j := range one.row[i] {
			g.ratios.row[i][j] += one.row[i][j]
		}
	}
}

// count returns, for one test, the events and the answers in which they could
// have been seen, of the new and the old version.
func (g *group) count(test int) (c [4]uint32) {
	for _, p := range g.members {
		var one [4]uint32
		switch {
		case test < countMetrics:
			one = p.counts()[test]
		default:
			h, b := (test-countMetrics)/Bins, (test-countMetrics)%Bins
			newBeyond, oldBeyond := beyond(p.new.times()[h]), beyond(p.old.times()[h])
			one = [4]uint32{newBeyond[0], oldBeyond[0], newBeyond[b+g.shift], oldBeyond[b]}
		}
		for i := range c {
			c[i] += one[i]
		}
	}
	return c
}

// counts returns for each count metric the numbers of answers in which an event
// could have been seen and the numbers of events, of the new and the old version.
func (p *pair) counts() [countMetrics][4]uint32 {
	n, o := &p.new, &p.old
	return [countMetrics][4]uint32{
		{n.Runs, o.Runs, n.Failures, o.Failures},
		{n.exposed, o.exposed, n.Crashes, o.Crashes},
		{n.Runs, o.Runs, n.Cut, o.Cut},
	}
}

// take compares each group's evidence with its part of the error budget. The
// largest weighted ratio is used in place of the sum of all, which can only
// delay the verdict.
func (v *verdict) take(groups []*group, budget float64) {
	var sizes [levels]int
	for _, g := range groups {
		sizes[g.level]++
	}
	for _, g := range groups {
		base := budget + math.Log(float64(levels*sizes[g.level]*len(metrics)*len(alternatives)))
		for i, used := range g.ratios.used {
			if !used {
				continue
			}
			threshold := base
			if i >= countMetrics {
				threshold += math.Log(Bins)
			}
			best := slices.Max(g.ratios.row[i][:])
			if best > 0 && best-threshold > v.excess {
				v.excess, v.group, v.test, v.evidence, v.threshold = best-threshold, g, i, best, threshold
			}
		}
	}
}

func (g *group) reason(i int, evidence, threshold float64) Reason {
	m, what := i, ""
	if i >= countMetrics {
		m = countMetrics + (i-countMetrics)/Bins
		edge := math.Exp2(float64((i-countMetrics)%Bins-1) / binsPerOctave)
		what = fmt.Sprintf(" beyond %.3g ms", edge)
	}
	c := g.count(i)
	reason := Reason{
		Code: CodeWorse, Metric: metrics[m], Route: g.route, Class: g.class, Domain: g.domain,
		New: rate(c[2], c[0]), Old: rate(c[3], c[1]), Evidence: evidence, Threshold: threshold,
	}
	against := ""
	switch g.level {
	case levelHistory:
		against = " in the step before"
	case levelCold:
		against = ", new upstreams in their warm-up"
	}
	reason.Text = fmt.Sprintf("%s%s: new %d of %d, old %d of %d%s", metrics[m], what, c[2], c[0], c[3], c[1], against)
	return reason
}
