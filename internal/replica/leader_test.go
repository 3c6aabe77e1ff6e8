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
		if from, due := p.due(now, nodePushInterval, 0); due {
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
	p.due(later, nodePushInterval, 0)
	p.record(101, false)
	p.record(102, true)
	if from, due := p.due(later.Add(time.Millisecond), nodePushInterval, 0); !due || from != 101 {
		t.Errorf("got a push %v since %d right after a change of the plan, want one since 101", due, from)
	}
}

// Load pattern: dozens of upstreams leave while 300 nodes start, and each is recorded.
// Guards against a push to every node for each record, and against a delay of a single
// change.
func TestUrgentPushesToManyNodesAreBatched(t *testing.T) {
	const nodes = 300
	var p pendingPush
	start := time.Unix(1000, 0)
	pushes := 0
	for ms := range 400 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		p.record(uint64(ms), true)
		if _, due := p.due(now, nodes*nodePushTimeEach, nodes*urgentPushTimeEach); due {
			pushes++
		}
	}
	if most := 400/30 + 1; pushes > most {
		t.Errorf("got %d pushes in 400 ms, want at most %d", pushes, most)
	}
	p = pendingPush{}
	p.record(1, true)
	if _, due := p.due(start, nodes*nodePushTimeEach, nodes*urgentPushTimeEach); !due {
		t.Error("a single change is not pushed at once")
	}
}

func TestWakeTimeGrowsWithFleet(t *testing.T) {
	if got := wakeTime(8, 0.99); got != wakeDelay {
		t.Errorf("8 nodes: got %v, want %v", got, wakeDelay)
	}
	if got, least, most := wakeTime(300, 0.9), 50*time.Millisecond, 60*time.Millisecond; got < least || got > most {
		t.Errorf("300 nodes: got %v, want %v to %v", got, least, most)
	}
}
