package placement

import (
	"math"
	"time"
)

const (
	// upstreamsPerLong is the number of upstreams in the part for long prompts for each open
	// request with one.
	upstreamsPerLong = 0.7
	// maxPartShare is the largest share of the upstreams in that part, and maxRestLoad the
	// largest share of the slots of the others that may be taken by the other requests.
	maxPartShare = 0.6
	maxRestLoad  = 0.5
	// partSmoothing is the time over which open requests are averaged.
	partSmoothing = 4 * time.Second
	// partHysteresis is the share by which the size of the part must be off to be changed.
	partHysteresis = 0.15
	// minPartUpstreams is the number of upstreams from which a service has such a part.
	minPartUpstreams = 4
)

// PartSize is the size of the part of a service's upstreams that serves long prompts: the first ones
// in an order that all nodes share. It follows the open requests of all nodes.
type PartSize struct {
	long, open float64
	updatedAt  time.Time
	size       int
}

// Update returns the size of the part, by the open requests with a long prompt and all open
// requests on this many upstreams.
func (p *PartSize) Update(now time.Time, long, open, upstreams, slots int) int {
	weight := 1.0
	if !p.updatedAt.IsZero() {
		weight = 1 - math.Exp(-max(0, now.Sub(p.updatedAt).Seconds())/partSmoothing.Seconds())
	}
	p.updatedAt = now
	p.long += weight * (float64(long) - p.long)
	p.open += weight * (float64(open) - p.open)
	n := float64(upstreams)
	want := min(p.long*upstreamsPerLong, n*maxPartShare, n-(p.open-p.long)/(maxRestLoad*float64(max(1, slots))))
	if upstreams < minPartUpstreams {
		want = 0
	}
	if math.Abs(want-float64(p.size)) > max(0.6, partHysteresis*float64(p.size)) {
		p.size = int(max(0, math.Round(want)))
	}
	p.size = min(p.size, int(n*maxPartShare))
	return p.size
}

// Order returns the place of an upstream in the order that all nodes share.
func (u *Upstream) Order() uint64 { return fmix64(u.hash() + 1) }

// part returns the candidates that serve the request before others do; never none.
func (o Options) part(candidates []*Upstream) []*Upstream {
	switch {
	case o.LongPart <= 0 || o.LongPart >= len(candidates):
		return candidates
	case o.long:
		return candidates[:o.LongPart]
	}
	return candidates[o.LongPart:]
}
