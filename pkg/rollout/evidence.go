package rollout

import (
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Buckets is the number of bins of a Times histogram. Three bins per octave from
// 1 ms reach 17 minutes.
const Buckets = 60

const bucketsPerOctave = 3

// Histogram is a log-scale histogram of times of one answer. Bin i counts times up
// to 2^(i/3) ms; the last bin counts all longer ones.
type Histogram [Buckets]uint32

// Add counts one time.
func (t *Histogram) Add(d time.Duration) { t[BucketIndex(d)]++ }

// BucketIndex returns the bin of a time.
func BucketIndex(d time.Duration) int {
	ms := float64(d) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return min(Buckets-1, int(math.Ceil(bucketsPerOctave*math.Log2(ms))))
}

// MarshalCBOR writes the non-empty bins as pairs of index and count.
func (t Histogram) MarshalCBOR() ([]byte, error) {
	pairs := make([]uint32, 0, 2*Buckets)
	for i, n := range t {
		if n > 0 {
			pairs = append(pairs, uint32(i), n)
		}
	}
	return cbor.Marshal(pairs)
}

// UnmarshalCBOR reads what MarshalCBOR writes. Pairs with an index out of range
// are dropped.
func (t *Histogram) UnmarshalCBOR(data []byte) error {
	var pairs []uint32
	if err := cbor.Unmarshal(data, &pairs); err != nil {
		return err
	}
	*t = Histogram{}
	for i := 0; i+1 < len(pairs); i += 2 {
		if pairs[i] < Buckets {
			t[pairs[i]] = pairs[i+1]
		}
	}
	return nil
}

// Key names the requests that one Counts covers.
type Key struct {
	_       struct{} `cbor:",toarray"`
	Version string   `json:"version"`
	Route   string   `json:"route"`
	Class   string   `json:"class"`
	Domain  string   `json:"domain"`
	// Cold is true for answers of upstreams in their warm-up.
	Cold bool `json:"cold"`
}

// Counts holds the outcomes of requests that ended. A request that outlives its
// deadline ends as a failure.
type Counts struct {
	_ struct{} `cbor:",toarray"`
	// Requests counts all ended requests; the other counts are parts of it.
	Requests uint32 `json:"runs"`
	Failures uint32 `json:"failures"`
	// Crashes counts requests whose upstream ended while it ran them.
	Crashes uint32 `json:"crashes"`
	// Truncated counts answers that ended before they were complete.
	Truncated uint32 `json:"cut"`
	// TimeToFirstToken, Between and Complete hold one time per answer: to the first token,
	// the mean between two tokens, and to the end.
	TimeToFirstToken  Histogram `json:"first"`
	TimeBetweenTokens Histogram `json:"between"`
	CompletionTime    Histogram `json:"complete"`
}

// Merge adds o to c.
func (c *Counts) Merge(o *Counts) {
	c.Requests += o.Requests
	c.Failures += o.Failures
	c.Crashes += o.Crashes
	c.Truncated += o.Truncated
	for i := range Buckets {
		c.TimeToFirstToken[i] += o.TimeToFirstToken[i]
		c.TimeBetweenTokens[i] += o.TimeBetweenTokens[i]
		c.CompletionTime[i] += o.CompletionTime[i]
	}
}

// Sub returns c less an earlier reading o of the same counters.
func (c *Counts) Sub(o *Counts) Counts {
	d := Counts{
		Requests: saturatingSub(c.Requests, o.Requests), Failures: saturatingSub(c.Failures, o.Failures),
		Crashes: saturatingSub(c.Crashes, o.Crashes), Truncated: saturatingSub(c.Truncated, o.Truncated),
	}
	for i := range Buckets {
		d.TimeToFirstToken[i] = saturatingSub(c.TimeToFirstToken[i], o.TimeToFirstToken[i])
		d.TimeBetweenTokens[i] = saturatingSub(c.TimeBetweenTokens[i], o.TimeBetweenTokens[i])
		d.CompletionTime[i] = saturatingSub(c.CompletionTime[i], o.CompletionTime[i])
	}
	return d
}

func saturatingSub(a, b uint32) uint32 { return a - min(a, b) }

// CountSet holds counts by key.
type CountSet map[Key]*Counts

// GetOrCreate returns the counts of a key, which it creates when they are missing.
func (s CountSet) GetOrCreate(k Key) *Counts {
	c, ok := s[k]
	if !ok {
		c = new(Counts)
		s[k] = c
	}
	return c
}

// Merge adds the counts of o to s.
func (s CountSet) Merge(o CountSet) {
	for k, c := range o {
		s.GetOrCreate(k).Merge(c)
	}
}

// Clone returns a copy that shares nothing with s.
func (s CountSet) Clone() CountSet {
	c := make(CountSet, len(s))
	for k, v := range s {
		n := *v
		c[k] = &n
	}
	return c
}

type reportEntry struct {
	_      struct{} `cbor:",toarray"`
	Key    Key
	Counts *Counts
}

// Report is what a node sends to the leader while a rollout runs. Its counts
// are totals since the node's process saw the step, so that a lost report is
// made up by the next one.
type Report struct {
	_           struct{} `cbor:",toarray"`
	Rollout     string
	Step        int
	Node        string
	Incarnation uint64
	// Sequence grows with each report of one incarnation.
	Sequence uint64
	Counts   CountSet
}

type reportWire struct {
	_           struct{} `cbor:",toarray"`
	Rollout     string
	Step        int
	Node        string
	Incarnation uint64
	Sequence    uint64
	Entries     []reportEntry
}

// Encode returns the CBOR form. One cell takes at most 4 x 5 bytes for the
// counters, 3 x 60 x 7 + 9 bytes for the histograms with every bin in use, 6
// bytes of framing and the four names. TestReportSize of package sim measures
// usual reports: 6,150 bytes for 48 cells at 182 requests/s.
func (r Report) Encode() ([]byte, error) {
	w := reportWire{
		Rollout: r.Rollout, Step: r.Step, Node: r.Node, Incarnation: r.Incarnation, Sequence: r.Sequence,
	}
	for _, k := range r.Counts.sortedKeys() {
		w.Entries = append(w.Entries, reportEntry{Key: k, Counts: r.Counts[k]})
	}
	return cbor.Marshal(w)
}

// DecodeReport reads what Encode writes.
func DecodeReport(data []byte) (Report, error) {
	var w reportWire
	if err := cbor.Unmarshal(data, &w); err != nil {
		return Report{}, err
	}
	r := Report{
		Rollout: w.Rollout, Step: w.Step, Node: w.Node, Incarnation: w.Incarnation, Sequence: w.Sequence,
		Counts: make(CountSet, len(w.Entries)),
	}
	for _, c := range w.Entries {
		if c.Counts != nil {
			r.Counts.GetOrCreate(c.Key).Merge(c.Counts)
		}
	}
	return r, nil
}

func (s CountSet) sortedKeys() []Key {
	keys := make([]Key, 0, len(s))
	for k := range s {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}
