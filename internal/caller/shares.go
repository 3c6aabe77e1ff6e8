package caller

import (
	"math"
	"sync"

	"github.com/jaystage/jaystage/internal/config"
)

// shares divides the new calls of a service between the versions of its rollout
// when there is no leader to issue permits. The share of the new version is exact
// over any sequence of calls on this node, not only on average.
type shares struct {
	mu sync.Mutex
	// accrued is the sum of the fractions of all calls by service and new
	// version. A call goes to the new version when the sum reaches the next whole
	// number.
	accrued map[string]float64
}

// version returns the version for the call's next attempt. A call keeps its
// version unless the new version was judged bad.
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
	if s.accrued == nil {
		s.accrued = make(map[string]float64)
	}
	key := c.service.Name + "\x00" + share.To
	before := s.accrued[key]
	s.accrued[key] = before + share.Fraction
	if math.Floor(before+share.Fraction) > math.Floor(before) {
		return share.To
	}
	return share.From
}
