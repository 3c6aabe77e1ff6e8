package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	_ "github.com/jaystage/jaystage/internal/testseed"
	"github.com/jaystage/jaystage/pkg/verdict"
	"pgregory.net/rapid"
)

const (
	step     = 5 * time.Millisecond
	unitTime = time.Millisecond
)

var classes = map[string]Class{
	"chat":  {Name: "chat", Priority: 0, FirstTokenTarget: time.Second, CompletionTarget: 6 * time.Second},
	"tags":  {Name: "tags", Priority: 1, FirstTokenTarget: 2 * time.Second, CompletionTarget: 8 * time.Second},
	"plans": {Name: "plans", Priority: 2, CompletionTarget: 30 * time.Second, Deferrable: true},
}

// source generates the requests of one account in one class.
type source struct {
	Account, Class string
	Work           float64
	// Load is the offered work relative to the capacity.
	Load float64
}

type load struct {
	Seed      uint64
	Capacity  int
	Sources   []source
	Weights   map[string]float64
	Length    time.Duration
	CountFrom time.Duration // requests offered or started earlier are not counted
	Variant   string
}

type result struct {
	goodput        map[string]float64 // work completed by its deadline, by account
	goodputByClass map[string]float64 // the same by class
	total          float64
	missed         int // requests accepted and then refused or completed late
	offered        map[string]int
	started        map[string]int
}

type job struct {
	Dequeued
	ends time.Time
}

// simulation simulates one node.
type simulation struct {
	load
	result
	rng  *rand.Rand
	c    *Controller
	now  time.Time
	jobs []job
	id   uint64
}

func simulate(l load) result {
	p := Policy{Classes: classes, Accounts: map[string]Account{}, MaxWaiting: 256, InitialUnitTime: unitTime}
	for name, w := range l.Weights {
		p.Accounts[name] = Account{Weight: w}
	}
	r := simulation{load: l, rng: rand.New(rand.NewPCG(l.Seed, 2)), c: New(p, nil), now: time.Unix(0, 0)}
	r.result = result{map[string]float64{}, map[string]float64{}, 0, 0, map[string]int{}, map[string]int{}}
	r.c.SetCapacity(l.Capacity)
	for ; r.now.Before(time.Unix(0, 0).Add(l.Length)); r.now = r.now.Add(step) {
		r.finishJobs()
		for _, s := range l.Sources {
			if r.rng.Float64() < s.Load*float64(l.Capacity)*float64(step)/float64(unitTime)/s.Work {
				r.id++
				r.count(r.offered, s.Account)
				offer(r.c, r.now, Request{ID: r.id, Account: s.Account, Class: s.Class, Work: s.Work}, l.Variant)
			}
		}
		for s, ok := r.c.Next(r.now); ok; s, ok = r.c.Next(r.now) {
			if s.Refusal != nil {
				r.missed++
				continue
			}
			r.count(r.started, s.Account)
			took := time.Duration(s.Work * float64(unitTime) * (0.85 + 0.3*r.rng.Float64()))
			r.jobs = append(r.jobs, job{s, r.now.Add(took)})
		}
	}
	return r.result
}

func (r *simulation) count(m map[string]int, account string) {
	if r.now.Sub(time.Unix(0, 0)) >= r.CountFrom {
		m[account]++
	}
}

func (r *simulation) finishJobs() {
	r.jobs = slices.DeleteFunc(r.jobs, func(j job) bool {
		if j.ends.After(r.now) {
			return false
		}
		r.c.Done(r.now, Outcome{ID: j.ID, Completed: true})
		if r.now.After(j.Deadline.Add(step)) {
			r.missed++
			return true
		}
		r.goodput[j.Account] += j.Work
		r.goodputByClass[j.Class] += j.Work
		r.total += j.Work
		return true
	})
}

