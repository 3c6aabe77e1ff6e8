package rollout

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Versions are compared by a sequential probability ratio test, which stays valid
// when it is evaluated after every report. For one kind of event (a failure, or an
// answer slower than a limit) and one group of requests, an event belongs to the new
// version with probability
//
//	p(k) = k new / (k new + old)
//
// if the new version's event rate is k times the old version's, where new and old are
// the numbers of requests. The likelihood ratio of p(k x psi) against p(k), for an
// alternative psi > 1, is a martingale if the true rate ratio is k, and a
// supermartingale if it is smaller. By Ville's inequality, the probability that it ever
// exceeds 1/a is at most a. The error probabilities of all tests of one rollout sum to
// at most Alpha.
//
// Durations are tested at each histogram bucket boundary: the new version's answers
// above the next boundary are compared with the old version's answers above this
// one, which tolerates a slowdown by one bucket (a factor of 1.26).

// The tolerances are the ratio of the new version's event rate to the old version's
// up to which the new version is acceptable. The shifts are the tolerated slowdown in
// histogram buckets.
const (
	tolerance         = 1.25
	baselineTolerance = 2.0
	bucketShift       = 1
	baselineShift     = 2
	// Answers of cold upstreams may take 5 times as long, and a fraction of
	// coldFailureRate of them may fail.
	coldShift       = 7
	coldFailureRate = 0.35
)

// alternatives are the rate ratios, as multiples of the tolerance, that the tests are
// designed to detect.
var alternatives = [...]float64{1.5, 2, 3, 6, 16, 100}

var metrics = [...]string{"failures", "crashes", "cut-short", "first-token", "between-tokens", "completion"}

const (
	// numCountMetrics is the number of metrics that count events. The other metrics are
	// histograms, with one test per bucket.
	numCountMetrics = 3
	numTests        = numCountMetrics + 3*Buckets
)

// sample holds the counts of one version for one route, class and failure domain.
type sample struct {
	Counts
	// exposed counts the requests in which a crash would have been counted, including
	// requests of cold upstreams.
	exposed uint32
	// coldCounts holds the answers of cold upstreams, which are not part of Counts.
	coldCounts Counts
}

// stratum holds the counts of both versions for one route, class and failure domain.
type stratum struct {
	key      Key
	old, new sample
}

// logRatios holds the log-likelihood ratios of each test and alternative. Rows of
// unused tests are zero.
type logRatios struct {
	row  [numTests][len(alternatives)]float64
	used [numTests]bool
}

// group accumulates the evidence of one or more strata.
type group struct {
	level                int
	route, class, domain string
	shift                int
	logRatios            logRatios
	strata               []*stratum
}

// Levels of groups: all requests; one route and class; one failure domain; one
// stratum; all requests, one route and class or one stratum compared with the old
// version's counts of the previous step; and the new version's cold upstreams for one
// route and class.
const (
	levelAll = iota
	levelRoute
	levelDomain
	levelStratum
	levelBaseline
	levelCold
	numLevels
)

// verdict is the result of comparing the two versions.
type verdict struct {
	// excess is the strongest evidence against the new version minus its threshold.
	// The new version is bad if it is at least 0.
	excess, evidence, threshold float64
	group                       *group
	test                        int
}

// strongestReason describes the strongest evidence against the new version.
func (v *verdict) strongestReason() Reason {
	if v.group == nil {
		return Reason{}
	}
	return v.group.reason(v.test, v.evidence, v.threshold)
}

// judge compares the versions by the totals of the step and by the recent window, and
// returns the strongest evidence against the new version.
func judge(now time.Time, r *Rollout, e *Evidence) verdict {
	v := verdict{excess: math.Inf(-1)}
	// Half of Alpha is spent on the totals and half on the recent windows, whose
	// weights 1/(w(w+1)) sum to 1.
	baseThreshold := math.Log(2*float64(len(r.Rules.Steps))) - math.Log(r.Rules.Alpha)
	v.update(groupEvidence(stratify(now, r, e, e.Total), r), baseThreshold)
	if w := float64(e.WindowsPassed); w > 0 {
		v.update(groupEvidence(stratify(now, r, e, e.Recent), r), baseThreshold+math.Log(w*(w+1)))
	}
	return v
}

