package caller

import (
	"context"
	"net/http"
	"testing"
)

// A client that retries a booking after a lost answer must not get verdict
// not-run from a node that cannot know whether the booking ran.
func TestRefusalWithKeyMayHaveRun(t *testing.T) {
	f := newFixture(t, nil)
	post := func(t *testing.T, key string) *http.Response {
		t.Helper()
		header := http.Header{}
		if key != "" {
			header.Set(IdempotencyKeyHeader, key)
		}
		resp, err := f.try("/s/booking/bookings", `{}`, header)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = resp.Body.Close() })
		return resp
	}
	f.noLease.Store(true)
	t.Run("request with a key and no lease may have run", func(t *testing.T) {
		checkProblem(t, post(t, "k1"), "configuration-lease-expired", "may-have-run")
	})
	t.Run("request without a key was not run", func(t *testing.T) {
		checkProblem(t, post(t, ""), "configuration-lease-expired", "not-run")
	})
	f.noLease.Store(false)
	f.api.Unready.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	f.api.Drain(ctx)
	t.Run("request with a key during shutdown may have run", func(t *testing.T) {
		checkProblem(t, post(t, "k1"), "shutting-down", "may-have-run")
	})
}
