package caller

import (
	"math"
	"sync"

	"github.com/jaystage/jaystage/internal/config"
)

// shares divides a service's new calls between the versions of its rollout. Without
// permits of a leader, the part of the new version is exact over any run of calls
// of this node, not only on average.
type shares struct {
	mu     sync.Mutex
	counts map[string]float64
}

// version returns the version for the call's next attempt. A call stays on its
// version unless that version has been judged bad.
func (s *shares) version(view *config.View, c *call, versions Versions) string {
	share, running := view.Shares[c.service.Name]
	if !running {
		if c.attempts > 0 || c.version != "" {
			return c.version
		}
		return c.service.Version
	}
	if share.Bad {
		return share.From
	}
	if c.version == share.From || c.version == share.To {
		return c.version
	}
	if versions != nil {
		if versions.Admit(c.service.Name, share, c.maxTokens(), c.session) {
			return share.To
		}
		return share.From
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts == nil {
		s.counts = make(map[string]float64)
	}
	key := c.service.Name + "\x00" + share.To
	before := s.counts[key]
	s.counts[key] = before + share.Fraction
	if math.Floor(before+share.Fraction) > math.Floor(before) {
		return share.To
	}
	return share.From
}
