package periodic

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// Guards against a periodic task whose panic takes down the process or ends the task.
func TestTaskGoesOnAfterPanic(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	calls := make(chan int, 1)
	n := 0
	done := Run(ctx, log, time.Millisecond, func(context.Context, time.Time) {
		n++
		if n < 3 {
			panic("asked to panic")
		}
		select {
		case calls <- n:
		default:
		}
	})
	if got := <-calls; got != 3 {
		t.Errorf("got call %d after two panics, want 3", got)
	}
	cancel()
	<-done
}
