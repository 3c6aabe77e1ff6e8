package bounded

import (
	"errors"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"

	_ "github.com/jaystage/jaystage/internal/testseed"
)

// wantWithin checks the sums of a budget. slack is the sum of the last additions of the
// answers that were given up.
func wantWithin(t rapid.TB, b *Budget, slack int) {
	t.Helper()
	if b.excess < 0 || b.excess > b.limit {
		t.Fatalf("open answers hold %d bytes, want 0 to %d", b.excess, b.limit)
	}
	if got := b.Held(); got > 2*b.limit+slack {
		t.Fatalf("all answers hold %d bytes, want at most twice the limit of %d and %d bytes", got, b.limit, slack)
	}
}

// Guards against memory that grows with the number of answers, sound answers that are given
// up for it, and answers that hold more than the one that is given up.
func TestBudgetHoldsForAnyNumberOfAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(rapid.IntRange(0, 64<<10).Draw(t, "limit"))
		var accounts []*Account
		told, last := make(map[*Account]bool), make(map[*Account]int)
		steps := rapid.IntRange(1, 300).Draw(t, "steps")
		for range steps {
			if len(accounts) == 0 || rapid.IntRange(0, 3).Draw(t, "open") == 0 {
				var a *Account
				a = b.Open(func() {
					if told[a] {
						t.Fatal("an answer was given up twice")
					}
					told[a] = true
				})
				accounts = append(accounts, a)
			}
			i := rapid.IntRange(0, len(accounts)-1).Draw(t, "account")
			a := accounts[i]
			switch n := rapid.IntRange(0, 32<<10).Draw(t, "bytes"); rapid.IntRange(0, 6).Draw(t, "verb") {
			case 0:
				a.Keep(n)
			case 2:
				if !a.GivenUp() {
					last[a] = max(0, n-a.Cost())
				}
				_ = a.Set(n)
			case 1:
				a.Close()
				accounts = append(accounts[:i], accounts[i+1:]...)
				if a.excess != 0 || a.index != -1 {
					t.Fatalf("a closed answer holds %d bytes", a.excess)
				}
			default:
				lost := a.GivenUp()
				if !lost {
					last[a] = n
				}
				if err := a.Add(n); (err != nil) != a.GivenUp() || err != nil && !errors.Is(err, ErrOverBudget) {
					t.Fatalf("got error %v of an answer that is given up: %v", err, a.GivenUp())
				}
				if !lost && a.GivenUp() && a.Cost() <= Allowance {
					t.Fatalf("an answer that holds %d bytes was given up, want none within the allowance of %d", a.Cost(), Allowance)
				}
			}
			sum, leaving, slack := 0, 0, 0
			for _, a := range accounts {
				if a.GivenUp() {
					leaving, slack = leaving+a.excess, slack+last[a]
				} else {
					sum += max(0, a.Cost()-Allowance)
				}
			}
			if sum != b.excess || leaving != b.leaving {
				t.Fatalf("got sums %d and %d, want %d and %d", b.excess, b.leaving, sum, leaving)
			}
			wantWithin(t, b, slack)
		}
	})
}

// Guards against a sound answer that ends for a faulty one: compares with a plain model, in
// which the largest is looked for among all.
func TestLargestAnswerIsGivenUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(256 << 10)
		var accounts []*Account
		var want []int // excess of the answers that are kept
		for _, cost := range rapid.SliceOfN(rapid.IntRange(0, 64<<10), 1, 50).Draw(t, "costs") {
			a := b.Open(func() {})
			accounts = append(accounts, a)
			_ = a.Add(cost)
			want = append(want, max(0, cost-Allowance))
			for slices.Sort(want); total(want) > b.limit; {
				want = want[:len(want)-1]
			}
			for _, a := range accounts {
				if a.GivenUp() {
					a.Close()
				}
			}
		}
		var got []int
		for _, a := range accounts {
			if !a.GivenUp() {
				got = append(got, max(0, a.Cost()-Allowance))
			}
		}
		if slices.Sort(got); !slices.Equal(got, want) {
			t.Fatalf("got answers of %v bytes kept, want %v", got, want)
		}
	})
}

func total(list []int) (sum int) {
	for _, n := range list {
		sum += n
	}
	return sum
}

