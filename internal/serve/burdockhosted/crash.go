package burdockhosted

import (
	"cmp"
	"encoding/json"
	"fmt"
	"strings"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockcrash"
	"burdockbend.example/burdockbend/internal/state/burdockkv"
	"go.uber.org/zap"
)

// prefixCrash is the prefix of the keys that report which requests were running at an
// upstream when it crashed. Each key consists of the prefix, the request's digest, "/", the
// upstream's id, "@" and the start time of its process.
const prefixCrash = prefixNotifications + "crash/"

// prefixCrashAnswer is the prefix of the keys that report when a request that ran at upstreams
// which crashed was answered with success. Each key consists of the prefix and the request's
// digest.
const prefixCrashAnswer = prefixNotifications + "crashanswer/"

// crashRecord is the value of a key under prefixCrash.
type crashRecord struct {
	AtMillis burdockclock.Millis `json:"atMillis"` // wall clock
	// Upstream is empty in the records of older entries, whose keys end with it.
	Upstream        burdockid.Upstream  `json:"upstream"`
	StartedAtMillis burdockclock.Millis `json:"startedAtMillis"` // wall clock; 0 if unknown
}

// crashAnswerRecord is the value of a key under prefixCrashAnswer.
type crashAnswerRecord struct {
	AtMillis burdockclock.Millis `json:"atMillis"` // wall clock
}

// publishAnswer reports to the other entries that a request was answered.
func (e *entry) publishAnswer(a burdockcrash.Answer) {
	value, err := json.Marshal(crashAnswerRecord{AtMillis: a.At})
	if err != nil {
		e.log.Error("failed to encode an answer", zap.Error(err))
		return
	}
	e.crashPublisher.publish([]burdockkv.Put{{Key: prefixCrashAnswer + a.Request.String(), Value: value}})
}

// readCrashAnswers returns the answers in the records. It logs and skips records that cannot be
// decoded.
func readCrashAnswers(items []burdockkv.Item, log *zap.Logger) []burdockcrash.Answer {
	var all []burdockcrash.Answer
	for _, item := range items {
		digest, err := burdockcrash.ParseDigest(strings.TrimPrefix(item.Key, prefixCrashAnswer))
		var rec crashAnswerRecord
		if err == nil {
			err = json.Unmarshal(item.Value, &rec)
		}
		if err != nil {
			log.Warn("skipping unreadable record of an answer", zap.String("key", item.Key), zap.Error(err))
			continue
		}
		all = append(all, burdockcrash.Answer{Request: digest, At: rec.AtMillis})
	}
	return all
}

// publishCrashes reports crashes to the other entries.
func (e *entry) publishCrashes(all []burdockcrash.Crash) {
	var puts []burdockkv.Put
	for _, c := range all {
		value, err := json.Marshal(crashRecord{AtMillis: c.At, Upstream: c.Process.Upstream, StartedAtMillis: c.Process.StartedAt})
		if err != nil {
			e.log.Error("failed to encode a crash", zap.Error(err))
			continue
		}
		key := fmt.Sprintf("%s%s/%s@%d", prefixCrash, c.Request, c.Process.Upstream, c.Process.StartedAt)
		puts = append(puts, burdockkv.Put{Key: key, Value: value})
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
	process := burdockid.Process{Upstream: cmp.Or(rec.Upstream, burdockid.Upstream(upstream)), StartedAt: rec.StartedAtMillis}
	return burdockcrash.Crash{Request: digest, Process: process, At: rec.AtMillis}, nil
}
