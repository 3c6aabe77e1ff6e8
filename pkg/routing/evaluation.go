package routing

import "time"

// lateAnswerWindow is how long to wait after a load report for late answers of the
// requests that it counted. It covers the usual first-token target.
const lateAnswerWindow = 1200 * time.Millisecond

// limitEvaluation counts the good answers that were given while the whole limit was
// in use. Without this check, an unnoticed drop in load would let the limit rise on
// answers given at a lower load. Good answers are confirmed in either of two ways,
// both of which tolerate lost reports: the nodes report full use before and after the
// answers, or the upstream's load report shows full use and no late answer is
// reported afterwards. The first is faster but never happens if there are fewer slots
// than nodes.
type limitEvaluation struct {
	generation uint64
	// generationSince is when this owner first saw the generation.
	generationSince time.Time
	// A round ends when all nodes that use slots have reported since the previous
	// round ended. roundGood counts the good answers of the current round, and
	// previousGood those of the previous round. The latter are confirmed when the
	// current round ends.
	roundGood, previousGood int
	// totalGood counts the good answers of the generation since the last late one.
	totalGood int
	// fullLoadAt is when a load report taken after generationSince showed full use.
	fullLoadAt time.Time
}

// reset restarts the evaluation if the generation has changed.
func (e *limitEvaluation) reset(now time.Time, generation uint64) {
	if e.generation != generation {
		*e = limitEvaluation{generation: generation, generationSince: now}
	}
}

// observeLoad applies a load report. It ignores the load until the generation is at
// least lag old, because earlier reports may show the load before its start.
func (e *limitEvaluation) observeLoad(now time.Time, load int, l *limiter, lag time.Duration) {
	e.reset(now, l.generation)
	if e.fullLoadAt.IsZero() && load >= l.limit && now.Sub(e.generationSince) >= lag {
		e.fullLoadAt = now
	}
}

// applyEvidence updates the limit with a node's evidence.
func (u *ownedUpstream) applyEvidence(now time.Time, from *peer, e Evidence) {
	from.reportedThisRound = true
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

// confirmedByReports returns the number of good answers that the reports of all
// nodes confirm: each node that uses slots has sent evidence of the current limit and
// has reported after the answers, and by these reports the whole limit was in use all
// the time.
func (u *ownedUpstream) confirmedByReports(e Evidence) int {
	minRunning, currentEvidence, reportedAgain := 0, true, true
	for _, p := range u.peers {
		minRunning += p.minRunning
		if p.maxOpenRequests() > 0 {
			currentEvidence = currentEvidence && p.evidence.Generation == u.limiter.generation
			reportedAgain = reportedAgain && p.reportedThisRound
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
		p.reportedThisRound = false
	}
	return confirmed
}

// confirmedByLoad returns the number of good answers of the generation once the
// upstream has reported full use and all nodes that use it have reported at least
// lateAnswerWindow later.
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
