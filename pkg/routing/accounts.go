package routing

import "time"

// Accounts uses a Holder's slots as the quota of client accounts that
// admission.Controller asks for: each started request of an account holds one
// slot of Owner.Quota's limit under AccountPrefix and the account's name.
type Accounts struct {
	holder *Holder
	// open holds the tickets of started requests by account. Tickets of one account
	// differ in nothing that matters to a fixed limit.
	open map[string][]Ticket
}

// NewAccounts returns a quota on the holder's slots.
func NewAccounts(holder *Holder) *Accounts {
	return &Accounts{holder: holder, open: make(map[string][]Ticket)}
}

// Take uses a place for the account, if there is one. Without one the node's
// demand grows, so that a place may come within a round trip to the owner.
func (a *Accounts) Take(now time.Time, account string) bool {
	t, ok := a.holder.Take(now, AccountPrefix+account, 0)
	if ok {
		a.open[account] = append(a.open[account], t)
	}
	return ok
}

// Return gives a place back.
func (a *Accounts) Return(account string) {
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

// Waiting tells how many requests of the account wait for a place.
func (a *Accounts) Waiting(account string, n int) { a.holder.SetQueued(AccountPrefix+account, n) }
