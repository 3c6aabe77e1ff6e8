package routing

import (
	"maps"
	"slices"
	"time"

	"github.com/jaystage/jaystage/pkg/wire"
)

// First guesses of an upstream's speed, until a request has shown it.
const (
	defaultRate = 8000.0 // prompt tokens a second
	defaultGap  = 30 * time.Millisecond
	// speedWeight is the weight of a new sample of a speed.
	speedWeight = 0.2
)

// Directory holds what a node knows of the upstreams of its cell: their last
// announcement, as the owners pass it on, and the node's own requests since then.
type Directory struct {
	// Lag is how old a load report may be when it comes.
	Lag     time.Duration
	entries map[string]*listing
}

type listing struct {
	announce wire.Announce
	heard    time.Time
	expires  time.Time
	// sent and ended count own requests since the last announcement, and those in
	// the interval before it, which the report may not show yet.
	sent, ended [2]int
	interactive int
	rate        float64
	gap         time.Duration
}

// NewDirectory returns an empty directory.
func NewDirectory(lag time.Duration) *Directory {
	return &Directory{Lag: lag, entries: make(map[string]*listing)}
}

// Heard takes an announcement that counts for life. An announcement that is not
// newer by incarnation and sequence changes nothing.
func (d *Directory) Heard(now time.Time, a wire.Announce, life time.Duration) {
	l, ok := d.entries[a.ID]
	if !ok {
		l = &listing{rate: defaultRate, gap: defaultGap, heard: now}
		d.entries[a.ID] = l
	}
	old := l.announce
	if ok && (a.Incarnation < old.Incarnation || a.Incarnation == old.Incarnation && a.Sequence <= old.Sequence) {
		return
	}
	if a.Incarnation != old.Incarnation {
		l.sent, l.ended, l.interactive = [2]int{}, [2]int{}, 0
	}
	if now.Sub(l.heard) >= d.Lag {
		l.sent, l.ended = [2]int{}, [2]int{}
	} else {
		l.sent, l.ended = [2]int{0, l.sent[0]}, [2]int{0, l.ended[0]}
	}
	l.announce, l.heard, l.expires = a, now, now.Add(life)
}

// Sent counts a request that this node sends now.
func (d *Directory) Sent(upstream string, interactive bool) {
	if l, ok := d.entries[upstream]; ok {
		l.sent[0]++
		if interactive {
			l.interactive++
		}
	}
}

// Ended counts the end of such a request.
func (d *Directory) Ended(upstream string, interactive bool) {
	if l, ok := d.entries[upstream]; ok {
		l.ended[0]++
		if interactive {
			l.interactive = max(0, l.interactive-1)
		}
	}
}

// Prefilled learns the prefill rate from an uncached prompt of the given length.
func (d *Directory) Prefilled(upstream string, tokens int, took time.Duration) {
	if l, ok := d.entries[upstream]; ok && tokens > 0 && took > 0 {
		l.rate += speedWeight * (float64(tokens)/took.Seconds() - l.rate)
	}
}

// Paced learns the time between two tokens.
func (d *Directory) Paced(upstream string, gap time.Duration) {
	if l, ok := d.entries[upstream]; ok && gap > 0 {
		l.gap += time.Duration(speedWeight * float64(gap-l.gap))
	}
}

// Expire forgets upstreams whose announcement expired a minute ago or earlier.
func (d *Directory) Expire(now time.Time) {
	maps.DeleteFunc(d.entries, func(_ string, l *listing) bool { return now.Sub(l.expires) >= forgetAfter })
}

// Query selects and rates candidates for one request.
type Query struct {
	Service string
	Version string
	// Blocks are the hashes of the prompt's blocks, BlockTokens tokens each.
	Blocks      []uint64
	BlockTokens int
	// Drained, Suspect and Distance may be nil.
	Drained  func(upstream, domain string) bool
	Suspect  func(upstream string) bool
	Distance func(domain string) time.Duration
}

// Candidates lists the upstreams that serve the query's service and version, in
// the order of their names. prefix may be nil.
func (d *Directory) Candidates(now time.Time, q Query, h *Holder, prefix *Prefix) []Candidate {
	var out []Candidate
	for _, id := range slices.Sorted(maps.Keys(d.entries)) {
		l := d.entries[id]
		i := slices.IndexFunc(l.announce.Serving, func(s wire.Serving) bool {
			return s.Service == q.Service && s.Version == q.Version
		})
		if i < 0 || !l.announce.Ready {
			continue
		}
		c := l.candidate(now)
		c.Adapters = l.announce.Serving[i].Adapters
		c.Free, c.Prefill = h.Free(now, id), h.Prefill(id)
		if prefix != nil {
			c.Hit = prefix.Hit(id, q.Blocks) * q.BlockTokens
		}
		c.Drained = q.Drained != nil && q.Drained(id, c.Domain)
		c.Suspect = q.Suspect != nil && q.Suspect(id)
		if q.Distance != nil {
			c.Distance = q.Distance(c.Domain)
		}
		out = append(out, c)
	}
	return out
}

func (l *listing) candidate(now time.Time) Candidate {
	a := &l.announce
	c := Candidate{
		ID: a.ID, Domain: a.Domain, Price: a.Price, Limit: max(1, int(a.Limit)),
		Running: int(a.Load.Running), Waiting: int(a.Load.Waiting),
		Sent: l.sent[0] + l.sent[1], Ended: l.ended[0] + l.ended[1],
		Interactive: l.interactive, Rate: l.rate, Gap: l.gap,
		Reclaimable: a.Reclaimable, Expires: l.expires, Leaving: a.Leaving,
	}
	if a.Reclaim > 0 {
		// A notice runs on after the announcement; it never counts as none.
		c.Reclaim = max(time.Millisecond, seconds(a.Reclaim)-now.Sub(l.heard))
	}
	return c
}
