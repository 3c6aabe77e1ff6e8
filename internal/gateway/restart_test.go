package gateway

import (
	"testing"
	"time"
)

// Guards against retries beyond the budget of all nodes, because a process that starts again has
// a new budget within the window in which the one before it has used up its own.
func TestRestartKeepsRetryBudget(t *testing.T) {
	const requests = 400
	now := time.Now()
	// retries returns how many retries a process takes at once that has run for a time.
	retries := func(age time.Duration) (count int) {
		env := newTestEnv(t)
		env.gateway.started = now.Add(-age)
		set := env.gateway.upstreams
		set.mu.Lock()
		defer set.mu.Unlock()
		for range requests {
			set.retryBudget(now, "s", 1).RecordFirstAttempt(now)
		}
		for set.retryBudget(now, "s", 1).TakeRetry(now) {
			count++
		}
		return count
	}
	settings := newTestEnv(t).gateway.Settings
	before, after := retries(settings.RetryWindow), retries(settings.RetryWindow-time.Millisecond)
	if got, want := before+after, int(settings.RetryRatio*requests+settings.RetrySlack); got > want {
		t.Errorf("retries of a process and the one after it: got %d and %d, want at most %d", before, after, want)
	}
	if after == 0 {
		t.Error("retries of a process that has just started: got none, want some")
	}
}
