// Package periodic runs a function at an interval.
package periodic

import (
	"context"
	"time"
)

// Run calls f at each interval until ctx ends. The channel closes after the last
// call has returned.
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
