package gateway

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/jaystage/jaystage/internal/peer"
	"github.com/jaystage/jaystage/pkg/wire"
)

// usageLinks keeps the counts of the last usage report.
type usageLinks struct {
	mu      sync.Mutex
	counted uint64
	// reported receives a value after each report.
	reported chan struct{}
}

// Handle implements Links.
func (l *usageLinks) Handle(string, peer.Handler) {}

// Call implements Links.
func (l *usageLinks) Call(_ context.Context, _, _ string, message, _ any) error {
	report, ok := message.(wire.UseTally)
	if !ok {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counted = 0
	for _, w := range report.Windows {
		l.counted += w.Count
	}
	select {
	case l.reported <- struct{}{}:
	default:
	}
	return nil
}

// knownLeader is the name of the leader.
type knownLeader string

// Leader implements Leader.
func (l knownLeader) Leader() string { return string(l) }

// Guards against requests between the last usage report and the end of the process that no usage
// report counts, and whose cost the other nodes do not learn.
func TestUsageIsReportedAtTheEndOfAStop(t *testing.T) {
	const requests = 5
	env := newTestEnv(t, newFakeUpstream(t, respondOK("ok")))
	env.gateway.ledger.window = time.Minute
	links := &usageLinks{reported: make(chan struct{}, 1)}
	exchange := &Exchange{Gateway: env.gateway, Links: links, State: knownLeader("v1")}
	ctx, cancel := context.WithCancel(t.Context())
	done := exchange.Run(ctx)
	<-links.reported
	for range requests {
		wantStatus(t, env.call("POST", "/book/", "b"), 200)
	}
	cancel()
	<-done
	links.mu.Lock()
	defer links.mu.Unlock()
	if links.counted != requests {
		t.Errorf("requests in the last usage report: got %d, want %d", links.counted, requests)
	}
}
