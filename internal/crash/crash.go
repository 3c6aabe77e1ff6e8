// Package crash records panics that ended only one task of the process.
package crash

import (
	"expvar"
	"fmt"
	"math/bits"
	"runtime/debug"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/event"
)

// panics counts the recovered panics of the process. A periodic task may panic at each
// call, so only counts that are powers of two are logged.
var panics atomic.Uint64

func init() {
	expvar.Publish("panics", expvar.Func(func() any { return panics.Load() }))
}

// Record counts and logs a value that the caller recovered from a panic. task names
// what was ended by it.
func Record(log logrus.FieldLogger, task string, recovered any) {
	n := panics.Add(1)
	if bits.OnesCount64(n) != 1 {
		return
	}
	event.With(log, event.TaskPanicked).WithFields(logrus.Fields{
		"task": task, "panic": fmt.Sprint(recovered), "count": n, "stack": string(debug.Stack()),
	}).Error("task ended by a panic; the process goes on")
}
