package control

import (
	"sync"
	"time"

	"github.com/jaystage/jaystage/internal/record"
	"github.com/jaystage/jaystage/pkg/pace"
	"github.com/jaystage/jaystage/pkg/wire"
)

// limits holds the limits in the last answers of upstreams to all entry nodes, on the
// leader. A new leader starts with none; nodes report theirs several times a second.
type limits struct {
	mu    sync.Mutex
	term  uint64
	table *pace.Limits
}

// exchange applies the limits that a node reports and returns those of all nodes.
func (l *limits) exchange(now time.Time, term uint64, reported []wire.UpstreamLimit) []wire.UpstreamLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != term || l.table == nil {
		l.term, l.table = term, pace.New("")
	}
	for _, r := range reported {
		l.table.Merge(record.FromLimit(now, r))
	}
	return record.Limits(now, l.table.Known(now))
}
