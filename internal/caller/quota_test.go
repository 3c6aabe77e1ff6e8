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
	p := newPair(t)
	return &accountPair{nodePair: p, quotas: []*quota{newQuota(p.owner), newQuota(p.nonOwner)}}
}

// setLimit puts a concurrency limit of the account in force on both nodes.
func (p *accountPair) setLimit(n int) {
	p.view = &config.View{
		Accounts: map[string]config.Account{"a": {Name: "a", Concurrency: n}},
		Services: map[string]config.Service{"s": {Classes: []config.Class{{Name: "c", Complete: seconds(10)}}}},
	}
	p.applyLimit()
}

// applyLimit repeats the limit, as a node does every second.
func (p *accountPair) applyLimit() {
	for _, s := range []*Slots{p.owner, p.nonOwner} {
		s.setAccountQuotas(p.now, p.view)
	}
	p.settle()
}

// acquireAll uses as many places as both nodes get and returns their number.
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
	t.Run("the limit must hold over both nodes together, and all of it be usable", func(t *testing.T) {
		p := newAccountPair(t)
		p.setLimit(3)
		if got, want := p.acquireAll(), 3; got != want {
			t.Errorf("requests at once: got %d, want %d", got, want)
		}
	})
	t.Run("a limit above the bound of upstreams without a limit must not be cut", func(t *testing.T) {
		p := newAccountPair(t)
		p.setLimit(300)
		if got, want := p.acquireAll(), 300; got != want {
			t.Errorf("requests at once: got %d, want %d", got, want)
		}
	})
	t.Run("a raised limit must not need a restart", func(t *testing.T) {
		p := newAccountPair(t)
		p.setLimit(2)
		before := p.acquireAll()
		p.setLimit(5)
		if got, want := before+p.acquireAll(), 5; got != want {
			t.Errorf("requests at once after the limit was raised: got %d, want %d", got, want)
		}
	})
}
