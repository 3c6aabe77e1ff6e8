package routing

import (
	"maps"
	"slices"
	"time"

	"github.com/jaystage/jaystage/pkg/wire"
)

// Initial speed estimates of an upstream, used until requests have been measured.
const (
	defaultPrefillRate       = 8000.0 // prompt tokens a second
	defaultInterTokenLatency = 30 * time.Millisecond
	// speedSampleWeight is the weight of a new sample in the moving average.
	speedSampleWeight = 0.2
)

// Directory is a node's table of the upstreams of its cell. It holds each
// upstream's last announcement, as forwarded by the owner, and counts the node's
// own requests since then.
type Directory struct {
	// ReportLag is the maximum age of an announcement's load report on arrival.
	ReportLag time.Duration
	entries   map[string]*directoryEntry
}

type directoryEntry struct {
	announcement wire.Announce
	receivedAt   time.Time
	expiresAt    time.Time
	// sent and ended count the node's own requests since the last announcement
	// (index 0) and in the interval before it (index 1). The load report may not
	// include the latter yet, because it lags.
	sent, ended       [2]int
	openInteractive   int
	prefillRate       float64
	interTokenLatency time.Duration
}

// NewDirectory returns an empty directory.
func NewDirectory(reportLag time.Duration) *Directory {
	return &Directory{ReportLag: reportLag, entries: make(map[string]*directoryEntry)}
}

// ApplyAnnouncement stores an announcement that is valid for ttl. It ignores an
// announcement that is not newer by incarnation and sequence.
func (d *Directory) ApplyAnnouncement(now time.Time, a wire.Announce, ttl time.Duration) {
	e, ok := d.entries[a.ID]
	if !ok {
		e = &directoryEntry{prefillRate: defaultPrefillRate, interTokenLatency: defaultInterTokenLatency, receivedAt: now}
		d.entries[a.ID] = e
	}
	old := e.announcement
	if ok && (a.Incarnation < old.Incarnation || a.Incarnation == old.Incarnation && a.Sequence <= old.Sequence) {
		return
	}
	if a.Incarnation != old.Incarnation {
		e.sent, e.ended, e.openInteractive = [2]int{}, [2]int{}, 0
	}
	if now.Sub(e.receivedAt) >= d.ReportLag {
		e.sent, e.ended = [2]int{}, [2]int{}
	} else {
		e.sent, e.ended = [2]int{0, e.sent[0]}, [2]int{0, e.ended[0]}
	}
	e.announcement, e.receivedAt, e.expiresAt = a, now, now.Add(ttl)
}

// RecordSend counts a request that this node sends to the upstream.
func (d *Directory) RecordSend(upstream string, interactive bool) {
	if e, ok := d.entries[upstream]; ok {
		e.sent[0]++
		if interactive {
			e.openInteractive++
		}
	}
}

// RecordEnd counts the end of a request that RecordSend counted.
func (d *Directory) RecordEnd(upstream string, interactive bool) {
	if e, ok := d.entries[upstream]; ok {
		e.ended[0]++
		if interactive {
			e.openInteractive = max(0, e.openInteractive-1)
		}
	}
}

// UpdatePrefillRate updates the estimated prefill rate with a measurement: took is
// the prefill time of the given number of uncached prompt tokens.
func (d *Directory) UpdatePrefillRate(upstream string, tokens int, took time.Duration) {
	if e, ok := d.entries[upstream]; ok && tokens > 0 && took > 0 {
		e.prefillRate += speedSampleWeight * (float64(tokens)/took.Seconds() - e.prefillRate)
	}
}

// UpdateInterTokenLatency updates the estimated time between two output tokens with
// a measurement.
func (d *Directory) UpdateInterTokenLatency(upstream string, gap time.Duration) {
	if e, ok := d.entries[upstream]; ok && gap > 0 {
		e.interTokenLatency += time.Duration(speedSampleWeight * float64(gap-e.interTokenLatency))
	}
}

// Expire removes the upstreams whose announcement expired at least a minute ago.
func (d *Directory) Expire(now time.Time) {
	maps.DeleteFunc(d.entries, func(_ string, e *directoryEntry) bool { return now.Sub(e.expiresAt) >= evictAfter })
}

// Query selects the candidates for one request.
type Query struct {
	Service string
	Version string
	// Blocks are the hashes of the prompt's blocks, BlockTokens tokens each.
	Blocks      []uint64
	BlockTokens int
	// Drained, Suspect and RoundTripTime may be nil.
	Drained       func(upstream, domain string) bool
	Suspect       func(upstream string) bool
	RoundTripTime func(domain string) time.Duration
}

// Candidates returns the ready upstreams that serve the query's service and
// version, sorted by ID. prefix may be nil.
func (d *Directory) Candidates(now time.Time, q Query, h *Holder, prefix *PrefixIndex) []Candidate {
	var out []Candidate
	for _, id := range slices.Sorted(maps.Keys(d.entries)) {
		e := d.entries[id]
		i := slices.IndexFunc(e.announcement.Serving, func(s wire.Serving) bool {
			return s.Service == q.Service && s.Version == q.Version
		})
		if i < 0 || !e.announcement.Ready {
			continue
		}
		c := e.candidate(now)
		c.Adapters = e.announcement.Serving[i].Adapters
		c.FreeSlots, c.PrefillTokens = h.FreeSlots(now, id), h.PrefillTokens(id)
		if prefix != nil {
			c.CachedTokens = prefix.CachedBlocks(id, q.Blocks) * q.BlockTokens
		}
		c.Drained = q.Drained != nil && q.Drained(id, c.Domain)
		c.Suspect = q.Suspect != nil && q.Suspect(id)
		if q.RoundTripTime != nil {
			c.RoundTripTime = q.RoundTripTime(c.Domain)
		}
		out = append(out, c)
	}
	return out
}

func (e *directoryEntry) candidate(now time.Time) Candidate {
	a := &e.announcement
	c := Candidate{
		ID: a.ID, Domain: a.Domain, PricePerHour: a.Price, Limit: max(1, int(a.Limit)),
		Running: int(a.Load.Running), Waiting: int(a.Load.Waiting),
		SentSinceReport: e.sent[0] + e.sent[1], EndedSinceReport: e.ended[0] + e.ended[1],
		OpenInteractive: e.openInteractive, PrefillRate: e.prefillRate, InterTokenLatency: e.interTokenLatency,
		Reclaimable: a.Reclaimable, Expires: e.expiresAt, Leaving: a.Leaving,
	}
	if a.Reclaim > 0 {
		// The time left decreases after the announcement. It must not reach zero,
		// which would mean that there is no notice.
		c.TimeToReclaim = max(time.Millisecond, seconds(a.Reclaim)-now.Sub(e.receivedAt))
	}
	return c
}
