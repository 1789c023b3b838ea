package burdockhosted

import (
	"encoding/json"

	"burdockbend.example/burdockbend/internal/decide/burdockspeed"
	"burdockbend.example/burdockbend/internal/state/burdockkv"
	"go.uber.org/zap"
)

// readSpeeds returns the speeds of the slow engines by address. It logs and skips records
// that are invalid.
func readSpeeds(items []burdockkv.Item, log *zap.Logger) map[string]burdockspeed.Speed {
	speeds := map[string]burdockspeed.Speed{}
	for _, item := range items {
		var rec speedRecord
		if err := json.Unmarshal(item.Value, &rec); err != nil {
			log.Warn("skipping unreadable speed record", zap.String("key", item.Key), zap.Error(err))
			continue
		}
		speed, known := burdockspeed.FromSlowdown(1 / float64(rec.Speed))
		if !known {
			log.Warn("a record tells a speed that can't be", zap.String("key", item.Key), zap.Float64("speed", float64(rec.Speed)))
			continue
		}
		speeds[rec.Upstream] = speed
	}
	return speeds
}
