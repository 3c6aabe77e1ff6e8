package drain

import (
	"math/rand/v2"
	"testing"
	"time"
)

var (
	start = time.Unix(1000, 0)
	// window is that of the users' platform: 8 s of grace, 0.6 s of it for the exit.
	window = Window{Start: start, Settled: at(2500 * time.Millisecond), End: at(7400 * time.Millisecond)}
	chat   = Kind{Service: "chat", Size: 9}
)

func at(d time.Duration) time.Time { return start.Add(d) }

func wantAdmits(t *testing.T, w Window, now, timeout time.Duration, e Estimate, want bool) {
	t.Helper()
	if got := w.Admits(at(now), at(now+timeout), false, e); got != want {
		t.Errorf("request %v after the signal, timeout %v, %+v: got admitted %v, want %v", now, timeout, e, got, want)
	}
}

func TestAdmits(t *testing.T) {
	const limit = 15 * time.Second
	known := func(mean, longest time.Duration) Estimate { return Estimate{mean, longest, manySamples, true} }
	t.Run("a node that is not stopping refuses", func(t *testing.T) {
		wantAdmits(t, Window{}, time.Hour, limit, Estimate{}, true)
	})
	t.Run("clients are refused while they have no other node", func(t *testing.T) {
		wantAdmits(t, window, 0, limit, Estimate{}, true)
		wantAdmits(t, window, 2*time.Second, limit, known(3*time.Second, 9*time.Second), true)
	})
	t.Run("an answer that is usually longer than the grace period is begun", func(t *testing.T) {
		wantAdmits(t, window, time.Second, limit, known(7*time.Second, 9*time.Second), false)
	})
	t.Run("an answer that may be cut is begun late", func(t *testing.T) {
		wantAdmits(t, window, 3*time.Second, limit, known(2*time.Second, 4*time.Second), false)
		wantAdmits(t, window, 3*time.Second, limit, Estimate{}, false)
	})
	t.Run("an answer is begun in a short grace period that may be cut", func(t *testing.T) {
		short := Window{Start: start, Settled: at(2500 * time.Millisecond), End: at(5400 * time.Millisecond)}
		wantAdmits(t, short, time.Second, limit, Estimate{}, true)
		wantAdmits(t, short, 2*time.Second, limit, Estimate{}, false)
	})
	t.Run("a few answers are trusted like many", func(t *testing.T) {
		wantAdmits(t, window, 3*time.Second, limit, Estimate{time.Second, 2500 * time.Millisecond, manySamples, true}, true)
		wantAdmits(t, window, 3*time.Second, limit, Estimate{time.Second, 2500 * time.Millisecond, minSamples, true}, false)
	})
	t.Run("short requests are refused late", func(t *testing.T) {
		wantAdmits(t, window, 6*time.Second, limit, known(30*time.Millisecond, 200*time.Millisecond), true)
		wantAdmits(t, window, 4*time.Second, 2*time.Second, Estimate{}, true)
	})
	t.Run("a late stream is begun that may take longer than any before", func(t *testing.T) {
		usual := known(30*time.Millisecond, 100*time.Millisecond)
		for now, want := range map[time.Duration]bool{time.Second: true, 2600 * time.Millisecond: false, 6 * time.Second: false} {
			if got := window.Admits(at(now), at(now+limit), true, usual); got != want {
				t.Errorf("stream %v after the signal: got admitted %v, want %v", now, got, want)
			}
		}
		if !window.Admits(at(4*time.Second), at(6*time.Second), true, Estimate{}) {
			t.Error("stream whose deadline is before the end: got refused, want admitted")
		}
	})
	t.Run("a request is begun at the end", func(t *testing.T) {
		wantAdmits(t, window, 7300*time.Millisecond, limit, known(30*time.Millisecond, 100*time.Millisecond), false)
		wantAdmits(t, window, 7400*time.Millisecond, 0, Estimate{}, false)
	})
}

