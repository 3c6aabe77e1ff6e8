package routing

import "time"

// judgeTime is how long after a load report late answers of the requests that it
// counted may become known. It covers the usual first-token target.
const judgeTime = 1200 * time.Millisecond

// proof gathers evidence that answers were good while the whole limit was in use.
// Holes that nobody noticed would let the limit rise on answers that were given at
// a lower load. There are two ways, and both survive lost reports: the nodes report
// full use before and after the answers; or the upstream's own load report shows
// full use and no late answer becomes known afterwards. The first is quicker but
// never comes about when there are fewer slots than nodes.
type proof struct {
	generation uint64
	// since is when the generation began, as far as this owner saw.
	since time.Time
	// good counts good answers since the last time that all nodes had reported, and
	// waiting those before, until all nodes have reported again.
	good, waiting int
	// total counts good answers of the generation since the last late one.
	total int
	// full is when a load report younger than since showed full use.
	full time.Time
}

func (p *proof) restart(now time.Time, generation uint64) {
	if p.generation != generation {
		*p = proof{generation: generation, since: now}
	}
}

func (p *proof) load(now time.Time, load int, l *limiter, lag time.Duration) {
	p.restart(now, l.generation)
	if p.full.IsZero() && load >= l.limit && now.Sub(p.since) >= lag {
		p.full = now
	}
}

// learn takes a node's evidence.
func (r *record) learn(now time.Time, from *peer, e Evidence) {
	from.fresh = true
	r.proof.restart(now, r.limiter.generation)
	if e.Generation == r.limiter.generation {
		r.proof.total += e.Good
	}
	if e.Slow > 0 {
		r.proof.total, r.proof.full = 0, time.Time{}
	}
	confirmed := max(r.reported(e), r.loaded())
	r.limiter.learn(e, confirmed)
	if r.limiter.generation != r.proof.generation {
		r.proof.restart(now, r.limiter.generation)
		for _, p := range r.peers {
			p.stale = p.stale || p.charge() > 0
		}
	}
}

// reported returns good answers that all nodes' reports confirm: each node that
// uses slots has sent evidence of the present limit, and has reported after the
// answers that it used its slots all the time.
func (r *record) reported(e Evidence) int {
	low, judged, fresh := 0, true, true
	for _, p := range r.peers {
		low += p.low
		if p.charge() > 0 {
			judged = judged && p.evidence.Generation == r.limiter.generation
			fresh = fresh && p.fresh
		}
	}
	if !judged || low < r.limiter.limit {
		r.proof.good, r.proof.waiting = 0, 0
		return 0
	}
	if e.Generation == r.limiter.generation {
		r.proof.good += e.Good
	}
	if !fresh {
		return 0
	}
	confirmed := r.proof.waiting
	r.proof.waiting, r.proof.good = r.proof.good, 0
	for _, p := range r.peers {
		p.fresh = false
	}
	return confirmed
}

// loaded returns the good answers of the generation once the upstream has reported
// full use and all nodes that use it have reported long enough after that.
func (r *record) loaded() int {
	if r.proof.full.IsZero() || r.proof.total < leastGood {
		return 0
	}
	for _, p := range r.peers {
		if (p.charge() > 0 || p.want > 0) && p.heard.Sub(r.proof.full) < judgeTime {
			return 0
		}
	}
	n := r.proof.total
	r.proof.total, r.proof.full = 0, time.Time{}
	return n
}
