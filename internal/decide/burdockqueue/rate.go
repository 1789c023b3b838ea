package burdockqueue

import (
	"math"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// rateTimeConstant is the time after which the weight of an observation has decayed to
// 1/e. It is long compared with one request, so that a single short answer does not
// decide the rate. It is short compared with minutes, so that an engine that has become
// slow is noticed in time.
const rateTimeConstant = 10 * burdockclock.Second

// Sums round their products first, by float64: some processors would fuse both into one operation,
// and decisions would differ between them.

// decay returns the remaining weight of an observation after the elapsed time.
func decay(elapsed burdockclock.Millis) float64 {
	return math.Exp(-float64(max(elapsed, 0)) / float64(rateTimeConstant))
}

// meter measures a token rate with exponential decay.
type meter struct {
	sum       float64
	firstAt   burdockclock.Millis
	updatedAt burdockclock.Millis
}

func (m *meter) add(now burdockclock.Millis, tokens float64) {
	if m.firstAt == 0 {
		m.firstAt, m.updatedAt = now, now
	}
	m.sum = float64(m.sum*decay(now-m.updatedAt)) + tokens
	m.updatedAt = now
}

// rate returns the rate in tokens per millisecond.
func (m *meter) rate(now burdockclock.Millis) float64 {
	if m.firstAt == 0 {
		return 0
	}
	return m.sum * decay(now-m.updatedAt) / float64(rateTimeConstant)
}

// serviceEstimator estimates how long a request of a given cost holds its slot. It uses
// the offered cost, not the tokens served, so that the estimate is right even if all
// customers overstate their cost.
//
// Finished requests alone say nothing about an engine that has become slow while none
// finishes, and requests would be admitted that cannot be served in time. Running
// requests therefore count with the time they have run and at most their whole cost: one
// that takes longer than expected lowers the rate before it ends.
type serviceEstimator struct {
	finishedCost float64 // decayed sum of the costs of finished requests
	finishedTime float64 // decayed sum of their service times in ms
	updatedAt    burdockclock.Millis

	running     int
	runningCost burdockid.Tokens
	startSum    burdockclock.Millis
}

// seed sets an initial rate in tokens per millisecond, with the weight of one second of
// one slot.
func (s *serviceEstimator) seed(now burdockclock.Millis, rate float64) {
	s.finishedCost, s.finishedTime, s.updatedAt = rate*float64(burdockclock.Second), float64(burdockclock.Second), now
}

func (s *serviceEstimator) begin(cost burdockid.Tokens, started burdockclock.Millis) {
	s.running++
	s.runningCost += chargedCost(cost)
	s.startSum += started
}

func (s *serviceEstimator) end(cost burdockid.Tokens, started burdockclock.Millis) {
	s.running--
	s.runningCost -= chargedCost(cost)
	s.startSum -= started
}

func (s *serviceEstimator) observe(now burdockclock.Millis, cost burdockid.Tokens, elapsed burdockclock.Millis) {
	factor := decay(now - s.updatedAt)
	s.finishedCost = float64(s.finishedCost*factor) + float64(chargedCost(cost))
	s.finishedTime = float64(s.finishedTime*factor) + float64(max(elapsed, 1))
	s.updatedAt = now
}

// rate returns the rate of one slot in tokens per millisecond; 0 means unknown.
func (s *serviceEstimator) rate(now burdockclock.Millis) float64 {
	if s.finishedTime <= 0 {
		return 0
	}
	factor := decay(now - s.updatedAt)
	elapsed := float64(now*burdockclock.Millis(s.running) - s.startSum)
	progress := min(float64(s.runningCost), elapsed*s.finishedCost/s.finishedTime)
	return (float64(s.finishedCost*factor) + progress) / (float64(s.finishedTime*factor) + elapsed)
}

// millis returns the expected time in milliseconds for a cost; 0 means unknown.
func (s *serviceEstimator) millis(now burdockclock.Millis, cost burdockid.Tokens) float64 {
	rate := s.rate(now)
	if rate <= 0 {
		return 0
	}
	return float64(chargedCost(cost)) / rate
}