// offer passes a request to the controller. The variants break the design on purpose,
// to check that the tests detect it.
func offer(c *Controller, now time.Time, r Request, variant string) {
	switch variant {
	case "first come, first served":
		clear(c.lastFinishTag)
		clear(c.virtualTime)
		clear(c.accountUsage)
	case "accepts everything":
		if d := c.Admit(now, r); !d.Accepted {
			c.insert(now, len(c.queue), c.newEntry(now, r, c.policy.Classes[r.Class]))
		}
		return
	}
	c.Admit(now, r)
}

func loadGenerator() *rapid.Generator[load] {
	return rapid.Custom(func(t *rapid.T) load {
		l := load{
			Seed: rapid.Uint64().Draw(t, "seed"), Capacity: rapid.IntRange(1, 24).Draw(t, "capacity"),
			Weights: map[string]float64{}, Length: 12 * time.Second,
		}
		for i := range rapid.IntRange(1, 5).Draw(t, "sources") {
			s := source{
				Account: fmt.Sprintf("a%d", i%3), Class: rapid.SampledFrom([]string{"chat", "tags", "plans"}).Draw(t, "class"),
				Work: float64(rapid.IntRange(20, 3000).Draw(t, "work")), Load: rapid.Float64Range(0.05, 3).Draw(t, "load"),
			}
			l.Sources = append(l.Sources, s)
			l.Weights[s.Account] = rapid.Float64Range(0.5, 4).Draw(t, "weight")
		}
		return l
	})
}

func TestAcceptedRequestsFinishByTheirDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if got := simulate(loadGenerator().Draw(t, "load")).missed; got != 0 {
			t.Errorf("accepted requests that were refused or completed late: got %d, want 0", got)
		}
	})
}

func TestDeadlineCheckDetectsUnlimitedAdmission(t *testing.T) {
	for i := range 100 {
		l := loadGenerator().Example(i)
		l.Variant = "accepts everything"
		if simulate(l).missed > 0 {
			return
		}
	}
	t.Error("variant that accepts everything: got no late requests, want some")
}

// smallAndLargeLoad is the load of a small account with a quarter of the weight next
// to a large one that offers many times the capacity.
func smallAndLargeLoad(seed uint64, from time.Duration, variant string) load {
	return load{
		Seed: seed, Capacity: 8, Length: 40 * time.Second, CountFrom: from, Variant: variant,
		Weights: map[string]float64{"small": 1, "large": 3},
		Sources: []source{
			{"large", "chat", 200, 4}, {"large", "plans", 1000, 4}, {"small", "chat", 200, 0.15},
		},
	}
}

func servedShare(l load) float64 {
	r := simulate(l)
	return float64(r.started["small"]) / float64(max(1, r.offered["small"]))
}

// The bound allows for bursts above the small account's share, and for low-class work
// that was accepted before the surge of the large account.
func TestSmallAccountIsNotStarvedByLargeOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := time.Duration(rapid.IntRange(0, 20).Draw(t, "from")) * time.Second
		if got := servedShare(smallAndLargeLoad(rapid.Uint64().Draw(t, "seed"), from, "")); got < 0.9 {
			t.Errorf("share of the small account's requests started: got %.2f, want at least 0.9", got)
		}
	})
}

func TestFairnessCheckDetectsFIFO(t *testing.T) {
	if got := servedShare(smallAndLargeLoad(1, 20*time.Second, "first come, first served")); got >= 0.7 {
		t.Errorf("first come, first served: got a share of %.2f, want less than 0.7", got)
	}
}

func TestIdleShareIsUsedByActiveAccount(t *testing.T) {
	l := load{
		Seed: 1, Capacity: 8, Length: 30 * time.Second, Weights: map[string]float64{"small": 1, "idle": 9},
		Sources: []source{{"small", "plans", 500, 2}},
	}
	if got := simulate(l).total / (8 * 30 * 1000); got < 0.85 {
		t.Errorf("share of the capacity used by the only active account: got %.2f, want at least 0.85", got)
	}
}

