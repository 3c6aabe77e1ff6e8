package control

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jaystage/jaystage/pkg/wire"
)

// Guards against a leader that was paused for some seconds and then calls the platform on
// a leadership that has ended meanwhile.
func TestPausedLeaderDoesNotCallPlatform(t *testing.T) {
	const minLeadTime = 3 * time.Second
	for _, c := range []struct {
		name  string
		pause time.Duration // between the question to the quorum and the call
		// replaced is true if another voter has led since the last step of this process.
		replaced bool
		want     bool // a call is made
	}{
		{"not paused", 0, false, true},
		{"paused before the quorum was asked, and replaced", 0, true, false},
		{"paused after the quorum was asked, shortly", minLeadTime / 4, false, true},
		{"paused after the quorum was asked, until another leader may call", minLeadTime, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, p := newFakeState(), &callRecorder{}
			control := newControl(s)
			if err := control.PutPlan(context.Background(), scaledPlan()); err != nil {
				t.Fatal(err)
			}
			now := time.Unix(1000, 0)
			control.bootTime = func() time.Time { return now }
			control.Platform, control.ScalingEnabled, control.MinLeadTime = p, true, minLeadTime
			control.scaler.startedAt = now.Add(-time.Minute)
			control.scaler.leadership = leadership{term: s.term, since: now.Add(-time.Minute)}
			for i := range 6 {
				control.roster.Apply(now, wire.Status{ID: fmt.Sprint("u", i), Service: "s", Domain: "d", Born: 1, Slots: 8, Sequence: 1})
			}
			control.scaler.run(context.Background(), now) // records the nominal size
			s.onConfirm = func() {
				now = now.Add(c.pause)
				if c.replaced {
					s.term++
				}
			}
			control.scaler.run(context.Background(), now)
			if got := len(p.calls) > 0; got != c.want {
				t.Errorf("got calls %v, want %v", p.calls, c.want)
			}
		})
	}
}

func TestPausedLeaderReportsWhy(t *testing.T) {
	s := newFakeState()
	control := newControl(s)
	now := time.Unix(1000, 0)
	control.MinLeadTime = time.Second
	control.bootTime = func() time.Time { now = now.Add(time.Second); return now }
	err := control.callPlatform(context.Background(), s.term, func(context.Context) error { return nil })
	if !errors.Is(err, errPaused) {
		t.Errorf("got %v, want %v", err, errPaused)
	}
}

// Guards against settings that allow orders and name no platform: a leader would panic at
// each step.
func TestScalerWithoutPlatformDoesNothing(t *testing.T) {
	s := newFakeState()
	c := newControl(s)
	if err := c.PutPlan(context.Background(), scaledPlan()); err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1000, 0)
	c.ScalingEnabled, c.scaler.startedAt = true, now.Add(-time.Minute)
	for i := range 6 {
		c.roster.Apply(now, wire.Status{ID: fmt.Sprint("u", i), Service: "s", Domain: "d", Born: 1, Slots: 8, Sequence: 1})
	}
	for range 2 { // the first step records the nominal size
		c.scaler.run(context.Background(), now)
	}
}
