package placement

import (
	"math"
	"time"
)

const (
	// costMemory is the half-life of what was learnt of an engine: upstreams of a new version
	// may cost something else.
	costMemory = 30 * time.Second
	// priorWeight is the number of answers that the prior of the costs counts for.
	priorWeight = 4.0
	// Prior of the costs: engines in use read 50 to 85 tokens per millisecond.
	priorBaseMs  = 10.0
	priorTokenMs = 1 / 70.0
	priorPairMs  = 0.2e-6
	priorEventMs = 30.0
	// priorPauses is the number of expected pauses, all of which came, that the prior counts for.
	priorPauses = 5.0
	// minCachedRatio is how much longer a prompt must take without its cached part for the time
	// to tell whether it was cached.
	minCachedRatio = 1.5
	// residualShare is the share of the expected time by which an answer may differ before its
	// weight falls: what other nodes sent is not all known, and neither are cached parts.
	residualShare = 0.3
	// longestGapFactor is the multiple of the expected time between events beyond which an
	// interval counts as a pause.
	longestGapFactor = 3.0
)

// Costs is what an engine of a service takes at the usual speed of its machine.
type Costs struct {
	// BaseMs is the time to the first event that does not depend on the prompt, TokenMs the
	// time for each uncached prompt token, and PairMs the further time for each pair of them:
	// the later tokens of a long prompt take longer.
	BaseMs, TokenMs, PairMs float64
	// EventMs is the time between two events while no prompt is read.
	EventMs float64
}

// ReadMs returns how long the engine reads a prompt with this many uncached tokens.
func (c Costs) ReadMs(tokens float64) float64 { return tokens * (c.TokenMs + tokens*c.PairMs) }

// Indexes of sums. Sums of nodes are added up, and only grow at the end: a release that does
// not know the last ones leaves them out.
const (
	sumWeight = iota // answers, weighted by the inverse square of the expected time
	sumTokens        // their tokens, in thousands, and the powers of these
	sumTokens2
	sumTokens3
	sumTokens4
	sumMs // their milliseconds, and the products with the tokens
	sumMsTokens
	sumMsTokens2
	sumStreams  // streams whose intervals were measured
	sumInterval // their mean intervals
	sumReports  // reports of slowness
	sumSlow     // those that were slow
	sumSlowness // the slowness of these
	sumUsual    // the slowness of the others
	sumPairs    // pairs of successive reports of one upstream
	sumChanged  // those that differ
	sumPairTime // the seconds between them
	sumFirst    // answers of the first preferred upstreams of sessions, and those that had read
	sumFirstCached
	sumSecond // of the second ones
	sumSecondCached
	sumOther // of others
	sumOtherCached
	sumExpected // streams that choices expected to pause for too long, and those that did
	sumPaused
	sumCount
)

// Engine learns the costs of a service's engines and the speeds of their machines from answers.
// What nodes have learnt can be added up. The zero value knows the prior.
type Engine struct {
	own    [sumCount]float64
	others [sumCount]float64
	at     time.Time
	costs  Costs
	speeds speeds
	// cached is the probability that an upstream has read the shared part of a prompt, by its
	// rank for the session.
	cached [3]float64
	// pausing is the share of the expected pauses that there were. Engines that read little of a
	// prompt between two events stop no stream for long.
	pausing float64
	solved  bool
}

// decay lets what was learnt count less.
func (e *Engine) decay(now time.Time) {
	if passed := now.Sub(e.at); !e.at.IsZero() && passed > 0 {
		f := math.Exp2(-passed.Seconds() / costMemory.Seconds())
		for i := range e.own {
			e.own[i] *= f
		}
	}
	e.at = now
}

// Costs returns what the engine costs by the answers so far.
func (e *Engine) Costs() Costs {
	e.solve()
	return e.costs
}

// RecordAnswer records the time from sending a request to its first event, at an upstream of this
// slowness. It learns nothing if the upstream had other prompts to read.
func (e *Engine) RecordAnswer(now time.Time, choice Choice, took time.Duration, slowness float64) {
	if !choice.Alone || choice.request.PromptTokens == 0 {
		return
	}
	e.decay(now)
	ms := millis(took) / slowness
	c := e.Costs()
	tokens, expected := choice.request.uncachedTokens(1), 0.0
	if shared, _ := choice.request.SharedPrefix(); shared > 0 {
		// Whether the upstream had read the shared part follows from the time that is nearer.
		least, most := c.BaseMs+c.ReadMs(tokens), c.BaseMs+c.ReadMs(float64(choice.request.PromptTokens))
		cached := ms*ms < least*most
		if most > minCachedRatio*least {
			i := sumFirst + 2*choice.rank
			e.own[i]++
			if cached {
				e.own[i+1]++
			}
		}
		if !cached {
			tokens = float64(choice.request.PromptTokens)
		}
	}
	expected = c.BaseMs + c.ReadMs(tokens)
	k := tokens / 1000
	off := (ms - expected) / (residualShare * expected)
	weight := 1 / (expected * expected) / (1 + off*off)
	for i, power := range [...]float64{1, k, k * k, k * k * k, k * k * k * k} {
		e.own[sumWeight+i] += weight * power
	}
	for i, power := range [...]float64{1, k, k * k} {
		e.own[sumMs+i] += weight * power * ms
	}
	e.solved = false
}

