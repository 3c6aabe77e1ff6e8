package rollout

import (
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Bins is the number of bins of a Times histogram. Three bins per octave from
// 1 ms reach 17 minutes.
const Bins = 60

const binsPerOctave = 3

// Times is a log-scale histogram of times of one answer. Bin i counts times up
// to 2^(i/3) ms; the last bin counts all longer ones.
type Times [Bins]uint32

// Add counts one time.
func (t *Times) Add(d time.Duration) { t[Bin(d)]++ }

// Bin returns the bin of a time.
func Bin(d time.Duration) int {
	ms := float64(d) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return min(Bins-1, int(math.Ceil(binsPerOctave*math.Log2(ms))))
}

// MarshalCBOR writes the non-empty bins as pairs of index and count.
func (t Times) MarshalCBOR() ([]byte, error) {
	pairs := make([]uint32, 0, 2*Bins)
	for i, n := range t {
		if n > 0 {
			pairs = append(pairs, uint32(i), n)
		}
	}
	return cbor.Marshal(pairs)
}

// UnmarshalCBOR reads what MarshalCBOR writes. Pairs with an index out of range
// are dropped.
func (t *Times) UnmarshalCBOR(data []byte) error {
	var pairs []uint32
	if err := cbor.Unmarshal(data, &pairs); err != nil {
		return err
	}
	*t = Times{}
	for i := 0; i+1 < len(pairs); i += 2 {
		if pairs[i] < Bins {
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
	// Runs counts all ended requests; the other counts are parts of it.
	Runs     uint32 `json:"runs"`
	Failures uint32 `json:"failures"`
	// Crashes counts requests whose upstream ended while it ran them.
	Crashes uint32 `json:"crashes"`
	// Cut counts answers that ended before they were complete.
	Cut uint32 `json:"cut"`
	// First, Between and Complete hold one time per answer: to the first token,
	// the mean between two tokens, and to the end.
	First    Times `json:"first"`
	Between  Times `json:"between"`
	Complete Times `json:"complete"`
}

// Merge adds o to c.
func (c *Counts) Merge(o *Counts) {
	c.Runs += o.Runs
	c.Failures += o.Failures
	c.Crashes += o.Crashes
	c.Cut += o.Cut
	for i := range Bins {
		c.First[i] += o.First[i]
		c.Between[i] += o.Between[i]
		c.Complete[i] += o.Complete[i]
	}
}

// Minus returns c less an earlier reading o of the same counters.
func (c *Counts) Minus(o *Counts) Counts {
	d := Counts{
		Runs: less(c.Runs, o.Runs), Failures: less(c.Failures, o.Failures),
		Crashes: less(c.Crashes, o.Crashes), Cut: less(c.Cut, o.Cut),
	}
	for i := range Bins {
		d.First[i] = less(c.First[i], o.First[i])
		d.Between[i] = less(c.Between[i], o.Between[i])
		d.Complete[i] = less(c.Complete[i], o.Complete[i])
	}
	return d
}

func less(a, b uint32) uint32 { return a - min(a, b) }

// Set holds counts by key.
type Set map[Key]*Counts

// At returns the counts of a key, which it creates when they are missing.
func (s Set) At(k Key) *Counts {
	c, ok := s[k]
	if !ok {
		c = new(Counts)
		s[k] = c
	}
	return c
}

// Merge adds the counts of o to s.
func (s Set) Merge(o Set) {
	for k, c := range o {
		s.At(k).Merge(c)
	}
}

// Clone returns a copy that shares nothing with s.
func (s Set) Clone() Set {
	c := make(Set, len(s))
	for k, v := range s {
		n := *v
		c[k] = &n
	}
	return c
}

type cell struct {
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
	Set      Set
}

type reportWire struct {
	_           struct{} `cbor:",toarray"`
	Rollout     string
	Step        int
	Node        string
	Incarnation uint64
	Sequence    uint64
	Cells       []cell
}

// Encode returns the CBOR form. One cell takes at most 4 x 5 bytes for the
// counters, 3 x 60 x 7 + 9 bytes for the histograms with every bin in use, 6
// bytes of framing and the four names. TestReportSize of package sim measures
// usual reports: 6,150 bytes for 48 cells at 182 requests/s.
func (r Report) Encode() ([]byte, error) {
	w := reportWire{
		Rollout: r.Rollout, Step: r.Step, Node: r.Node, Incarnation: r.Incarnation, Sequence: r.Sequence,
	}
	for _, k := range r.Set.keys() {
		w.Cells = append(w.Cells, cell{Key: k, Counts: r.Set[k]})
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
		Set: make(Set, len(w.Cells)),
	}
	for _, c := range w.Cells {
		if c.Counts != nil {
			r.Set.At(c.Key).Merge(c.Counts)
		}
	}
	return r, nil
}

func (s Set) keys() []Key {
	keys := make([]Key, 0, len(s))
	for k := range s {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}
