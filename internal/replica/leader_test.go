package replica

import (
	"testing"
	"time"
)

// All nodes of a deployment may start sessions within a tenth of a second. Guards
// against one push to all nodes for each session, and against a delay of changes to the
// plan.
func TestNodePushesAreBatched(t *testing.T) {
	var p pendingPush
	start := time.Unix(1000, 0)
	pushes, pushed := 0, uint64(0)
	for ms := range 150 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms < 100 {
			p.record(uint64(ms), false)
		}
		if from, due := p.due(now, nodePushInterval); due {
			if from != pushed {
				t.Fatalf("got a push of the changes since %d, want since %d", from, pushed)
			}
			pushes, pushed = pushes+1, uint64(min(ms, 99)+1)
		}
	}
	if pushes > 7 || pushed != 100 {
		t.Errorf("got %d pushes up to version %d, want at most 7 up to 100", pushes, pushed)
	}
	later := start.Add(time.Second)
	p.record(100, false)
	p.due(later, nodePushInterval)
	p.record(101, false)
	p.record(102, true)
	if from, due := p.due(later.Add(time.Millisecond), nodePushInterval); !due || from != 101 {
		t.Errorf("got a push %v since %d right after a change of the plan, want one since 101", due, from)
	}
}
