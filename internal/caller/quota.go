package caller

import (
	"time"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/pkg/routing"
	"github.com/jaystage/jaystage/pkg/wire"
)

// accountPrefix begins the names under which the concurrency limits of client
// accounts are granted like the limits of upstreams. No upstream has such a name
// because names of upstreams hold no slash.
const accountPrefix = "account/"

// quota limits the requests that an account runs over all nodes together. It
// implements admission.Quota.
type quota struct {
	slots *Slots
	// tickets holds the used places by account; it is guarded by slots.mu.
	tickets map[string][]routing.Ticket
}

// Take implements admission.Quota.
func (q *quota) Take(now time.Time, account string) bool {
	s := q.slots
	s.mu.Lock()
	defer s.mu.Unlock()
	id := accountPrefix + account
	ticket, ok := s.holder.Take(now, id, 0)
	if !ok {
		s.pump(now)
		if ticket, ok = s.holder.Take(now, id, 0); !ok {
			return false
		}
	}
	if q.tickets == nil {
		q.tickets = make(map[string][]routing.Ticket)
	}
	q.tickets[account] = append(q.tickets[account], ticket)
	return true
}

// Return implements admission.Quota.
func (q *quota) Return(account string) {
	s := q.slots
	s.mu.Lock()
	defer s.mu.Unlock()
	list := q.tickets[account]
	if len(list) == 0 {
		return
	}
	last := len(list) - 1
	q.tickets[account] = list[:last]
	s.holder.Return(list[last], false)
}

// accounts announces the concurrency limits of the accounts to the owner in this
// node, which grants those that it owns.
func (s *Slots) accounts(now time.Time, view *config.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, a := range view.Accounts {
		if a.Concurrency <= 0 {
			continue
		}
		_, grants := s.owner.Heartbeat(now, wire.Announce{
			ID: accountPrefix + name, Incarnation: 1, Sequence: uint64(now.UnixNano()), Ready: true, Limit: uint64(a.Concurrency),
		}, a.Concurrency)
		s.deal(grants)
	}
}
