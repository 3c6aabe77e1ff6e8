package gateway

import (
	"testing"

	"github.com/jaystage/jaystage/pkg/traffic"
)

// Guards against routes that are opened to everyone when the last account is taken out of a plan
// (review/9), and against a plan without accounts whose requests are refused.
func TestPlanWithoutAccounts(t *testing.T) {
	for _, c := range []struct {
		name   string
		access traffic.Access
		public bool
		want   int
	}{
		{"the list of accounts has become empty", traffic.AccessKeys, false, 401},
		{"the list has become empty, a public route", traffic.AccessKeys, true, 200},
		{"requests need no key", traffic.AccessOpen, false, 200},
		{"recorded by a release that did not tell", "", false, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := newFakeUpstream(t, respondOK("x"))
			env := newTestEnv(t, u)
			plan := testPlan()
			plan.Access, plan.Accounts, plan.Routes[0].Public = c.access, nil, c.public
			data, err := traffic.Encode(plan)
			if err != nil {
				t.Fatal(err)
			}
			if env.state.view.Plan, err = traffic.Decode(data); err != nil {
				t.Fatal(err)
			}
			wantStatus(t, env.call("GET", "/look/", ""), c.want)
			if got, want := u.count() > 0, c.want == 200; got != want {
				t.Errorf("the upstream ran the request: got %v, want %v", got, want)
			}
		})
	}
}
