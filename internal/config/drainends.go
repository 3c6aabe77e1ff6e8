package config

import "time"

// DrainEnds records when drains of failure domains ended. The zero value is ready to use.
// It is not safe for concurrent use.
type DrainEnds struct {
	drained map[string]bool // domains drained in the last view
	ends    map[string]time.Time
}

// Update records the drains that have ended since the previous view.
func (e *DrainEnds) Update(now time.Time, view *View) {
	if e.drained == nil {
		e.drained, e.ends = make(map[string]bool), make(map[string]time.Time)
	}
	for d := range e.drained {
		if _, still := view.DrainedDomains[d]; !still {
			delete(e.drained, d)
			e.ends[d] = now
		}
	}
	for d := range view.DrainedDomains {
		e.drained[d] = true
	}
}

// At returns when the last drain of a domain ended; false if none has ended.
func (e *DrainEnds) At(domain string) (time.Time, bool) {
	at, ok := e.ends[domain]
	return at, ok
}