// stratify groups the counts of both versions by route, class and failure domain.
// Answers of cold upstreams count only for crashes; compareCold tests those of the new
// version separately. They count in full once a step has run for more than three
// warm-up times and more than three quarters of the new version's answers still come
// from cold upstreams, since a version that never warms up would otherwise not be
// compared.
func stratify(now time.Time, r *Rollout, e *Evidence, set CountSet) []stratum {
	var warm, cold uint32
	for k, c := range set {
		if k.Version == r.To && k.Cold {
			cold += c.Requests
		} else if k.Version == r.To {
			warm += c.Requests
		}
	}
	countCold := cold > 3*warm && now.Sub(r.StepStarted) > 3*r.Rules.Warmup
	index := make(map[Key]int)
	var strata []stratum
	for _, k := range set.sortedKeys() {
		if e.DrainedDomains[k.Domain] || (k.Version != r.From && k.Version != r.To) {
			continue
		}
		id := Key{Route: k.Route, Class: k.Class, Domain: k.Domain}
		i, ok := index[id]
		if !ok {
			i = len(strata)
			index[id] = i
			strata = append(strata, stratum{key: id})
		}
		target := &strata[i].old
		if k.Version == r.To {
			target = &strata[i].new
		}
		c := set[k]
		target.exposed += c.Requests
		if k.Cold && !countCold {
			target.Crashes += c.Crashes
			target.coldCounts.Merge(c)
			continue
		}
		target.Merge(c)
	}
	return strata
}

