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
//
// Load: an engine that becomes slow. Harm prevented: the rate learned from
// finished work says nothing while nothing finishes, so work is admitted that
// cannot be served in time. Running work counts with the time that it has run
// and at most its whole cost, so that what overruns lowers the rate before it
// ends.
type serviceTime struct {
	cost float64 // decayed sum of the costs of finished work
	busy float64 // decayed sum of the milliseconds it took
	at   burdockclock.Millis

	running     int
	runningCost burdockid.Tokens
	startSum    burdockclock.Millis
}

// believe sets a rate in tokens a millisecond to start from. It counts as much
// as one second of one slot.
func (s *serviceTime) believe(now burdockclock.Millis, rate float64) {
	s.cost, s.busy, s.at = rate*float64(burdockclock.Second), float64(burdockclock.Second), now
}

func (s *serviceTime) begin(cost burdockid.Tokens, started burdockclock.Millis) {
	s.running++
	s.runningCost += charged(cost)
	s.startSum += started
}

func (s *serviceTime) end(cost burdockid.Tokens, started burdockclock.Millis) {
	s.running--
	s.runningCost -= charged(cost)
	s.startSum -= started
}

func (s *serviceTime) learn(now burdockclock.Millis, cost burdockid.Tokens, took burdockclock.Millis) {
	keep := decay(now - s.at)
	s.cost = s.cost*keep + float64(charged(cost))
	s.busy = s.busy*keep + float64(max(took, 1))
	s.at = now
}

// rate returns tokens a millisecond for one slot; 0 is unknown.
func (s *serviceTime) rate(now burdockclock.Millis) float64 {
	if s.busy <= 0 {
		return 0
	}
	keep := decay(now - s.at)
	elapsed := float64(now*burdockclock.Millis(s.running) - s.startSum)
	progress := min(float64(s.runningCost), elapsed*s.cost/s.busy)
	return (s.cost*keep + progress) / (s.busy*keep + elapsed)
}

// millis returns the expected milliseconds for a cost; 0 is unknown.
func (s *serviceTime) millis(now burdockclock.Millis, cost burdockid.Tokens) float64 {
	rate := s.rate(now)
	if rate <= 0 {
		return 0
	}
	return float64(charged(cost)) / rate
}
