package control

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/pkg/traffic"
	"github.com/jaystage/jaystage/pkg/wire"
)

// Guards against a plan of the release before, also one that it records during an upgrade, whose
// empty list of accounts keeps all routes open.
func TestPlanOfEarlierReleaseIsRewritten(t *testing.T) {
	now := time.Unix(100, 0)
	earlier := func(s *fakeState, version uint64) {
		t.Helper()
		value, err := traffic.Encode(testPlan(version, time.Second))
		if err != nil {
			t.Fatal(err)
		}
		s.space.Apply(wire.Change{Base: s.space.Version, Items: []wire.Item{{Key: config.KeyPlan, Value: value}}})
	}
	for _, c := range []struct {
		name    string
		readErr error
		leads   bool
		want    traffic.Access
	}{
		{"on the leader", nil, true, traffic.AccessKeys},
		{"on another voter", nil, false, ""},
		{"the document cannot be read", errors.New("unreadable"), true, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newFakeState()
			control := newControl(s)
			control.ReadPlan = func([]byte) (*traffic.Plan, error) {
				p := testPlan(s.view().Plan.Version, time.Second)
				p.Access = traffic.AccessKeys
				return p, c.readErr
			}
			if !c.leads {
				s.term = 0
			}
			for version := range uint64(2) {
				earlier(s, version+1)
				control.planConverter.run(context.Background(), now)
				if got := s.view().Plan; got.Access != c.want || got.Version != version+1 {
					t.Errorf("got access %q in version %d, want %q in %d", got.Access, got.Version, c.want, version+1)
				}
			}
		})
	}
	t.Run("a newer plan comes first", func(t *testing.T) {
		s := newFakeState()
		control := newControl(s)
		control.ReadPlan = func([]byte) (*traffic.Plan, error) { return testPlan(1, time.Second), nil }
		earlier(s, 1)
		s.onChange = func() { earlier(s, 2) }
		control.planConverter.run(context.Background(), now)
		if got, want := s.view().Plan.Version, uint64(2); got != want {
			t.Errorf("got plan %d, want %d", got, want)
		}
	})
}
