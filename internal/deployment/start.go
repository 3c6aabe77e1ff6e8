package deployment

import (
	"context"
	"time"

	"github.com/jaystage/jaystage/internal/event"
)

const (
	// startCheckInterval is how often a node that starts checks what it has.
	startCheckInterval = 10 * time.Millisecond
	// maxStartWatch is the time after which a node that does not serve logs what it has.
	maxStartWatch = 15 * time.Second
)

// startPhases holds the times from the start of the process until each part of the start was
// done; zero for a part that is not.
type startPhases struct{ listening, leader, lease, ready time.Duration }

// observe records which parts are done at a time, and reports whether all are.
func (p *startPhases) observe(age time.Duration, leader, lease, ready bool) bool {
	for _, part := range []struct {
		at   *time.Duration
		done bool
	}{{&p.leader, leader}, {&p.lease, lease}, {&p.ready, ready}} {
		if part.done && *part.at == 0 {
			*part.at = age
		}
	}
	return ready
}

// watchStart logs how long each part of the start took, once the entry node is ready. The
// returned channel is closed after that or when ctx ends.
func (n *Node) watchStart(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	phases := startPhases{listening: time.Since(n.startedAt)}
	go func() {
		defer close(done)
		ticker := time.NewTicker(startCheckInterval)
		defer ticker.Stop()
		for {
			var now time.Time
			select {
			case <-ctx.Done():
				return
			case now = <-ticker.C:
			}
			age := now.Sub(n.startedAt)
			_, lease := n.state.View(now)
			if phases.observe(age, n.state.Leader() != "", lease, n.gateway.Ready(now)) || age > maxStartWatch {
				n.logStart(phases)
				return
			}
		}
	}()
	return done
}

func (n *Node) logStart(p startPhases) {
	log := event.With(n.options.Log, event.NodeServing).WithFields(map[string]any{
		"listening_ms": p.listening.Milliseconds(), "leader_ms": p.leader.Milliseconds(), "lease_ms": p.lease.Milliseconds(), "ready_ms": p.ready.Milliseconds(),
	})
	if p.ready == 0 {
		log.Warn("node still does not serve")
		return
	}
	log.Info("node serves")
}
