package traffic

import (
	"testing"
	"time"
)

// Guards against retries that multiply the load when every upstream fails and each
// request would be retried.
func TestRetryBudgetLimitsRetriesInEveryWindow(t *testing.T) {
	b := RetryBudget{Ratio: 0.2, Slack: 5, Window: 10 * time.Second}
	start := time.Unix(5000, 0)
	var retries []time.Duration
	for ms := 0; ms < 60_000; ms += 20 {
		at := time.Duration(ms) * time.Millisecond
		b.RecordFirstAttempt(start.Add(at))
		if b.TakeRetry(start.Add(at)) {
			retries = append(retries, at)
		}
	}
	for i := range retries {
		n := 0
		for _, at := range retries[i:] {
			if at < retries[i]+b.Window {
				n++
			}
		}
		if got, want := n, int(0.2*500*1.1+5); got > want {
			t.Fatalf("from %v: got %d retries in a window of 500 requests, want at most %d", retries[i], got, want)
		}
	}
	if len(retries) < 500 {
		t.Errorf("got %d retries of 3000 requests, want most of the budget used", len(retries))
	}
}

func TestRetryBudgetRecoversAfterPause(t *testing.T) {
	b := RetryBudget{Ratio: 0, Slack: 1, Window: 10 * time.Second}
	start := time.Unix(5000, 0)
	if !b.TakeRetry(start) || b.TakeRetry(start) {
		t.Error("the slack was not 1")
	}
	if !b.TakeRetry(start.Add(time.Hour)) {
		t.Error("a retry still counts after an hour")
	}
}
