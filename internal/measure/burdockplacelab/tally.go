package burdockplacelab

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

const (
	// loadUnit is the part of one slot's load that histograms count in.
	loadUnit     = 10_000
	mostLoad     = 1000 * loadUnit
	mostWait     = int64(burdockclock.Hour)
	digits       = 3
	quantileHalf = 50
	quantileTail = 99
)

// tally collects what is measured.
type tally struct {
	loads    *hdrhistogram.Histogram
	waits    *hdrhistogram.Histogram
	spread   float64 // sum over samples
	samples  int
	requests int
	remote   int
	offers   int
	onSlow   int
	cut      int
	givenUp  int
	prompt   burdockid.Tokens
	found    burdockid.Tokens
}

func newTally() *tally {
	return &tally{
		loads: hdrhistogram.New(1, mostLoad, digits),
		waits: hdrhistogram.New(1, mostWait, digits),
	}
}

func (t *tally) sample(replicas []replica) {
	sum, squares := 0.0, 0.0
	for i := range replicas {
		load := replicas[i].load()
		sum += load
		squares += load * load
		record(t.loads, int64(load*loadUnit), mostLoad)
	}
	n := float64(len(replicas))
	mean := sum / n
	if mean > 0 {
		t.spread += math.Sqrt(max(squares/n-mean*mean, 0)) / mean
	}
	t.samples++
}

func (t *tally) started(w *world, req *request, index int, found burdockid.Tokens) {
	t.requests++
	t.offers += req.offers
	t.prompt += req.promptTokens()
	t.found += found
	if w.remote(req.entry, index) {
		t.remote++
	}
	if w.slow(index) {
		t.onSlow++
	}
	record(t.waits, int64(w.now-req.arrived), mostWait)
}

// record keeps the value within the histogram, which otherwise refuses it.
func record(h *hdrhistogram.Histogram, value, most int64) {
	if err := h.RecordValue(min(value, most)); err != nil {
		panic("burdockplacelab: " + err.Error())
	}
}

func (w *world) result() Result {
	t := w.tally
	n := float64(max(t.requests, 1))
	return Result{
		Policy:          policyName(w.policy),
		LoadP50:         float64(t.loads.ValueAtQuantile(quantileHalf)) / loadUnit,
		LoadP99:         float64(t.loads.ValueAtQuantile(quantileTail)) / loadUnit,
		LoadMax:         float64(t.loads.Max()) / loadUnit,
		Spread:          t.spread / float64(max(t.samples, 1)),
		WaitP50:         burdockclock.Millis(t.waits.ValueAtQuantile(quantileHalf)),
		WaitP99:         burdockclock.Millis(t.waits.ValueAtQuantile(quantileTail)),
		HitRate:         float64(t.found) / float64(max(t.prompt, 1)),
		Offers:          float64(t.offers) / n,
		RemoteShare:     float64(t.remote) / n,
		SlowShare:       float64(t.onSlow) / n,
		EjectedReplicas: w.ejected(),
		Requests:        t.requests,
		Interrupted:     t.cut,
		Refused:         t.givenUp,
	}
}
