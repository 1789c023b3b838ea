package burdockplacelab

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

const (
	// loadScale converts a load in requests per slot to the integers that the
	// histogram records.
	loadScale         = 10_000
	maxRecordedLoad   = 1000 * loadScale
	maxRecordedWait   = int64(burdockclock.Hour)
	significantDigits = 3
	medianPercentile  = 50
	tailPercentile    = 99
)

// metrics collects the measurements of one run.
type metrics struct {
	loads             *hdrhistogram.Histogram
	waits             *hdrhistogram.Histogram
	spread            float64 // sum over samples, see Result.Spread
	samples           int
	requests          int
	remote            int
	offers            int
	onSlow            int
	interrupted       int
	refusedForGood    int
	totalPromptTokens burdockid.Tokens
	totalCachedTokens burdockid.Tokens
}

func newMetrics() *metrics {
	return &metrics{
		loads: hdrhistogram.New(1, maxRecordedLoad, significantDigits),
		waits: hdrhistogram.New(1, maxRecordedWait, significantDigits),
	}
}

func (m *metrics) sampleLoads(replicas []replica) {
	sum, squares := 0.0, 0.0
	for i := range replicas {
		load := replicas[i].load()
		sum += load
		squares += load * load
		record(m.loads, int64(load*loadScale), maxRecordedLoad)
	}
	n := float64(len(replicas))
	mean := sum / n
	if mean > 0 {
		m.spread += math.Sqrt(max(squares/n-mean*mean, 0)) / mean
	}
	m.samples++
}

func (m *metrics) recordStart(s *simulation, req *request, replica int, cachedTokens burdockid.Tokens) {
	m.requests++
	m.offers += req.offers
	m.totalPromptTokens += req.promptTokens()
	m.totalCachedTokens += cachedTokens
	if s.remote(req.entry, replica) {
		m.remote++
	}
	if s.isSlow(replica) {
		m.onSlow++
	}
	record(m.waits, int64(s.now-req.arrived), maxRecordedWait)
}

// record records the value, capped at limit: the histogram rejects larger values.
func record(h *hdrhistogram.Histogram, value, limit int64) {
	if err := h.RecordValue(min(value, limit)); err != nil {
		panic("burdockplacelab: " + err.Error())
	}
}

func (s *simulation) result() Result {
	m := s.metrics
	n := float64(max(m.requests, 1))
	return Result{
		Policy:          policyName(s.policy),
		LoadP50:         float64(m.loads.ValueAtQuantile(medianPercentile)) / loadScale,
		LoadP99:         float64(m.loads.ValueAtQuantile(tailPercentile)) / loadScale,
		LoadMax:         float64(m.loads.Max()) / loadScale,
		Spread:          m.spread / float64(max(m.samples, 1)),
		WaitP50:         burdockclock.Millis(m.waits.ValueAtQuantile(medianPercentile)),
		WaitP99:         burdockclock.Millis(m.waits.ValueAtQuantile(tailPercentile)),
		HitRate:         float64(m.totalCachedTokens) / float64(max(m.totalPromptTokens, 1)),
		Offers:          float64(m.offers) / n,
		RemoteShare:     float64(m.remote) / n,
		SlowShare:       float64(m.onSlow) / n,
		EjectedReplicas: s.ejectedReplicas(),
		Requests:        m.requests,
		Interrupted:     m.interrupted,
		Refused:         m.refusedForGood,
	}
}
