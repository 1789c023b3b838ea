package burdockhosted

import (
	"encoding/json"
	"strings"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockcrash"
	"burdockbend.example/burdockbend/internal/state/burdockkv"
	"go.uber.org/zap"
)

// prefixCrash is the prefix of the keys that report which requests were running at an
// upstream when it crashed. Each key consists of the prefix, the request's digest, "/"
// and the upstream's id.
const prefixCrash = prefixNotifications + "crash/"

// crashRecord is the value of a key under prefixCrash.
type crashRecord struct {
	AtMillis burdockclock.Millis `json:"atMillis"` // wall clock
}

// publishCrashes reports crashes to the other entries.
func (e *entry) publishCrashes(all []burdockcrash.Crash) {
	var puts []burdockkv.Put
	for _, c := range all {
		value, err := json.Marshal(crashRecord{AtMillis: c.At})
		if err != nil {
			e.log.Error("failed to encode a crash", zap.Error(err))
			continue
		}
		puts = append(puts, burdockkv.Put{Key: prefixCrash + c.Request.String() + "/" + string(c.Upstream), Value: value})
	}
	e.crashPublisher.publish(puts)
}

// readCrashes returns the crashes in the records. It logs and skips records that cannot
// be decoded.
func readCrashes(items []burdockkv.Item, log *zap.Logger) []burdockcrash.Crash {
	var all []burdockcrash.Crash
	for _, item := range items {
		crash, err := readCrash(item)
		if err != nil {
			log.Warn("skipping unreadable crash record", zap.String("key", item.Key), zap.Error(err))
			continue
		}
		all = append(all, crash)
	}
	return all
}

func readCrash(item burdockkv.Item) (burdockcrash.Crash, error) {
	name, upstream, _ := strings.Cut(strings.TrimPrefix(item.Key, prefixCrash), "/")
	digest, err := burdockcrash.ParseDigest(name)
	if err != nil {
		return burdockcrash.Crash{}, err
	}
	var rec crashRecord
	if err := json.Unmarshal(item.Value, &rec); err != nil {
		return burdockcrash.Crash{}, err
	}
	return burdockcrash.Crash{Request: digest, Upstream: burdockid.Upstream(upstream), At: rec.AtMillis}, nil
}
