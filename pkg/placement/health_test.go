package placement

import (
	"fmt"
	"testing"
	"time"
)

// Upstream fault: bytes without end that are no answer. Guards against a faulty upstream that
// gets as many requests as before, and a sound one that gets none after one broken answer.
func TestMalformedAnswersBanOnlyInSeries(t *testing.T) {
	wantBanned := func(t *testing.T, u *Upstream, at time.Time, want bool) {
		t.Helper()
		if got := u.Banned(at); got != want {
			t.Errorf("got banned %v, want %v", got, want)
		}
	}
	t.Run("one broken answer of a sound upstream", func(t *testing.T) {
		list := fleet(4, 64)
		for range 20 {
			list[0].RecordSuccess(now)
		}
		list[0].RecordMalformed(now)
		wantBanned(t, list[0], now, false)
		if !list[0].Distrusted(now) {
			t.Error("got a trusted upstream, want lower limits for its other answers")
		}
		list[0].RecordSuccess(now)
		if list[0].Distrusted(now) {
			t.Error("got a distrusted upstream after a sound answer")
		}
	})
	t.Run("broken answers between sound ones", func(t *testing.T) {
		u := fleet(1, 64)[0]
		for range 10 {
			u.RecordMalformed(now)
			u.RecordSuccess(now)
			wantBanned(t, u, now, false)
		}
	})
	t.Run("two in a row and more after each ban", func(t *testing.T) {
		u := fleet(1, 64)[0]
		u.RecordMalformed(now)
		at, ban := now, minBan
		for range 6 {
			u.RecordMalformed(at)
			u.RecordMalformed(at) // of a concurrent request
			wantBanned(t, u, at.Add(ban-1), true)
			wantBanned(t, u, at.Add(ban), false)
			at, ban = at.Add(ban), min(2*ban, maxBan)
		}
	})
	t.Run("one request at a time after a ban", func(t *testing.T) {
		list := fleet(1, 64)
		list[0].RecordMalformed(now)
		list[0].RecordMalformed(now)
		later := now.Add(minBan)
		wantChosen := func(id string, want bool) {
			t.Helper()
			c, got := Choose(later, Request{ID: id}, Options{Domain: "a", MaxWaiting: 10}, list)
			if got != want {
				t.Fatalf("request %s: got chosen %v, want %v", id, got, want)
			}
			if got {
				c.RecordSend(later, Options{})
			}
		}
		wantChosen("first", true)
		wantChosen("second", false)
		list[0].RecordSuccess(later)
		wantChosen("after a sound answer", true)
	})
	t.Run("a long time apart", func(t *testing.T) {
		u := fleet(1, 64)[0]
		u.RecordMalformed(now)
		later := now.Add(malformedMemory + 1)
		if u.Distrusted(later) {
			t.Error("got a distrusted upstream, want its malformed answer forgotten")
		}
		u.RecordMalformed(later)
		wantBanned(t, u, later, false)
	})
	t.Run("answers that end at the lower limits", func(t *testing.T) {
		u := fleet(1, 64)[0]
		for at := now; at.Before(now.Add(distrustTime)); at = at.Add(distrustTime / 4) {
			u.RecordMalformed(at)
		}
		if u.Distrusted(now.Add(distrustTime)) {
			t.Error("got an upstream that is distrusted for good, want usual limits again")
		}
	})
	t.Run("requests go to sound upstreams", func(t *testing.T) {
		list := fleet(4, 64)
		list[0].RecordMalformed(now)
		for i := range 40 {
			if u := choose(t, now, Request{ID: fmt.Sprint(i)}, Options{Domain: "a", MaxWaiting: 10}, list); u == list[0] {
				t.Fatal("the upstream with a malformed answer was chosen among idle ones")
			}
		}
	})
}
