package config

import "time"

// Returns notes when failure domains came back from a drain. The zero value has seen
// none. It is not safe for concurrent use.
type Returns struct {
	drained map[string]bool // when last looked at
	at      map[string]time.Time
}

// Follow compares a view with the one before.
func (r *Returns) Follow(now time.Time, view *View) {
	if r.drained == nil {
		r.drained, r.at = make(map[string]bool), make(map[string]time.Time)
	}
	for d := range r.drained {
		if _, still := view.DrainedDomains[d]; !still {
			delete(r.drained, d)
			r.at[d] = now
		}
	}
	for d := range view.DrainedDomains {
		r.drained[d] = true
	}
}

// At returns when a domain last came back; false if it has not.
func (r *Returns) At(domain string) (time.Time, bool) {
	at, ok := r.at[domain]
	return at, ok
}
