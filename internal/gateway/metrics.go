package gateway

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jaystage/jaystage/internal/bounded"
)

// Histograms cover 1 µs to one hour with 2 significant digits.
const (
	minMicros         = 1
	maxMicros         = int64(time.Hour / time.Microsecond)
	significantDigits = 2
)

// latencyBytes is the memory of one histogram.
const latencyBytes = 26 << 10

// Metrics holds a node's counters, and its latency histograms by client account and
// route. It implements expvar.Var and is safe for concurrent use.
type Metrics struct {
	// Budget is shown with the metrics; nil if there is none.
	Budget *bounded.Budget

	mu        sync.Mutex
	counters  map[string]uint64
	latencies map[latencyKey]*latency
	// maxLatencies bounds latencies. Beyond it, the histogram that was not used for longest is
	// dropped, and counted as "latency-dropped".
	maxLatencies int
	uses         uint64                // of histograms
	malformed    map[string]*Malformed // by upstream
}

// Malformed counts the answers of an upstream that were given up because they were none.
type Malformed struct {
	Answers int `json:"answers"`
	// Bytes is the cost of what they held then.
	Bytes int `json:"bytes"`
}

// latency is a histogram with the number of its last use.
type latency struct {
	*hdrhistogram.Histogram
	used uint64
}

type latencyKey struct{ account, route, measure string }

// Latency summarizes a histogram, in milliseconds.
type Latency struct {
	Account string  `json:"account"`
	Route   string  `json:"route"`
	Measure string  `json:"measure"`
	Count   int64   `json:"count"`
	P50     float64 `json:"p50"`
	P95     float64 `json:"p95"`
	P99     float64 `json:"p99"`
	Max     float64 `json:"max"`
}

// NewMetrics returns empty metrics.
func NewMetrics() *Metrics {
	return &Metrics{
		counters: make(map[string]uint64), latencies: make(map[latencyKey]*latency), maxLatencies: bounded.Divide(0, 0).Latencies / latencyBytes,
		malformed: make(map[string]*Malformed),
	}
}

func (m *Metrics) count(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counters[name]++
}

// countRefusal counts a refused request by cause and priority.
func (m *Metrics) countRefusal(cause string, priority int) {
	m.count(fmt.Sprintf("refused %s priority %d", cause, priority))
}

// countLimitRefusal counts a request that its account's limit refused. unused is true if the
// limit would have covered it; its cost is counted apart then.
func (m *Metrics) countLimitRefusal(priority int, cost float64, unused bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counters[fmt.Sprintf("refused limit priority %d", priority)]++
	m.counters["refused limit cost"] += uint64(cost)
	if unused {
		m.counters["refused limit cost unused"] += uint64(cost)
	}
}

func (m *Metrics) countMalformed(upstream string, bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry := m.malformed[upstream]
	if entry == nil {
		entry = &Malformed{}
		m.malformed[upstream] = entry
	}
	entry.Answers++
	entry.Bytes += bytes
}

// CountPath implements detour.Metrics.
func (m *Metrics) CountPath(name string) { m.count(name) }

// RecordHop implements detour.Metrics.
func (m *Metrics) RecordHop(took time.Duration) { m.record("", "", "hop", took) }

func (m *Metrics) record(account, route, measure string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	histogram := m.latencyOf(latencyKey{account, route, measure})
	m.uses++
	histogram.used = m.uses
	_ = histogram.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros)) // cannot fail: the value is in range
}

// latencyOf returns the histogram of a key. A new one takes the memory of the one that was not used
// for longest if there are too many. m.mu must be held.
func (m *Metrics) latencyOf(key latencyKey) *latency {
	if known := m.latencies[key]; known != nil {
		return known
	}
	if len(m.latencies) < m.maxLatencies {
		m.latencies[key] = &latency{Histogram: hdrhistogram.New(minMicros, maxMicros, significantDigits)}
		return m.latencies[key]
	}
	var oldest latencyKey
	least := uint64(math.MaxUint64)
	for k, l := range m.latencies {
		if l.used < least {
			oldest, least = k, l.used
		}
	}
	reused := m.latencies[oldest]
	delete(m.latencies, oldest)
	reused.Reset()
	m.latencies[key] = reused
	m.counters["latency-dropped"]++
	return reused
}

// String implements expvar.Var.
func (m *Metrics) String() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	doc := struct {
		Counters map[string]uint64 `json:"counters"`
		Latency  []Latency         `json:"latency"`
		// Held is what open answers hold beyond their allowances, in bytes, and Limit its limit.
		Held      int                   `json:"held"`
		Limit     int                   `json:"limit"`
		Malformed map[string]*Malformed `json:"malformed"`
		Estimates []Estimate            `json:"estimates"`
	}{Counters: m.counters, Held: m.Budget.Held(), Limit: m.Budget.Limit(), Malformed: m.malformed, Estimates: m.estimateQuantiles()}
	for key, histogram := range m.latencies {
		if key.measure == estimateMeasure {
			continue
		}
		quantileMillis := func(q float64) float64 { return float64(histogram.ValueAtQuantile(q)) / 1000 }
		doc.Latency = append(doc.Latency, Latency{
			key.account, key.route, key.measure, histogram.TotalCount(),
			quantileMillis(50), quantileMillis(95), quantileMillis(99), float64(histogram.Max()) / 1000,
		})
	}
	slices.SortFunc(doc.Latency, func(a, b Latency) int {
		return strings.Compare(a.Account+a.Route+a.Measure, b.Account+b.Route+b.Measure)
	})
	body, err := json.Marshal(doc)
	if err != nil {
		return "null"
	}
	return string(body)
}

// Estimate summarizes how the measured time to the first event of a service's streams compares
// to the estimate: 1 is exact, 2 means that the event took twice as long.
type Estimate struct {
	Service string  `json:"service"`
	Count   int64   `json:"count"`
	P10     float64 `json:"p10"`
	P50     float64 `json:"p50"`
	P90     float64 `json:"p90"`
}

const (
	// thousandths is the resolution of recorded ratios.
	thousandths = 1000
	// estimateMeasure is the measure of the histograms of ratios, whose route is a service. They
	// share the bound of the latencies.
	estimateMeasure = "first to estimate"
)

func (m *Metrics) recordEstimate(service string, ratio float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	histogram := m.latencyOf(latencyKey{route: service, measure: estimateMeasure})
	m.uses++
	histogram.used = m.uses
	_ = histogram.RecordValue(min(max(int64(ratio*thousandths), minMicros), maxMicros)) // cannot fail: the value is in range
}

// estimateQuantiles lists the services' estimates. The lock must be held.
func (m *Metrics) estimateQuantiles() []Estimate {
	list := make([]Estimate, 0)
	for key, histogram := range m.latencies {
		if key.measure != estimateMeasure {
			continue
		}
		quantile := func(q float64) float64 { return float64(histogram.ValueAtQuantile(q)) / thousandths }
		list = append(list, Estimate{key.route, histogram.TotalCount(), quantile(10), quantile(50), quantile(90)})
	}
	slices.SortFunc(list, func(a, b Estimate) int { return strings.Compare(a.Service, b.Service) })
	return list
}