func mixedLoad(factor float64) load {
	return load{
		Seed: 7, Capacity: 16, Length: 60 * time.Second, Weights: map[string]float64{"a": 1, "b": 1, "c": 2},
		Sources: []source{
			{"a", "chat", 300, 0.15 * factor},
			{"b", "chat", 300, 0.1 * factor},
			{"b", "tags", 60, 0.1 * factor},
			{"c", "tags", 60, 0.1 * factor},
			{"c", "plans", 1500, 0.3 * factor},
			{"a", "plans", 1500, 0.25 * factor},
		},
	}
}

func TestGoodputHoldsPastSaturationAndLowestClassIsShedFirst(t *testing.T) {
	results := map[float64]result{}
	for _, f := range []float64{1, 2, 4} {
		r := simulate(mixedLoad(f))
		results[f] = r
		t.Logf("load %.0fx: goodput %.3f of capacity (chat %.3f, tags %.3f, plans %.3f), late %d", f, r.total/(16*60*1000),
			r.goodputByClass["chat"]/(16*60*1000), r.goodputByClass["tags"]/(16*60*1000), r.goodputByClass["plans"]/(16*60*1000), r.missed)
	}
	for _, f := range []float64{2, 4} {
		if got, want := results[f].total, 0.95*results[1].total; got < want {
			t.Errorf("goodput at %.0fx: got %.0f, want at least %.0f", f, got, want)
		}
	}
	if got, want := results[2].goodputByClass["chat"], 1.8*results[1].goodputByClass["chat"]; got < want {
		t.Errorf("work of the highest class at 2x: got %.0f, want at least %.0f", got, want)
	}
}

func TestRetryAfterIsSufficient(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(Policy{Classes: classes, MaxWaiting: 64, InitialUnitTime: unitTime}, nil)
		c.SetCapacity(rapid.IntRange(1, 4).Draw(t, "capacity"))
		now := time.Unix(0, 0)
		var refused Request
		var after time.Duration
		for id := uint64(1); id < 400 && after == 0; id++ {
			r := Request{
				ID: id, Account: "a", Class: rapid.SampledFrom([]string{"chat", "plans"}).Draw(t, "class"),
				Work: float64(rapid.IntRange(100, 2000).Draw(t, "work")),
			}
			if d := c.Admit(now, r); !d.Accepted {
				if d.Refusal.Verdict != verdict.NotRun {
					t.Fatalf("verdict: got %v, want not-run", d.Refusal.Verdict)
				}
				refused, after = r, d.Refusal.RetryAfter
			}
		}
		r := simulation{c: c, now: now, result: result{goodput: map[string]float64{}, goodputByClass: map[string]float64{}}}
		// Requests that end at the time of the retry finish before it.
		for end := now.Add(after); ; r.now = r.now.Add(time.Millisecond) {
			r.finishJobs()
			for s, ok := c.Next(r.now); ok; s, ok = c.Next(r.now) {
				r.jobs = append(r.jobs, job{s, r.now.Add(time.Duration(s.Work) * unitTime)})
			}
			if !r.now.Before(end) {
				break
			}
		}
		now = r.now
		if d := c.Admit(now, refused); after > 0 && !d.Accepted {
			t.Errorf("retry after %v: got %v, want it accepted", after, d.Refusal)
		}
	})
}

func TestRetryBudgetIsTenthOfRecentSuccesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b RetryBudget
		now := time.Unix(0, 0)
		var successes, retries []time.Time
		recent := func(times []time.Time) (n int) {
			for _, at := range times {
				if now.Sub(at) < 9*time.Second {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "kind") < 7 {
				b.RecordSuccess(now)
				successes = append(successes, now)
			} else if b.TakeRetry(now) {
				retries = append(retries, now)
			}
			all := 0
			for _, at := range successes {
				if now.Sub(at) <= 11*time.Second {
					all++
				}
			}
			if got, want := recent(retries), max(minRetries, all/10+1); got > want {
				t.Fatalf("retries within 9 s: got %d, want at most %d for %d successes", got, want, all)
			}
		}
	})
}
