package relay

import (
	"expvar"
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatencyMS is the longest latency that a histogram records, in milliseconds;
	// longer ones are recorded as this.
	maxLatencyMS = 60_000
	// histogramDigits is the number of significant digits of recorded latencies.
	histogramDigits = 2
)

// metrics counts outcomes and keeps a latency histogram for each kind of route.
type metrics struct {
	mu       sync.Mutex
	outcomes map[string]int64
	latency  map[string]*hdrhistogram.Histogram
}

// count counts a request that was refused before its body was read.
func (m *metrics) count(reason Reason) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ensureMaps()
	m.outcomes[string(reason)]++
}

// ensureMaps creates the maps if they are missing. The caller holds mu.
func (m *metrics) ensureMaps() {
	if m.outcomes == nil {
		m.outcomes = map[string]int64{}
		m.latency = map[string]*hdrhistogram.Histogram{}
	}
}

// observe counts the outcome of a request and records its latency.
func (m *metrics) observe(f *flight, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ensureMaps()
	m.outcomes[f.outcome]++
	if f.route == nil {
		return
	}
	kind := string(f.route.Kind)
	h := m.latency[kind]
	if h == nil {
		h = hdrhistogram.New(1, maxLatencyMS, histogramDigits)
		m.latency[kind] = h
	}
	_ = h.RecordValue(min(max(took.Milliseconds(), 1), maxLatencyMS))
}

// latencySummary summarises a histogram for the metrics endpoint.
type latencySummary struct {
	Count int64 `json:"count"`
	P50MS int64 `json:"p50_ms"`
	P95MS int64 `json:"p95_ms"`
	P99MS int64 `json:"p99_ms"`
	MaxMS int64 `json:"max_ms"`
}

func (m *metrics) variables() expvar.Var {
	return expvar.Func(func() any {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.ensureMaps()
		outcomes := maps.Clone(m.outcomes)
		latency := map[string]latencySummary{}
		for k, h := range m.latency {
			latency[k] = latencySummary{
				Count: h.TotalCount(), P50MS: h.ValueAtQuantile(50), P95MS: h.ValueAtQuantile(95),
				P99MS: h.ValueAtQuantile(99), MaxMS: h.Max(),
			}
		}
		return map[string]any{"outcomes": outcomes, "latency": latency}
	})
}
