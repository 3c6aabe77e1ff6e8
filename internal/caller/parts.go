package caller

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/jaystage/jaystage/pkg/poison"
)

const (
	// blockInterval is how often the node decides which parts of prompts are blocked.
	blockInterval = 100 * time.Millisecond
	// partsInterval is how often the records of parts that may be blocked are sent to the
	// other nodes again, for those that missed them.
	partsInterval = time.Second
	// maxSharedParts and maxSharedCrashes bound these records.
	maxSharedParts   = 16
	maxSharedCrashes = 64
)

// Parts holds the parts of prompts that were open at crashed upstreams or were answered. All
// nodes of a cell exchange their records, and each decides by itself which parts are
// blocked. It is safe for concurrent use.
type Parts struct {
	// Broadcast sends records to the other nodes of the cell. It is nil if there are none,
	// and must not block.
	Broadcast func([]poison.Record)

	mu        sync.Mutex
	table     *poison.Table
	blocked   []poison.Block
	decidedAt time.Time
	sharedAt  time.Time
}

// NewParts returns an empty table.
func NewParts() *Parts { return &Parts{table: poison.New()} }

// Merge applies the records of another node. It returns the answers that clear some of its
// crashes.
func (p *Parts) Merge(now time.Time, crashes []poison.Record, answers []poison.Answer) (missing []poison.Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range answers {
		p.table.RecordAnswer(a.At, []poison.Part{a.Part})
	}
	for _, r := range crashes {
		if p.table.Merge(now, r) {
			continue
		}
		if at, ok := p.table.Proven(now, r.Part); ok {
			missing = append(missing, poison.Answer{Part: r.Part, At: at})
		}
	}
	return missing
}

// isBlocked reports whether one of the parts crashes upstreams.
func (p *Parts) isBlocked(parts []poison.Part) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.blocked, func(b poison.Block) bool { return b.Applies(parts) })
}

// recordCrash records that the upstream of an attempt crashed.
func (p *Parts) recordCrash(now time.Time, at *attempt) {
	p.mu.Lock()
	upstream := poison.NewUpstream(at.target.ID, strconv.FormatUint(at.target.Incarnation, 10))
	records := p.table.RecordCrash(now, upstream, at.start, at.call.parts)
	p.mu.Unlock()
	if p.Broadcast != nil {
		p.Broadcast(records)
	}
}

// recordAnswer records that a call with these parts was answered in full.
func (p *Parts) recordAnswer(now time.Time, parts []poison.Part) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.RecordAnswer(now, parts)
}

// update decides which parts are blocked, and sends the records of those that may be to the
// other nodes. An answer at one of them comes back.
func (p *Parts) update(now time.Time) {
	if records := p.decide(now); len(records) > 0 {
		p.Broadcast(records)
	}
}

// decide decides which parts are blocked and returns the records to send again, if any.
func (p *Parts) decide(now time.Time) []poison.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.decidedAt) < blockInterval {
		return nil
	}
	p.decidedAt, p.blocked = now, p.table.Blocked(now)
	watched := p.table.Watched(maxSharedParts)
	if p.Broadcast == nil || len(watched) == 0 || now.Sub(p.sharedAt) < partsInterval {
		return nil
	}
	p.sharedAt = now
	records := p.table.Records(poison.AnyPart)
	records = records[max(0, len(records)-maxSharedCrashes):]
	for _, part := range watched {
		records = append(records, p.table.Records(part)...)
	}
	return records
}
