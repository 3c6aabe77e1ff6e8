package control

import (
	"slices"
	"strings"
	"time"

	"github.com/jaystage/jaystage/pkg/traffic"
	"github.com/jaystage/jaystage/pkg/wire"
)

const (
	// rateSmoothingTime smooths a node's usage and demand rates: after a report interval
	// of this length, the previous rate still has half the weight.
	rateSmoothingTime = 500 * time.Millisecond
	// initialLevelShare is the share of an account's burst at which a new leader starts the
	// account's bucket. The nodes' first reports lower the level to the one that the
	// previous leader sent.
	initialLevelShare = 0.5
	// shortDemandShare and shortLevelShare bound the accounts whose demand the totals tell by
	// kind of request: those that ask for more than this share of their rate or have less than
	// this share of their burst left. Others are served without a choice.
	shortDemandShare = 0.8
	shortLevelShare  = 0.5
)

// applyAccountUse updates the node's usage and the accounts' buckets. known is false for the
// first report of a process to this leader.
func (l *ledger) applyAccountUse(now time.Time, plan *traffic.Plan, node *nodeUsage, known bool, list []wire.AccountUse) {
	node.kinds = make(map[string][]wire.KindDemand, len(list))
	elapsed := now.Sub(node.reportedAt).Seconds()
	for _, use := range list {
		delta := use.Cost - node.used[use.Account]
		if !known {
			delta = 0 // usage from before this node led, or counted by another leader
		}
		node.used[use.Account] = use.Cost
		if known && elapsed > 0 {
			oldWeight := 1 / (1 + elapsed/rateSmoothingTime.Seconds())
			node.usageRates[use.Account] = oldWeight*node.usageRates[use.Account] + (1-oldWeight)*delta/elapsed
			node.demandRates[use.Account] = oldWeight*node.demandRates[use.Account] + (1-oldWeight)*(use.Asked-node.requested[use.Account])/elapsed
		}
		node.requested[use.Account] = use.Asked
		node.kinds[use.Account] = use.Kinds
		account, ok := findAccount(plan, use.Account)
		if !ok || account.Rate <= 0 {
			continue
		}
		bucket := l.bucket(now, account)
		bucket.Level -= delta
		if !known && use.Known {
			// Take over the level that the previous leader sent to the nodes, and subtract
			// what each node has used since: the levels of the other nodes don't include it.
			granted := min(bucket.Level+l.unreported[use.Account], use.Level+use.Untold)
			l.unreported[use.Account] += use.Untold
			bucket.Level = granted - l.unreported[use.Account]
		}
	}
}

// accountLevels returns the level of each account with a limit, for one node.
func (l *ledger) accountLevels(now time.Time, plan *traffic.Plan, node *nodeUsage) []wire.AccountLevel {
	if plan == nil {
		return nil
	}
	var levels []wire.AccountLevel
	for i := range plan.Accounts {
		a := &plan.Accounts[i]
		if a.Rate <= 0 {
			continue
		}
		levels = append(levels, wire.AccountLevel{
			Account: a.Name, Level: l.bucket(now, a).Level, Asked: l.totals.demandRates[a.Name], Kinds: l.totals.kinds[a.Name],
			Rate: max(0, l.totals.usageRates[a.Name]-node.contribution.usageRates[a.Name]),
		})
	}
	return levels
}

// sumKinds sums the demand by kind of request over all live nodes, for accounts that are short.
func (l *ledger) sumKinds(now time.Time, plan *traffic.Plan) {
	if plan == nil {
		return
	}
	for i := range plan.Accounts {
		a := &plan.Accounts[i]
		if a.Rate <= 0 || l.totals.demandRates[a.Name] <= shortDemandShare*a.Rate && l.bucket(now, a).Level >= shortLevelShare*a.Burst {
			continue
		}
		sums := make(map[string]wire.KindDemand)
		for _, node := range l.nodes {
			if now.Sub(node.reportedAt) >= reportLifetime {
				continue
			}
			for _, k := range node.kinds[a.Name] {
				sum := sums[k.Kind]
				sums[k.Kind] = wire.KindDemand{Kind: k.Kind, Asked: sum.Asked + k.Asked, Calls: sum.Calls + k.Calls}
			}
		}
		list := make([]wire.KindDemand, 0, len(sums))
		for _, sum := range sums {
			list = append(list, sum)
		}
		slices.SortFunc(list, func(a, b wire.KindDemand) int { return strings.Compare(a.Kind, b.Kind) })
		l.totals.kinds[a.Name] = list
	}
}

// findAccount returns the plan's account with the given name; plan may be nil.
func findAccount(plan *traffic.Plan, account string) (*traffic.Account, bool) {
	if plan == nil {
		return nil, false
	}
	return plan.AccountByName(account)
}

// bucket returns an account's bucket, refilled up to now.
func (l *ledger) bucket(now time.Time, a *traffic.Account) *traffic.Bucket {
	bucket := l.buckets[a.Name]
	if bucket == nil {
		bucket = &traffic.Bucket{Level: initialLevelShare * a.Burst, UpdatedAt: now}
		l.buckets[a.Name] = bucket
	}
	bucket.Refill(now, a.Rate, a.Burst)
	return bucket
}