// groupEvidence adds up the evidence of the strata in each group. Versions are
// compared within each stratum, so that a version that runs mostly in a slow failure
// domain, or mostly serves a slow route, is not judged bad for that reason.
func groupEvidence(strata []stratum, r *Rollout) []*group {
	groups := []*group{}
	findGroup := func(level int, route, class, domain string) *group {
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
	var ratios logRatios
	for i := range strata {
		s := &strata[i]
		k := s.key
		ratios.compare(s, tolerance, bucketShift)
		for _, g := range []*group{
			findGroup(levelAll, "", "", ""), findGroup(levelRoute, k.Route, k.Class, ""),
			findGroup(levelDomain, "", "", k.Domain), findGroup(levelStratum, k.Route, k.Class, k.Domain),
		} {
			g.add(s, &ratios, bucketShift)
		}
		if s.new.coldCounts.Requests > 0 {
			cold := &stratum{key: k, old: s.old, new: sample{Counts: s.new.coldCounts}}
			ratios.compareCold(cold)
			findGroup(levelCold, k.Route, k.Class, "").add(cold, &ratios, coldShift)
		}
	}
	if r.Share > 0.5 {
		addBaselineEvidence(strata, r, findGroup)
	}
	return groups
}

// addBaselineEvidence adds comparisons with the old version's counts of the previous
// step, since the old version has few answers while the new one has a large share.
func addBaselineEvidence(strata []stratum, r *Rollout, findGroup func(level int, route, class, domain string) *group) {
	var ratios logRatios
	for _, b := range r.Baseline {
		i := slices.IndexFunc(strata, func(s stratum) bool {
			return s.key == Key{Route: b.Key.Route, Class: b.Key.Class, Domain: b.Key.Domain}
		})
		if i < 0 {
			continue
		}
		k := strata[i].key
		s := &stratum{key: k, new: strata[i].new, old: sample{Counts: b.Counts, exposed: b.Counts.Requests}}
		ratios.compare(s, baselineTolerance, baselineShift)
		for _, g := range []*group{
			findGroup(levelBaseline, "", "", ""), findGroup(levelBaseline, k.Route, k.Class, ""),
			findGroup(levelBaseline, k.Route, k.Class, k.Domain),
		} {
			g.add(s, &ratios, baselineShift)
		}
	}
}

// eventWeights holds, for each alternative, the log-likelihood ratio that one event
// contributes: log(p1/p0) for an event of the new version and log((1-p1)/(1-p0)) for
// one of the old version.
type eventWeights [len(alternatives)][2]float64

func newEventWeights(newRequests, oldRequests uint32, toleratedRatio float64) (eventWeights, bool) {
	var weights eventWeights
	if newRequests == 0 || oldRequests == 0 {
		return weights, false
	}
	n, m := toleratedRatio*float64(newRequests), float64(oldRequests)
	p0 := n / (n + m)
	for i, psi := range alternatives {
		p1 := psi * n / (psi*n + m)
		weights[i] = [2]float64{math.Log(p1 / p0), math.Log((1 - p1) / (1 - p0))}
	}
	return weights, true
}

// compare sets the log-likelihood ratios of all tests for one stratum.
func (l *logRatios) compare(s *stratum, toleratedRatio float64, shift int) {
	*l = logRatios{}
	for i, c := range s.eventCounts() {
		if weights, ok := newEventWeights(c[0], c[1], toleratedRatio); ok {
			l.setTest(i, &weights, c[2], c[3])
		}
	}
	newHistograms, oldHistograms := s.new.histograms(), s.old.histograms()
	for h := range newHistograms {
		newTail, oldTail := tailCounts(newHistograms[h]), tailCounts(oldHistograms[h])
		weights, ok := newEventWeights(newTail[0], oldTail[0], 1)
		if !ok {
			continue
		}
		for b := 1; b+shift < Buckets && newTail[b+shift] > 0; b++ {
			l.setTest(numCountMetrics+h*Buckets+b, &weights, newTail[b+shift], oldTail[b])
		}
	}
}

// compareCold tests the failures of the new version's cold upstreams against a fixed
// rate, since a cold upstream may fail much more often than a warm one, and their
// durations with a large tolerance.
func (l *logRatios) compareCold(s *stratum) {
	var durations stratum
	durations.new.TimeToFirstToken, durations.new.InterTokenLatency, durations.new.CompletionTime = s.new.TimeToFirstToken,
		s.new.InterTokenLatency, s.new.CompletionTime
	durations.old.TimeToFirstToken, durations.old.InterTokenLatency, durations.old.CompletionTime = s.old.TimeToFirstToken,
		s.old.InterTokenLatency, s.old.CompletionTime
	l.compare(&durations, 1, coldShift)
	failed, good := float64(s.new.Failures), float64(s.new.Requests-s.new.Failures)
	l.used[0] = true
	for j := range alternatives {
		p1 := coldFailureRate + (1-coldFailureRate)*float64(j+1)/float64(len(alternatives)+1)
		l.row[0][j] = failed*math.Log(p1/coldFailureRate) + good*math.Log((1-p1)/(1-coldFailureRate))
	}
}

// setTest sets the log-likelihood ratios of one test from its numbers of events.
func (l *logRatios) setTest(i int, weights *eventWeights, newEvents, oldEvents uint32) {
	if newEvents == 0 && oldEvents == 0 {
		return
	}
	l.used[i] = true
	for j := range weights {
		l.row[i][j] = float64(newEvents)*weights[j][0] + float64(oldEvents)*weights[j][1]
	}
}

func (c *Counts) histograms() [3]*Histogram {
	return [3]*Histogram{&c.TimeToFirstToken, &c.InterTokenLatency, &c.CompletionTime}
}

// tailCounts returns, for each bucket, the number of durations in this and all higher
// buckets.
func tailCounts(h *Histogram) [Buckets]uint32 {
	var sum [Buckets]uint32
	var n uint32
	for i := Buckets - 1; i >= 0; i-- {
		n += h[i]
		sum[i] = n
	}
	return sum
}

// add adds a stratum and its log-likelihood ratios to the group.
func (g *group) add(s *stratum, ratios *logRatios, shift int) {
	g.shift = shift
	g.strata = append(g.strata, s)
	for i, used := range ratios.used {
		if !used {
			continue
		}
		g.logRatios.used[i] = true
		for j := range ratios.row[i] {
			g.logRatios.row[i][j] += ratios.row[i][j]
		}
	}
}

// eventCounts returns, for one test, the numbers of answers in which an event could
// have been observed and the numbers of events, each for the new and the old version.
func (g *group) eventCounts(test int) (c [4]uint32) {
	for _, s := range g.strata {
		var counts [4]uint32
		switch {
		case test < numCountMetrics:
			counts = s.eventCounts()[test]
		default:
			h, b := (test-numCountMetrics)/Buckets, (test-numCountMetrics)%Buckets
			newTail, oldTail := tailCounts(s.new.histograms()[h]), tailCounts(s.old.histograms()[h])
			counts = [4]uint32{newTail[0], oldTail[0], newTail[b+g.shift], oldTail[b]}
		}
		for i := range c {
			c[i] += counts[i]
		}
	}
	return c
}

// eventCounts returns, for each count metric, the numbers of answers in which an event
// could have been observed and the numbers of events, each for the new and the old
// version.
func (s *stratum) eventCounts() [numCountMetrics][4]uint32 {
	n, o := &s.new, &s.old
	return [numCountMetrics][4]uint32{
		{n.Requests, o.Requests, n.Failures, o.Failures},
		{n.exposed, o.exposed, n.Crashes, o.Crashes},
		{n.Requests, o.Requests, n.Truncated, o.Truncated},
	}
}

// update compares the evidence of each group with its threshold: baseThreshold, raised
// according to the number of tests that share the error probability. It uses the largest
// weighted likelihood ratio instead of the sum of all, which can only delay detection.
func (v *verdict) update(groups []*group, baseThreshold float64) {
	var groupsPerLevel [numLevels]int
	for _, g := range groups {
		groupsPerLevel[g.level]++
	}
	for _, g := range groups {
		groupThreshold := baseThreshold + math.Log(float64(numLevels*groupsPerLevel[g.level]*len(metrics)*len(alternatives)))
		for i, used := range g.logRatios.used {
			if !used {
				continue
			}
			threshold := groupThreshold
			if i >= numCountMetrics {
				threshold += math.Log(Buckets)
			}
			best := slices.Max(g.logRatios.row[i][:])
			if best > 0 && best-threshold > v.excess {
				v.excess, v.group, v.test, v.evidence, v.threshold = best-threshold, g, i, best, threshold
			}
		}
	}
}

func (g *group) reason(test int, evidence, threshold float64) Reason {
	metric, limit := test, ""
	if test >= numCountMetrics {
		metric = numCountMetrics + (test-numCountMetrics)/Buckets
		edge := math.Exp2(float64((test-numCountMetrics)%Buckets-1) / bucketsPerOctave)
		limit = fmt.Sprintf(" beyond %.3g ms", edge)
	}
	counts := g.eventCounts(test)
	reason := Reason{
		Code: CodeWorse, Metric: metrics[metric], Route: g.route, Class: g.class, Domain: g.domain,
		NewRate: rate(counts[2], counts[0]), OldRate: rate(counts[3], counts[1]),
		LogLikelihoodRatio: evidence, Threshold: threshold,
	}
	suffix := ""
	switch g.level {
	case levelBaseline:
		suffix = " in the step before"
	case levelCold:
		suffix = ", new upstreams in their warm-up"
	}
	reason.Text = fmt.Sprintf("%s%s: new %d of %d, old %d of %d%s",
		metrics[metric], limit, counts[2], counts[0], counts[3], counts[1], suffix)
	return reason
}
