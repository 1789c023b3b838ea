package burdockload

import (
	"sync"
	"time"

	"burdockbend.example/burdockbend/internal/serve/burdockapi"
	"github.com/HdrHistogram/hdrhistogram-go"
)

// Spans are kept in microseconds: the balancer's own part of a first token is
// below the millisecond that the product's clock counts.
const (
	spanUnit    = time.Microsecond
	longestSpan = 10 * time.Minute
	spanDigits  = 3
)

// ending is how one call ended.
type ending int

const (
	// endingAnswered: the whole answer came.
	endingAnswered ending = iota
	// endingRefused: the answer says that the call was not run.
	endingRefused
	// endingUnknown: the call may have run, and there is no answer.
	endingUnknown
	// endingCut: the answer broke off after part of it.
	endingCut
	// endingUnsent: too many calls were open, so this one was not sent.
	endingUnsent
)

// Result is what a run showed.
type Result struct {
	Sent     int
	Answered int
	Unknown  int
	Cut      int
	// Unsent counts calls that were due while too many were open.
	Unsent int
	// Refused counts the answers that say "not run", by code.
	Refused map[burdockapi.Code]int
	// Failures counts what was neither answered nor refused, by what was seen.
	Failures map[string]int
	Tokens   int64
	Took     time.Duration
	// FirstToken is from the time a streamed call was due to its first token.
	FirstToken *hdrhistogram.Histogram
	// BetweenTokens is from one token of a stream to the next.
	BetweenTokens *hdrhistogram.Histogram
	// Whole is from the time that any other call was due to its answer's end.
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
	return hdrhistogram.New(1, int64(longestSpan/spanUnit), spanDigits)
}

// Merge adds another result, such as that of another turn.
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

// Span returns a percentile of one of the histograms.
func Span(h *hdrhistogram.Histogram, percentile float64) time.Duration {
	return time.Duration(h.ValueAtPercentile(percentile)) * spanUnit
}

// tally collects a result from calls that run beside each other.
type tally struct {
	mu     sync.Mutex
	result *Result
}

// record adds one ended call.
func (t *tally) record(o observed) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.result
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
		add(r.FirstToken, o.firstToken)
	}
	if o.whole > 0 {
		add(r.Whole, o.whole)
	}
	for _, gap := range o.gaps {
		add(r.BetweenTokens, gap)
	}
}

// add records a span; one that is too long counts as the longest.
func add(h *hdrhistogram.Histogram, span time.Duration) {
	_ = h.RecordValue(int64(min(max(span, spanUnit), longestSpan) / spanUnit))
}
