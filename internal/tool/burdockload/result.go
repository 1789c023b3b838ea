package burdockload

import (
	"sync"
	"time"

	"burdockbend.example/burdockbend/internal/serve/burdockapi"
	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histograms hold microseconds: the balancer adds less than a millisecond to a first
// token, which is below the resolution of the product's clock.
const (
	spanUnit   = time.Microsecond
	maxSpan    = 10 * time.Minute
	spanDigits = 3
)

// ending is how one call ended.
type ending int

const (
	// endingAnswered means that the complete answer was received.
	endingAnswered ending = iota
	// endingRefused means that the answer states that the call was not run.
	endingRefused
	// endingUnknown means that the call may have run and no answer was received.
	endingUnknown
	// endingCut means that the answer broke off before its end.
	endingCut
	// endingUnsent means that the call was not sent, because too many calls were open
	// or its request was invalid.
	endingUnsent
)

// Result holds the counts and latencies of a run.
type Result struct {
	Sent     int
	Answered int
	Unknown  int
	Cut      int
	// Unsent counts calls that were due while too many were open.
	Unsent int
	// Refused counts the answers that state "not run", by error code.
	Refused map[burdockapi.Code]int
	// Failures counts the calls that were neither answered nor refused, by reason.
	Failures map[string]int
	Tokens   int64
	Took     time.Duration
	// FirstToken holds the times from when a streamed call was due to its first token.
	FirstToken *hdrhistogram.Histogram
	// BetweenTokens holds the times between successive tokens of a stream.
	BetweenTokens *hdrhistogram.Histogram
	// Whole holds the times from when any other call was due to the end of its answer.
	Whole *hdrhistogram.Histogram
}

// NewResult returns an empty result.
func NewResult() *Result {
	return &Result{
		Refused:       map[burdockapi.Code]int{},
		Failures:      map[string]int{},
		FirstToken:    newHistogram(),
		BetweenTokens: newHistogram(),
		Whole:         newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxSpan/spanUnit), spanDigits)
}

// Merge adds the counts and latencies of another result, such as another turn's.
func (r *Result) Merge(other *Result) {
	r.Sent += other.Sent
	r.Answered += other.Answered
	r.Unknown += other.Unknown
	r.Cut += other.Cut
	r.Unsent += other.Unsent
	r.Tokens += other.Tokens
	r.Took += other.Took
	for code, n := range other.Refused {
		r.Refused[code] += n
	}
	for reason, n := range other.Failures {
		r.Failures[reason] += n
	}
	r.FirstToken.Merge(other.FirstToken)
	r.BetweenTokens.Merge(other.BetweenTokens)
	r.Whole.Merge(other.Whole)
}

// Span returns a percentile, from 0 to 100, of one of a result's histograms.
func Span(h *hdrhistogram.Histogram, percentile float64) time.Duration {
	return time.Duration(h.ValueAtPercentile(percentile)) * spanUnit
}

// resultCollector collects the outcomes of concurrent calls into a result.
type resultCollector struct {
	mu     sync.Mutex
	result *Result
}

// record adds the outcome of one call.
func (c *resultCollector) record(o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.result
	r.Tokens += o.tokens
	switch o.ending {
	case endingAnswered:
		r.Answered++
	case endingRefused:
		r.Refused[o.code]++
	case endingUnknown:
		r.Unknown++
		r.Failures[o.reason]++
	case endingCut:
		r.Cut++
		r.Failures[o.reason]++
	case endingUnsent:
		r.Unsent++
		return
	}
	r.Sent++
	if o.firstToken > 0 {
		recordSpan(r.FirstToken, o.firstToken)
	}
	if o.answerTime > 0 {
		recordSpan(r.Whole, o.answerTime)
	}
	for _, gap := range o.gaps {
		recordSpan(r.BetweenTokens, gap)
	}
}

// recordSpan records a duration, limited to the range of the histogram.
func recordSpan(h *hdrhistogram.Histogram, span time.Duration) {
	_ = h.RecordValue(int64(min(max(span, spanUnit), maxSpan) / spanUnit))
}
