package burdockhosted

import (
	"sync"

	"burdockbend.example/burdockbend/internal/decide/burdockspeed"
	"go.uber.org/zap"
)

// ownSpeed is how fast the engine beside an agent is, by the reports that the
// agent reads for other reasons: several a second.
type ownSpeed struct {
	log *zap.Logger

	mu      sync.Mutex
	speed   burdockspeed.Speed // 0 until a report has told it
	wrong   bool               // the last figure was none that an engine can mean
	changed chan struct{}      // holds one signal after a notable change
}

func newOwnSpeed(log *zap.Logger) *ownSpeed {
	return &ownSpeed{log: log, changed: make(chan struct{}, 1)}
}

// saw takes in a report. A figure that no engine can mean is logged once and
// taken for the usual speed.
func (s *ownSpeed) saw(report RankReport) {
	if report.Slowdown == nil {
		return
	}
	speed, known := burdockspeed.FromSlowdown(*report.Slowdown)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !known && !s.wrong {
		s.log.Warn("the engine tells a speed that can't be", zap.Float64("slowdown", *report.Slowdown))
	}
	s.wrong = !known
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

// now returns the speed as it was last told; 0 if it is not known.
func (s *ownSpeed) now() burdockspeed.Speed {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.speed
}
