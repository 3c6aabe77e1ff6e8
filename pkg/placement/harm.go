package placement

import "time"

const (
	// partHarm is the cost of a request outside its part, as a share of a late stream: a long
	// prompt that comes later would stop its stream, or its own prompt those that come.
	partHarm = 0.3
	// longHarm is the probability of stopping a stream beside it for too long from which a
	// prompt counts as long.
	longHarm = 0.05
	// partSampleSize is the number of upstreams that a long prompt compares in the part for
	// long ones, and outsideSampleSize the number outside the own part that any prompt compares.
	partSampleSize    = 10
	outsideSampleSize = 2
)

// Targets are the times within which callers expect an answer.
type Targets struct {
	// FirstEvent is the request's target for the time to its first event, from now on.
	FirstEvent time.Duration
	// Gap is the target of the service's streams for the time between two events; zero if
	// there is none.
	Gap time.Duration
}

// weighsHarm reports whether the choice weighs what a prompt does to the streams beside it.
func (o Options) weighsHarm(r Request) bool {
	return o.Engine != nil && o.Targets.Gap > 0 && r.PromptTokens > 0
}

// Long reports whether a prompt is long: the streams that run beside it at an upstream whose
// speed is not known may pause for longer than their target. It counts what the preferred upstream
// of the session has to read, so that all nodes and upstreams agree on it.
func (o Options) Long(r Request) bool {
	if !o.weighsHarm(r) {
		return false
	}
	costs, outlook := o.Engine.Costs(), (&Upstream{}).outlook(time.Time{}, o.Engine)
	uncached := r.uncachedTokens(1)
	return o.Engine.pausingShare()*outlook.exceeds(costs.EventMs+costs.ReadMs(uncached), millis(o.Targets.Gap)) >= longHarm
}

// estimate returns the expected time to the first event on the upstream at this moment.
func (u *Upstream) estimate(now time.Time, o Options, uncached float64) float64 {
	costs := o.Engine.Costs()
	ms := u.outlook(now, o.Engine).mean * (costs.BaseMs + costs.ReadMs(u.waitingTokens(now, o)) + costs.ReadMs(uncached))
	if o.Connected != nil && !o.Connected(u.Address) {
		ms += connectDelayMs
	}
	return ms
}

// harm returns how many streams the prompt is expected to make late: its own by its first event,
// and those that run on the upstream by a pause. What makes them late without it does not count.
// cachedShare is the probability that the upstream has read the shared part of the prompt.
func (u *Upstream) harm(now time.Time, r Request, o Options, cachedShare float64) float64 {
	late := o.Engine.pausingShare() * u.pauses(now, r, o, cachedShare)
	if first := millis(o.Targets.FirstEvent); first > 0 {
		costs, outlook := o.Engine.Costs(), u.outlook(now, o.Engine)
		before := costs.BaseMs + costs.ReadMs(u.waitingTokens(now, o))
		late += cachedShare * outlook.exceeds(before+costs.ReadMs(r.uncachedTokens(1)), first)
		late += (1 - cachedShare) * outlook.exceeds(before+costs.ReadMs(r.uncachedTokens(0)), first)
	}
	if o.partEnd > 0 && (u.Order() <= o.partEnd) != o.long {
		late += partHarm
	}
	return late
}

// pauses returns how many of the streams on the upstream the time of reading the prompt would make
// pause for too long.
func (u *Upstream) pauses(now time.Time, r Request, o Options, cachedShare float64) float64 {
	costs, outlook, gap := o.Engine.Costs(), u.outlook(now, o.Engine), millis(o.Targets.Gap)
	before := costs.EventMs + costs.ReadMs(u.waitingTokens(now, o))
	return float64(u.streams()) * (cachedShare*outlook.exceeds(before+costs.ReadMs(r.uncachedTokens(1)), gap) +
		(1-cachedShare)*outlook.exceeds(before+costs.ReadMs(r.uncachedTokens(0)), gap) - outlook.exceeds(before, gap))
}

// streams returns the number of streams that have begun on the upstream.
func (u *Upstream) streams() int { return u.Streams + u.OtherNodesStreams }

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