func TestEstimate(t *testing.T) {
	record := func(d *Durations, now time.Time, n int, took time.Duration) {
		for range n {
			d.Record(now, chat, took)
		}
	}
	want := func(t *testing.T, d *Durations, now time.Time, want Estimate) {
		t.Helper()
		if got := d.Estimate(now, chat); got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
	t.Run("few answers of a process that has just started are trusted", func(t *testing.T) {
		d := NewDurations()
		record(d, start, minSamples-1, time.Second)
		want(t, d, start, Estimate{})
	})
	t.Run("the longest answer is forgotten at once", func(t *testing.T) {
		d := NewDurations()
		record(d, start, 1, 4*time.Second)
		record(d, start, 3*minSamples-1, time.Second)
		want(t, d, at(generation+time.Second), Estimate{1050 * time.Millisecond, 4 * time.Second, 3 * minSamples, true})
	})
	t.Run("old answers count for good", func(t *testing.T) {
		d := NewDurations()
		record(d, start, minSamples, 4*time.Second)
		record(d, at(generation), minSamples, time.Second)
		want(t, d, at(2*generation), Estimate{time.Second, time.Second, minSamples, true})
		want(t, d, at(5*generation), Estimate{})
	})
	t.Run("an answer that never ends is not noticed", func(t *testing.T) {
		d := NewDurations()
		record(d, start, minSamples, time.Second)
		d.RecordUnfinished(start, chat, 3*time.Second)
		want(t, d, start, Estimate{time.Second, 3 * time.Second, minSamples, true})
	})
	t.Run("a slow route counts for the others", func(t *testing.T) {
		d := NewDurations()
		slow, quick := Kind{Service: "s", Route: "slow"}, Kind{Service: "s", Route: "quick"}
		for range minSamples {
			d.Record(start, slow, 4*time.Second)
			d.Record(start, quick, time.Second)
		}
		if got, want := d.Estimate(start, quick).Longest, time.Second; got != want {
			t.Errorf("got %v for the quick route, want %v", got, want)
		}
		if got, want := d.Estimate(start, Kind{Service: "s", Route: "new"}).Longest, 4*time.Second; got != want {
			t.Errorf("got %v for a new route, want %v", got, want)
		}
	})
	t.Run("kinds are kept for good", func(t *testing.T) {
		d := NewDurations()
		for i := range 1000 {
			d.Record(at(time.Duration(i)*generation/10), Kind{Size: i}, time.Second)
		}
		if got, want := len(d.present)+len(d.earlier), 20; got > want {
			t.Errorf("got %d kinds, want at most %d", got, want)
		}
	})
}

// Pattern: clients keep using their connections until the process is gone. Answers take times
// that vary by a factor of five, one in a hundred twice that. Guards against answers that are
// cut at the end although earlier ones show how long they take, and against a node that
// refuses all late requests.
func TestLateRequestsAreServedOrRefused(t *testing.T) {
	const (
		nodes    = 400
		earlier  = 300 // answers before the signal
		limit    = 15 * time.Second
		minShare = 0.75 // of short requests up to 5 s after the signal
	)
	for _, c := range []struct {
		name    string
		shortly bool
		stream  bool
		usual   time.Duration
	}{
		{"lookups", true, false, 30 * time.Millisecond},
		{"drafts", false, false, time.Second},
		{"reports", false, false, 3 * time.Second},
		{"short chats", false, true, 30 * time.Millisecond},
		{"chats", false, true, time.Second},
		{"plans", false, true, 3 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			cut, unforeseen, served, sent := 0, 0, 0, 0
			for node := range nodes {
				rng := rand.New(rand.NewPCG(uint64(node), 1))
				took := func() time.Duration {
					d := time.Duration((0.4 + 1.6*rng.Float64()) * float64(c.usual))
					if rng.IntN(100) == 0 {
						d *= 2
					}
					return d
				}
				d := NewDurations()
				longest := time.Duration(0)
				for range earlier {
					answer := took()
					longest = max(longest, answer)
					d.Record(start, chat, answer)
				}
				for now := 2500 * time.Millisecond; now < 7400*time.Millisecond; now += 100 * time.Millisecond {
					early := now <= 5*time.Second
					if early {
						sent++
					}
					if !window.Admits(at(now), at(now+limit), c.stream, d.Estimate(at(now), chat)) {
						continue
					}
					if early {
						served++
					}
					switch answer := took(); {
					case now+answer <= 7400*time.Millisecond:
					case answer > longest*5/4:
						unforeseen++
					default:
						cut++
					}
				}
			}
			if cut > 0 {
				t.Errorf("got %d answers cut at %d stops, want none", cut, nodes)
			}
			if c.stream && unforeseen > 0 {
				t.Errorf("got %d streams cut that took longer than any before, want none", unforeseen)
			}
			if share := float64(served) / float64(sent); c.shortly && share < minShare {
				t.Errorf("got %.2f of the requests served, want %.2f", share, minShare)
			}
			t.Logf("%d of %d served, %d cut that took longer than any before", served, sent, unforeseen)
		})
	}
}
