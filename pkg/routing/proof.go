package routing

import "time"

// judgeTime is how long after a load report late answers of the requests that it
// counted may become known. It covers the usual first-token target.
const lateAnswerWindow = 1200 * time.Millisecond

// proof gathers evidence that answers were good while the whole limit was in use.
// Holes that nobody noticed would let the limit rise on answers that were given at
// a lower load. There are two ways, and both survive lost reports: the nodes report
// full use before and after the answers; or the upstream's own load report shows
// full use and no late answer becomes known afterwards. The first is quicker but
// never comes about when there are fewer slots than nodes.
type limitEvaluation struct {
	generation uint64
	// since is when the generation began, as far as this owner saw.
	generationSince time.Time
	// good counts good answers since the last time that all nodes had reported, and
	// waiting those before, until all nodes have reported again.
	roundGood, previousGood int
	// total counts good answers of the generation since the last late one.
	totalGood int
	// full is when a load report younger than since showed full use.
	fullLoadAt time.Time
}

func (e *limitEvaluation) reset(now time.Time, generation uint64) {
	if e.generation != generation {
		*e = limitEvaluation{generation: generation, generationSince: now}
	}
}

func (e *limitEvaluation) observeLoad(now time.Time, load int, l *limiter, lag time.Duration) {
	e.reset(now, l.generation)
	if e.fullLoadAt.IsZero() && load >= l.limit && now.Sub(e.generationSince) >= lag {
		e.fullLoadAt = now
	}
}

// learn takes a node's evidence.
func (u *ownedUpstream) applyEvidence(now time.Time, from *peer, e Evidence) {
	from.reportedSinceCount = true
	u.evaluation.reset(now, u.limiter.generation)
	if e.Generation == u.limiter.generation {
		u.evaluation.totalGood += e.Good
	}
	if e.Slow > 0 {
		u.evaluation.totalGood, u.evaluation.fullLoadAt = 0, time.Time{}
	}
	confirmed := max(u.confirmedByReports(e), u.confirmedByLoad())
	u.limiter.update(e, confirmed)
	if u.limiter.generation != u.evaluation.generation {
		u.evaluation.reset(now, u.limiter.generation)
		for _, p := range u.peers {
			p.grantDue = p.grantDue || p.maxOpenRequests() > 0
		}
	}
}

// reported returns good answers that all nodes' reports confirm: each node that
// uses slots has sent evidence of the present limit, and has reported after the
// answers that it used its slots all the time.
func (u *ownedUpstream) confirmedByReports(e Evidence) int {
	minRunning, currentEvidence, reportedAgain := 0, true, true
	for _, p := range u.peers {
		minRunning += p.minRunning
		if p.maxOpenRequests() > 0 {
			currentEvidence = currentEvidence && p.evidence.Generation == u.limiter.generation
			reportedAgain = reportedAgain && p.reportedSinceCount
		}
	}
	if !currentEvidence || minRunning < u.limiter.limit {
		u.evaluation.roundGood, u.evaluation.previousGood = 0, 0
		return 0
	}
	if e.Generation == u.limiter.generation {
		u.evaluation.roundGood += e.Good
	}
	if !reportedAgain {
		return 0
	}
	confirmed := u.evaluation.previousGood
	u.evaluation.previousGood, u.evaluation.roundGood = u.evaluation.roundGood, 0
	for _, p := range u.peers {
		p.reportedSinceCount = false
	}
	return confirmed
}

// loaded returns the good answers of the generation once the upstream has reported
// full use and all nodes that use it have reported long enough after that.
func (u *ownedUpstream) confirmedByLoad() int {
	if u.evaluation.fullLoadAt.IsZero() || u.evaluation.totalGood < minGoodAnswers {
		return 0
	}
	for _, p := range u.peers {
		if (p.maxOpenRequests() > 0 || p.requestedSlots > 0) && p.lastReport.Sub(u.evaluation.fullLoadAt) < lateAnswerWindow {
			return 0
		}
	}
	n := u.evaluation.totalGood
	u.evaluation.totalGood, u.evaluation.fullLoadAt = 0, time.Time{}
	return n
}
