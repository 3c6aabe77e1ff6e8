package routing

import "time"

// Accounts implements the concurrency quota of client accounts for
// admission.Controller with a Holder's slots. Each started request of an account
// takes one slot of the limit that Owner.SetQuota sets for the ID made of
// AccountPrefix and the account's name.
type Accounts struct {
	holder *Holder
	// open holds the tickets of started requests by account. Any of them can be
	// returned when a request ends: tickets differ only in data for estimating
	// limits, and an account's limit is fixed.
	open map[string][]Ticket
}

// NewAccounts returns a quota that uses the holder's slots.
func NewAccounts(holder *Holder) *Accounts {
	return &Accounts{holder: holder, open: make(map[string][]Ticket)}
}

// Acquire takes a slot for the account and reports whether one was free. Without a
// free slot the node's demand grows, so that a slot may be granted within a round
// trip to the owner.
func (a *Accounts) Acquire(now time.Time, account string) bool {
	t, ok := a.holder.Take(now, AccountPrefix+account, 0)
	if ok {
		a.open[account] = append(a.open[account], t)
	}
	return ok
}

// Release releases a slot of the account.
func (a *Accounts) Release(account string) {
	tickets := a.open[account]
	if len(tickets) == 0 {
		return
	}
	last := len(tickets) - 1
	a.holder.Return(tickets[last], false)
	if a.open[account] = tickets[:last]; last == 0 {
		delete(a.open, account)
	}
}

// SetQueued sets the number of the account's requests that wait for a slot.
func (a *Accounts) SetQueued(account string, n int) { a.holder.SetQueued(AccountPrefix+account, n) }