// Guards against a sound answer with a long body that is given up for many short ones of bytes
// that are no answer.
func TestSoundAnswerIsGivenUpLast(t *testing.T) {
	b := NewBudget(256 << 10)
	sound := b.Open(func() { t.Error("the sound answer was given up") })
	if err := sound.Add(200 << 10); err != nil {
		t.Fatal(err)
	}
	sound.MarkSound()
	lost := 0
	for range 100 {
		var a *Account
		a = b.Open(func() {
			lost++
			a.Close()
		})
		if a.Add(20<<10) != nil {
			lost++
			a.Close()
		}
	}
	if lost == 0 {
		t.Error("got no answer given up, want some of the others")
	}
	if err := sound.Add(1); err != nil {
		t.Errorf("got %v for the sound answer, want nil", err)
	}
}

// Guards against a connection that is closed while another request uses it already.
func TestClosedAnswerIsNotGivenUp(t *testing.T) {
	b := NewBudget(16 << 10)
	first := b.Open(func() { t.Error("a closed answer was given up") })
	if err := first.Add(Allowance + 10<<10); err != nil {
		t.Fatal(err)
	}
	if !first.Close() {
		t.Error("got a given up answer, want a sound one")
	}
	if err := b.Open(func() {}).Add(Allowance + 17<<10); !errors.Is(err, ErrOverBudget) {
		t.Errorf("got %v, want %v", err, ErrOverBudget)
	}
}

// Guards against data races and sums that do not return to zero.
func TestBudgetInParallel(t *testing.T) {
	b := NewBudget(128 << 10)
	var wg sync.WaitGroup
	for i := range 32 {
		wg.Go(func() {
			for range 50 {
				a := b.Open(func() {})
				for a.Add(1<<10+i) == nil && a.Cost() < 64<<10 {
					wantHeldWithin(t, b)
				}
				a.Close()
			}
		})
	}
	wg.Wait()
	if b.Held() != 0 {
		t.Errorf("got %d bytes held by closed answers, want 0", b.Held())
	}
}

func wantHeldWithin(t *testing.T, b *Budget) {
	t.Helper()
	if got := b.Held(); got > 2*b.Limit()+32*2<<10 {
		t.Errorf("got %d bytes held, want at most %d", got, 2*b.Limit())
	}
}

// Guards against bytes that a reader buffers without counting them, and heads that count as
// little as bodies.
func TestReaderCountsWhatItReads(t *testing.T) {
	b := NewBudget(1 << 20)
	r := &Reader{Source: strings.NewReader(strings.Repeat("x", 9000)), Account: b.Open(func() {})}
	r.Limit(plainHeadBytes + 1000)
	for _, n := range []int{plainHeadBytes, 1000} {
		if _, err := io.ReadFull(r, make([]byte, n)); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := r.Account.Cost(), plainHeadBytes*BodyFactor+1000*HeadFactor; got != want {
		t.Errorf("got a cost of %d for a head, want %d", got, want)
	}
	if _, err := r.Read(make([]byte, 1)); !errors.Is(err, ErrTooLong) {
		t.Errorf("got %v, want %v", err, ErrTooLong)
	}
	if got, want := r.Lift(), plainHeadBytes+1000; got != want {
		t.Errorf("got %d bytes of the head, want %d", got, want)
	}
	r.Account.Keep(0)
	if _, err := io.ReadAll(r); err != nil {
		t.Fatal(err)
	}
	if got, want := r.Account.Cost(), (9000-plainHeadBytes-1000)*BodyFactor; got != want {
		t.Errorf("got a cost of %d for a body, want %d", got, want)
	}
}

// Guards against an upstream whose other answers go on up to the usual limit after one of them
// was cut off.
func TestDistrustedHeadEndsSooner(t *testing.T) {
	var distrusted atomic.Bool
	r := &Reader{Source: strings.NewReader(strings.Repeat("x", 4*DistrustedHeadBytes)), Distrusted: distrusted.Load}
	r.Limit(3 * DistrustedHeadBytes)
	if _, err := io.ReadFull(r, make([]byte, 2*DistrustedHeadBytes)); err != nil {
		t.Fatal(err)
	}
	distrusted.Store(true)
	if _, err := r.Read(make([]byte, 1)); !errors.Is(err, ErrTooLong) {
		t.Errorf("got %v, want %v", err, ErrTooLong)
	}
	r.Limit(3 * DistrustedHeadBytes)
	if _, err := r.Read(make([]byte, 100)); err != nil {
		t.Errorf("got %v for a short head, want nil", err)
	}
}

// Guards against a limit that does not follow from the VM's memory.
func TestLimitFollowsFromMemory(t *testing.T) {
	if got, want := LimitFor(184<<20), 184<<20/16; got != want {
		t.Errorf("got a limit of %d, want %d", got, want)
	}
	if got := LimitFor(0); got != defaultLimit {
		t.Errorf("got a limit of %d without a known memory, want %d", got, defaultLimit)
	}
}
