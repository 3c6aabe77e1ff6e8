package routing

// minGoodAnswers is the minimum number of good answers needed to raise a limit.
const minGoodAnswers = 4

// limiter estimates how many concurrent requests an upstream can handle. The limit
// rises only on good answers of requests that started while the whole limit was in
// use. It falls as soon as there are at least two slow answers and more than one for
// every five good ones. It returns to its start value when the upstream fails or is
// found cold.
type limiter struct {
	startLimit int
	// ceiling is the announced limit, or Policy.MaxLimit if none is announced.
	ceiling int
	// limit is in [1, ceiling].
	limit int
	// generation increases whenever the limit is set.
	generation uint64
	// decreasedGeneration is the generation that started with the last decrease or
	// reset. That change has already taken account of slow answers and failures of
	// earlier generations.
	decreasedGeneration uint64
	goodAnswers         int
	slowAnswers         int
}

func newLimiter(startLimit, ceiling int, generation uint64) limiter {
	l := limiter{startLimit: max(1, startLimit), ceiling: max(1, ceiling), generation: generation, decreasedGeneration: generation}
	l.limit = min(l.startLimit, l.ceiling)
	return l
}

// setCeiling changes the ceiling and lowers the limit to it if necessary.
func (l *limiter) setCeiling(ceiling int) {
	l.ceiling = max(1, ceiling)
	if l.limit > l.ceiling {
		l.setLimit(l.ceiling)
	}
}

func (l *limiter) setLimit(limit int) {
	if limit < l.limit {
		l.decreasedGeneration = l.generation + 1
	}
	l.limit = limit
	l.generation++
	l.goodAnswers, l.slowAnswers = 0, 0
}

// reset sets the limit back to its start value.
func (l *limiter) reset() {
	l.setLimit(min(l.startLimit, l.ceiling))
	l.decreasedGeneration = l.generation
}

// update adjusts the limit to the evidence of one node. confirmedGood is the number
// of good answers, possibly of other nodes too, that are confirmed to have started
// while the whole limit was in use.
func (l *limiter) update(e Evidence, confirmedGood int) {
	if e.Generation >= l.decreasedGeneration {
		if e.Cold {
			l.reset()
			return
		}
		l.slowAnswers += e.Slow
	}
	l.goodAnswers += confirmedGood
	switch {
	case l.slowAnswers >= 2 && 5*l.slowAnswers > l.goodAnswers:
		l.setLimit(max(1, l.limit*7/10))
	case confirmedGood > 0 && l.goodAnswers >= max(minGoodAnswers, l.limit/4) && l.slowAnswers == 0 && l.limit < l.ceiling:
		// Steps of an eighth keep an overshoot within the range in which engines
		// answer slowly but do not fail.
		l.setLimit(min(l.ceiling, l.limit+max(1, l.limit/8)))
	case l.goodAnswers >= 2*max(minGoodAnswers, l.limit):
		// A single slow answer among many good ones does not indicate overload, but
		// would prevent an increase.
		l.goodAnswers, l.slowAnswers = 0, 0
	}
}
