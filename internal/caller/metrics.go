package caller

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jaystage/jaystage/pkg/verdict"
)

// Histograms cover 1 µs to one hour with 2 significant digits.
const (
	lowestMicros      = 1
	highestMicros     = int64(time.Hour / time.Microsecond)
	significantDigits = 2
)

// Outcome counts the attempts of one version, route, class and failure domain.
type Outcome struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Route   string `json:"route"`
	Class   string `json:"class"`
	Domain  string `json:"domain"`
	// Good counts complete answers whose first token met the class's target, Slow
	// those whose first token missed it, Failed the failed attempts, and Errors the
	// answers with a status of 500 or more that were passed on to the client.
	Good   uint64 `json:"good"`
	Slow   uint64 `json:"slow"`
	Failed uint64 `json:"failed"`
	Errors uint64 `json:"errors"`
}

// Latency summarizes a histogram, in milliseconds.
type Latency struct {
	Account string  `json:"account"`
	Class   string  `json:"class"`
	Measure string  `json:"measure"`
	Count   int64   `json:"count"`
	P50     float64 `json:"p50"`
	P95     float64 `json:"p95"`
	P99     float64 `json:"p99"`
	Max     float64 `json:"max"`
}

// Measures of the histograms: the times to the first token, between tokens and to the
// end of the answer, and until a connection through another node stands.
const (
	MeasureFirst    = "first"
	MeasureBetween  = "between"
	MeasureComplete = "complete"
	MeasureHop      = "hop"
)

type latencyKey struct{ account, class, measure string }

type outcomeKey struct{ service, version, route, class, domain string }

// Metrics holds a node's latency histograms per client account and class and its
// outcome counts. Counts only grow; a reader subtracts two readings to get the counts
// of an interval. It implements expvar.Var and is safe for concurrent use.
type Metrics struct {
	mu               sync.Mutex
	latencies        map[latencyKey]*hdrhistogram.Histogram
	outcomes         map[outcomeKey]*Outcome
	refusals         map[verdict.Code]uint64
	failures         map[string]uint64
	recomputedTokens uint64
}

// NewMetrics returns empty metrics.
func NewMetrics() *Metrics {
	return &Metrics{
		latencies: make(map[latencyKey]*hdrhistogram.Histogram), outcomes: make(map[outcomeKey]*Outcome),
		refusals: make(map[verdict.Code]uint64), failures: make(map[string]uint64),
	}
}

// CountPath implements detour.Metrics; the counts are among the failures.
func (m *Metrics) CountPath(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failures[name]++
}

// RecordHop implements detour.Metrics.
func (m *Metrics) RecordHop(took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordDuration(latencyKey{measure: MeasureHop}, took)
}

// Outcomes returns the outcome counts, sorted by key.
func (m *Metrics) Outcomes() []Outcome {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]Outcome, 0, len(m.outcomes))
	for _, o := range m.outcomes {
		list = append(list, *o)
	}
	slices.SortFunc(list, func(a, b Outcome) int {
		return strings.Compare(a.Service+a.Version+a.Route+a.Class+a.Domain, b.Service+b.Version+b.Route+b.Class+b.Domain)
	})
	return list
}

// RecomputedTokens returns the number of tokens that were computed again to resume
// answers.
func (m *Metrics) RecomputedTokens() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.recomputedTokens
}

// Latencies returns a summary of each histogram, sorted by key.
func (m *Metrics) Latencies() []Latency {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]Latency, 0, len(m.latencies))
	for k, h := range m.latencies {
		ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		list = append(list, Latency{k.account, k.class, k.measure, h.TotalCount(), ms(50), ms(95), ms(99), float64(h.Max()) / 1000})
	}
	slices.SortFunc(list, func(a, b Latency) int {
		return strings.Compare(a.Account+a.Class+a.Measure, b.Account+b.Class+b.Measure)
	})
	return list
}

// String implements expvar.Var.
func (m *Metrics) String() string {
	doc := struct {
		Latency    []Latency               `json:"latency"`
		Outcomes   []Outcome               `json:"outcomes"`
		Refusals   map[verdict.Code]uint64 `json:"refusals"`
		Failures   map[string]uint64       `json:"failures"`
		Recomputed uint64                  `json:"recomputed_tokens"`
	}{Latency: m.Latencies(), Outcomes: m.Outcomes()}
	m.mu.Lock()
	defer m.mu.Unlock()
	doc.Refusals, doc.Failures, doc.Recomputed = m.refusals, m.failures, m.recomputedTokens
	body, err := json.Marshal(doc)
	if err != nil {
		return "null"
	}
	return string(body)
}

func (m *Metrics) recordLatency(c *call, measure string, d time.Duration) {
	m.recordDuration(latencyKey{c.account.Name, c.class.Name, measure}, d)
}

func (m *Metrics) recordDuration(key latencyKey, d time.Duration) {
	h, ok := m.latencies[key]
	if !ok {
		h = hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
		m.latencies[key] = h
	}
	_ = h.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}

// recordToken records the time to the first token of a call, or the time since its
// last one.
func (m *Metrics) recordToken(c *call, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.firstTokenAt.IsZero() {
		c.firstTokenAt = now
		m.recordLatency(c, MeasureFirst, now.Sub(c.start))
	} else {
		m.recordLatency(c, MeasureBetween, now.Sub(c.lastTokenAt))
	}
	c.lastTokenAt = now
}

func (m *Metrics) outcomeOf(c *call, at *attempt) *Outcome {
	key := outcomeKey{c.service.Name, at.version, c.route, c.class.Name, at.target.Domain}
	o, ok := m.outcomes[key]
	if !ok {
		o = &Outcome{Service: key.service, Version: key.version, Route: key.route, Class: key.class, Domain: key.domain}
		m.outcomes[key] = o
	}
	return o
}

// recordAnswer counts a call whose answer is complete.
func (m *Metrics) recordAnswer(c *call, at *attempt, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordLatency(c, MeasureComplete, now.Sub(c.start))
	o := m.outcomeOf(c, at)
	first, target := c.firstTokenAt.Sub(c.start), c.class.FirstTokenTarget.Std()
	switch {
	case c.status >= 500:
		o.Errors++
	case target > 0 && first > target:
		o.Slow++
	default:
		o.Good++
	}
}

// recordFailure counts a failed attempt. Moves, disconnected clients, shutdowns and
// invalid requests are not counted as Failed, since they say nothing about the
// upstream. An attempt that is open when the deadline passes is counted.
func (m *Metrics) recordFailure(c *call, at *attempt, k failureKind) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failures[k.String()]++
	switch k {
	case kindMoved, kindClientGone, kindShutdown, kindInvalid:
		return
	}
	m.outcomeOf(c, at).Failed++
}

func (m *Metrics) recordRefusal(_ *call, e *verdict.Error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refusals[e.Code]++
}

// recordRecomputation counts the tokens that a further attempt computes again.
func (m *Metrics) recordRecomputation(c *call, at *attempt) {
	if c.attempts == 1 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recomputedTokens += uint64(max(0, c.transcript.Request.PromptTokens+at.deliveredBefore-at.kvTokens))
}
