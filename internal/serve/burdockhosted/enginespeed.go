package burdockhosted

import (
	"sync"

	"burdockbend.example/burdockbend/internal/decide/burdockspeed"
	"go.uber.org/zap"
)

// engineSpeed is the speed of an engine, taken from the reports that the agent reads for
// other purposes, several per second.
type engineSpeed struct {
	log *zap.Logger

	mu      sync.Mutex
	speed   burdockspeed.Speed // 0 until a report contains it
	invalid bool               // the last reported slowdown was invalid
	changed chan struct{}      // holds one signal after a significant change
}

func newEngineSpeed(log *zap.Logger) *engineSpeed {
	return &engineSpeed{log: log, changed: make(chan struct{}, 1)}
}

// observe updates the speed from a report. An invalid slowdown counts as the baseline
// speed, and is logged once until a valid one follows.
func (s *engineSpeed) observe(report RankReport) {
	if report.Slowdown == nil {
		return
	}
	speed, known := burdockspeed.FromSlowdown(*report.Slowdown)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !known && !s.invalid {
		s.log.Warn("the engine tells a speed that can't be", zap.Float64("slowdown", *report.Slowdown))
	}
	s.invalid = !known
	before := s.speed
	if before != 0 && !burdockspeed.SignificantChange(before, speed) {
		return
	}
	s.speed = speed
	if before == 0 && !burdockspeed.IsSlow(speed) {
		return
	}
	s.log.Info("the engine's speed has changed", zap.Stringer("speed", speed), zap.Stringer("before", before))
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// current returns the last recorded speed; 0 if it is not known.
func (s *engineSpeed) current() burdockspeed.Speed {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.speed
}
