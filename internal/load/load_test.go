package load

import (
	"context"
	"reflect"
	"testing"
	"time"
)

// Results of two runs are comparable only if both send the same requests.
func TestPlanArrivalsIsDeterministic(t *testing.T) {
	for _, deployment := range []string{"consortium", "federwerk"} {
		classes, err := classMix(deployment)
		if err != nil {
			t.Fatal(err)
		}
		o := Options{Rate: 50, Duration: 2 * time.Second, Seed: 7}
		first, second := planArrivals(o, classes), planArrivals(o, classes)
		if len(first) == 0 || !reflect.DeepEqual(first, second) {
			t.Errorf("%s: got %d and %d requests, want equal sequences", deployment, len(first), len(second))
		}
	}
}

// The node must not lose requests when a failure domain is reclaimed.
func TestReclaimLosesNoRequests(t *testing.T) {
	results, err := Run(context.Background(), Options{
		Deployment: "consortium", Rate: 8, Duration: 4 * time.Second, Seed: 1, Events: []Event{Reclaim}, Balancers: []string{"jaystage"},
	})
	if err != nil {
		t.Fatal(err)
	}
	if got := results[0]; got.Lost != 0 || got.Answered == 0 {
		t.Errorf("got %+v, want no lost requests", got)
	}
}
