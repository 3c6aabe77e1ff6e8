package caller

import (
	"time"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/pkg/routing"
)

// quota limits the concurrent requests of each client account over all nodes
// together. Owners grant slots of these limits like slots of upstreams, under names
// with a slash, which no upstream has. It implements admission.Quota.
type quota struct {
	slots    *Slots
	accounts *routing.Accounts // guarded by slots.mu
}

func newQuota(slots *Slots) *quota {
	return &quota{slots: slots, accounts: routing.NewAccounts(slots.holder)}
}

// Acquire implements admission.Quota.
func (q *quota) Acquire(now time.Time, account string) bool {
	q.slots.mu.Lock()
	defer q.slots.mu.Unlock()
	if q.accounts.Acquire(now, account) {
		return true
	}
	q.slots.sendDemands(now) // if this node is the owner, it grants the demand at once
	return q.accounts.Acquire(now, account)
}

// Release implements admission.Quota.
func (q *quota) Release(account string) {
	q.slots.mu.Lock()
	defer q.slots.mu.Unlock()
	q.accounts.Release(account)
}

// setAccountQuotas sets the concurrency limits of the client accounts that this
// node owns.
func (s *Slots) setAccountQuotas(now time.Time, view *config.View) {
	longest := longestDeadline(view)
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, a := range view.Accounts {
		if id := routing.AccountPrefix + name; a.Concurrency > 0 && s.owner.Owns(id) {
			s.deliverGrants(s.owner.SetQuota(now, id, a.Concurrency, longest))
		}
	}
}

// longestDeadline returns the longest completion target of any class, or
// defaultDeadline if a class sets none.
func longestDeadline(view *config.View) time.Duration {
	longest := time.Duration(0)
	for _, service := range view.Services {
		for _, c := range service.Classes {
			if c.CompletionTarget <= 0 {
				return defaultDeadline
			}
			longest = max(longest, c.CompletionTarget.Std())
		}
	}
	return longest
}
