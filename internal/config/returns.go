package config

import "time"

// DrainEnds notes when failure domains came back from a drain. The zero value has seen
// none. It is not safe for concurrent use.
type DrainEnds struct {
	drained map[string]bool // when last looked at
	ends    map[string]time.Time
}

// Update compares a view with the one before.
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

// At returns when a domain last came back; false if it has not.
func (e *DrainEnds) At(domain string) (time.Time, bool) {
	at, ok := e.ends[domain]
	return at, ok
}
