package routing

// leastGood is the least number of good answers that raise a limit.
const leastGood = 4

// limiter learns how many requests at once an upstream bears. The limit rises
// only on good answers that started under it while all of it was in use, and
// falls at once on bad evidence.
type limiter struct {
	start int
	// ceiling is the announced limit, or Policy.Max when none is announced.
	ceiling int
	// limit is in [1, ceiling].
	limit int
	// generation grows whenever limit changes.
	generation uint64
	// fallen is the generation that began with the last fall; evidence from before
	// it has been acted on already.
	fallen uint64
	good   int
	slow   int
}

func newLimiter(start, ceiling int, generation uint64) limiter {
	l := limiter{start: max(1, start), ceiling: max(1, ceiling), generation: generation, fallen: generation}
	l.limit = min(l.start, l.ceiling)
	return l
}

// bound applies an announced limit.
func (l *limiter) bound(ceiling int) {
	l.ceiling = max(1, ceiling)
	if l.limit > l.ceiling {
		l.set(l.ceiling)
	}
}

func (l *limiter) set(limit int) {
	if limit < l.limit {
		l.fallen = l.generation + 1
	}
	l.limit = limit
	l.generation++
	l.good, l.slow = 0, 0
}

// cold takes the limit back to its start value.
func (l *limiter) cold() {
	l.set(min(l.start, l.ceiling))
	l.fallen = l.generation
}

// learn takes evidence of one node. good is the number of good answers that are
// known to have started while the whole limit was in use.
func (l *limiter) learn(e Evidence, good int) {
	if e.Generation >= l.fallen {
		if e.Cold {
			l.cold()
			return
		}
		l.slow += e.Slow
	}
	l.good += good
	switch {
	case l.slow >= 2 && 5*l.slow > l.good:
		l.set(max(1, l.limit*7/10))
	case good > 0 && l.good >= max(leastGood, l.limit/4) && l.slow == 0 && l.limit < l.ceiling:
		// Steps of an eighth keep an overshoot inside the range in which engines
		// answer slowly but do not fail.
		l.set(min(l.ceiling, l.limit+max(1, l.limit/8)))
	case l.good >= 2*max(leastGood, l.limit):
		// A single late answer among many good ones is no sign of overload.
		l.good, l.slow = 0, 0
	}
}
