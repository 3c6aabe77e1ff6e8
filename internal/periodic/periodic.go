// Package periodic runs a function at an interval.
package periodic

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/crash"
)

// Run starts a goroutine that calls f once per interval until ctx ends. The returned
// channel is closed after the last call has returned. A panic ends only the present call
// and is logged.
func Run(ctx context.Context, log logrus.FieldLogger, interval time.Duration, f func(ctx context.Context, now time.Time)) <-chan struct{} {
	call := func(now time.Time) {
		defer func() {
			if p := recover(); p != nil {
				crash.Record(log, "periodic task", p)
			}
		}()
		f(ctx, now)
	}
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
				call(now)
			}
		}
	}()
	return done
}
