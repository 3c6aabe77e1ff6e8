// Package periodic runs a function at an interval.
package periodic

import (
	"context"
	"time"
)

// Run starts a goroutine that calls f once per interval until ctx ends. The returned
// channel is closed after the last call has returned.
func Run(ctx context.Context, interval time.Duration, f func(ctx context.Context, now time.Time)) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case now := <-ticker.C:
				f(ctx, now)
			}
		}
	}()
	return done
}