// RecordIntervals records the mean interval between the events of a stream, but for its longest
// pause.
func (e *Engine) RecordIntervals(now time.Time, mean time.Duration) {
	e.decay(now)
	ms := float64(mean) / float64(time.Millisecond)
	if c := e.Costs(); ms > 0 && ms < longestGapFactor*c.EventMs {
		e.own[sumStreams]++
		e.own[sumInterval] += ms
		e.solved = false
	}
}

// RecordPaused records that a stream has paused for longer than its target because its upstream sent
// nothing.
func (e *Engine) RecordPaused(now time.Time) {
	e.decay(now)
	e.own[sumPaused]++
	e.solved = false
}

// recordExpected records how many streams a choice expected to pause for too long.
func (e *Engine) recordExpected(now time.Time, streams float64) {
	e.decay(now)
	e.own[sumExpected] += max(0, streams)
	e.solved = false
}

// pausingShare returns the share of the pauses expected by the time that a prompt is read that
// come.
func (e *Engine) pausingShare() float64 {
	e.solve()
	return e.pausing
}

// Sums returns what this node has learnt, to be added to that of other nodes.
func (e *Engine) Sums(now time.Time) []float64 {
	e.decay(now)
	return append([]float64(nil), e.own[:]...)
}

// SetOthers sets what the other nodes have learnt together. Sums of a later release may be
// longer; values that cannot be sums are dropped.
func (e *Engine) SetOthers(sums []float64) {
	e.others, e.solved = [sumCount]float64{}, false
	for i := range min(len(sums), sumCount) {
		if v := sums[i]; v >= 0 && !math.IsInf(v, 0) {
			e.others[i] = v
		}
	}
}

// solve computes the costs from the sums, by least squares with the prior as further answers.
func (e *Engine) solve() {
	if e.solved {
		return
	}
	e.solved = true
	var s [sumCount]float64
	for i := range s {
		s[i] = e.own[i] + e.others[i]
	}
	prior := Costs{priorBaseMs, priorTokenMs, priorPairMs, priorEventMs}
	for _, k := range [...]float64{0.2, 1, 5, 20} {
		ms := prior.BaseMs + prior.ReadMs(1000*k)
		weight := priorWeight / 4 / (ms * ms)
		for i, power := range [...]float64{1, k, k * k, k * k * k, k * k * k * k} {
			s[sumWeight+i] += weight * power
		}
		for i, power := range [...]float64{1, k, k * k} {
			s[sumMs+i] += weight * power * ms
		}
	}
	base, token, pair := leastSquares(s)
	if pair < 0 || token <= 0 || base < 0 {
		// Noise: no part of the time can be negative. The prior's shape, at the measured scale.
		scale := s[sumMs] / (prior.BaseMs*s[sumWeight] + prior.TokenMs*1000*s[sumTokens] + prior.PairMs*1e6*s[sumTokens2])
		base, token, pair = prior.BaseMs*scale, prior.TokenMs*1000*scale, prior.PairMs*1e6*scale
	}
	e.costs = Costs{base, token / 1000, pair / 1e6, (s[sumInterval] + prior.EventMs*priorWeight) / (s[sumStreams] + priorWeight)}
	e.speeds = speedsOf(s)
	e.pausing = min(1, (s[sumPaused]+priorPauses)/(s[sumExpected]+priorPauses))
	for rank, prior := range priorCached {
		i := sumFirst + 2*rank
		e.cached[rank] = (s[i+1] + prior*priorWeight) / (s[i] + priorWeight)
	}
}

// priorCached is the prior of Engine.cached. Long prompts leave a first preferred upstream to its
// streams, so that the second one is seldom asked twice for a session.
var priorCached = [...]float64{1, 0.2, 0}

// cachedShare returns the share of the shared part of a prompt that an upstream of this rank for the
// session is expected to have read.
func (e *Engine) cachedShare(rank int) float64 {
	e.solve()
	return e.cached[rank]
}

// leastSquares returns the coefficients of a constant, a linear and a square term.
func leastSquares(s [sumCount]float64) (constant, linear, square float64) {
	a := [3][4]float64{
		{s[sumWeight], s[sumTokens], s[sumTokens2], s[sumMs]},
		{s[sumTokens], s[sumTokens2], s[sumTokens3], s[sumMsTokens]},
		{s[sumTokens2], s[sumTokens3], s[sumTokens4], s[sumMsTokens2]},
	}
	for i := range a { // the matrix is positive definite, so that no pivot is zero
		for j := i + 1; j < len(a); j++ {
			f := a[j][i] / a[i][i]
			for k := i; k < len(a[j]); k++ {
				a[j][k] -= f * a[i][k]
			}
		}
	}
	square = a[2][3] / a[2][2]
	linear = (a[1][3] - a[1][2]*square) / a[1][1]
	constant = (a[0][3] - a[0][1]*linear - a[0][2]*square) / a[0][0]
	return constant, linear, square
}
