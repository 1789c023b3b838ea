package burdockqueue

import (
	"math"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// rateMemory is the time after which an observation counts for 1/e. It is long
// against one request, so that one short answer does not decide, and short
// against the minutes for which a slow engine would otherwise be believed fast.
const rateMemory = 10 * burdockclock.Second

// decay is the weight that is left of an observation after a span.
func decay(span burdockclock.Millis) float64 {
	return math.Exp(-float64(max(span, 0)) / float64(rateMemory))
}

// meter measures a flow of tokens over time.
type meter struct {
	sum   float64
	since burdockclock.Millis
	at    burdockclock.Millis
}

func (m *meter) add(now burdockclock.Millis, tokens float64) {
	if m.since == 0 {
		m.since, m.at = now, now
	}
	m.sum = m.sum*decay(now-m.at) + tokens
	m.at = now
}

// rate returns tokens a millisecond.
func (m *meter) rate(now burdockclock.Millis) float64 {
	if m.since == 0 {
		return 0
	}
	return m.sum * decay(now-m.at) / float64(rateMemory)
}

// serviceTime learns how long one request of a given cost holds its slot. It
// counts the offered cost, not what was served, so that customers who all
// overstate their cost are still predicted rightly.
type serviceTime struct {
	cost float64 // decayed sum of offered costs
	busy float64 // decayed sum of the milliseconds they took
	dev  float64 // mean deviation of the time from the prediction, as a ratio
	at   burdockclock.Millis
}

// deviationGain is the weight of a new deviation, as in the usual estimate of
// round-trip times.
const deviationGain = 1.0 / 16

func (s *serviceTime) learn(now burdockclock.Millis, cost burdockid.Tokens, took burdockclock.Millis) {
	if predicted, ok := s.predict(cost); ok && predicted > 0 {
		miss := math.Abs(float64(took)/predicted - 1)
		s.dev += deviationGain * (miss - s.dev)
	}
	keep := decay(now - s.at)
	s.cost = s.cost*keep + float64(charged(cost))
	s.busy = s.busy*keep + float64(max(took, 1))
	s.at = now
}

// known reports whether anything has been learned.
func (s *serviceTime) known() bool { return s.busy > 0 }

// rate returns tokens a millisecond for one slot.
func (s *serviceTime) rate() float64 {
	if s.busy <= 0 {
		return 0
	}
	return s.cost / s.busy
}

// predict returns the expected milliseconds for a cost.
func (s *serviceTime) predict(cost burdockid.Tokens) (float64, bool) {
	r := s.rate()
	if r <= 0 {
		return 0, false
	}
	return float64(charged(cost)) / r, true
}
