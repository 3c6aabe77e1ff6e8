package caller

import (
	"testing"

	"github.com/jaystage/jaystage/internal/config"
)

// accountPair is a pair of nodes with one client account.
type accountPair struct {
	*nodePair
	quotas []*quota
	view   *config.View
}

func newAccountPair(t *testing.T) *accountPair {
	t.Helper()
	p := newNodePair(t)
	return &accountPair{nodePair: p, quotas: []*quota{newQuota(p.owner), newQuota(p.nonOwner)}}
}

// setLimit sets the concurrency limit of the account on both nodes.
func (p *accountPair) setLimit(n int) {
	p.view = &config.View{
		Accounts: map[string]config.Account{"a": {Name: "a", Concurrency: n}},
		Services: map[string]config.Service{"s": {Classes: []config.Class{{Name: "c", CompletionTarget: seconds(10)}}}},
	}
	p.applyLimit()
}

// applyLimit applies the limit again, as a node does every second.
func (p *accountPair) applyLimit() {
	for _, s := range []*Slots{p.owner, p.nonOwner} {
		s.setAccountQuotas(p.now, p.view)
	}
	p.settle()
}

// acquireAll acquires as many requests as both nodes allow and returns their
// number.
func (p *accountPair) acquireAll() int {
	taken := 0
	for range 400 {
		before := taken
		for _, q := range p.quotas {
			for q.Acquire(p.now, "a") {
				taken++
			}
		}
		p.applyLimit()
		if taken == before && taken > 0 {
			break
		}
	}
	return taken
}

func TestAccountLimitHoldsAcrossNodes(t *testing.T) {
	t.Run("both nodes together can use exactly the limit", func(t *testing.T) {
		p := newAccountPair(t)
		p.setLimit(3)
		if got, want := p.acquireAll(), 3; got != want {
			t.Errorf("requests at once: got %d, want %d", got, want)
		}
	})
	t.Run("a limit above the default maximum of upstreams is not reduced", func(t *testing.T) {
		p := newAccountPair(t)
		p.setLimit(300)
		if got, want := p.acquireAll(), 300; got != want {
			t.Errorf("requests at once: got %d, want %d", got, want)
		}
	})
	t.Run("a raised limit applies without a restart", func(t *testing.T) {
		p := newAccountPair(t)
		p.setLimit(2)
		before := p.acquireAll()
		p.setLimit(5)
		if got, want := before+p.acquireAll(), 5; got != want {
			t.Errorf("requests at once after the limit was raised: got %d, want %d", got, want)
		}
	})
}
