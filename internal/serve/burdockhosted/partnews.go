package burdockhosted

import (
	"context"
	"encoding/json"
	"fmt"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockparts"
	"burdockbend.example/burdockbend/internal/serve/burdockdirect"
	"burdockbend.example/burdockbend/internal/state/burdockkv"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"
)

const (
	// prefixPartCrash is the prefix of the keys that report the prompt parts of the requests
	// that were pending at an upstream when it crashed: "upstream@start/VM".
	prefixPartCrash = prefixNotifications + "partcrash/"
	// prefixPartSound is the prefix of the keys that report suspected parts which turned out
	// to be harmless: "service/part".
	prefixPartSound = prefixNotifications + "partsound/"
	// prefixPartTrial is the prefix of the keys that claim the trials of quarantined parts:
	// "service/part/number".
	prefixPartTrial = prefixNotifications + "parttrial/"
	// partNewsTTL is how long what entries find out about parts is kept for entries that start
	// later. The platform's leases last no longer.
	partNewsTTL = 10 * burdockclock.Minute
	// claimTimeout bounds the claim of a trial.
	claimTimeout = 2 * burdockclock.Second
)

// partCrashRecord is the value of a key under prefixPartCrash.
type partCrashRecord struct {
	Upstream        burdockid.Upstream        `json:"upstream"`
	StartedAtMillis burdockclock.Millis       `json:"startedAtMillis"` // wall clock; 0 if unknown
	Service         burdockid.Service         `json:"service"`
	AtMillis        burdockclock.Millis       `json:"atMillis"` // wall clock
	Members         int                       `json:"members"`
	Parts           []burdockparts.PartStarts `json:"parts"`
	Starts          int                       `json:"starts"`
}

// partSoundRecord is the value of a key under prefixPartSound.
type partSoundRecord struct {
	Service  burdockid.Service    `json:"service"`
	Part     burdockid.PromptPart `json:"part"`
	AtMillis burdockclock.Millis  `json:"atMillis"` // wall clock
}

// partTrialRecord is the value of a key under prefixPartTrial.
type partTrialRecord struct {
	Service  burdockid.Service    `json:"service"`
	Part     burdockid.PromptPart `json:"part"`
	Number   int                  `json:"number"`
	AtMillis burdockclock.Millis  `json:"atMillis"` // wall clock
	VM       burdockid.VM         `json:"vm"`       // of the entry
}

// partNews implements burdockdirect.PartNews by keys in the store.
type partNews struct {
	store burdockkv.Store
	vm    burdockid.VM
	// crashes and sounds are apart so that no crash is dropped because of many harmless parts.
	crashes *publisher
	sounds  *publisher
	log     *zap.Logger
}

func newPartNews(store burdockkv.Store, vm burdockid.VM, log *zap.Logger) *partNews {
	return &partNews{
		store: store, vm: vm, log: log,
		crashes: newPublisher(store, partNewsTTL, true, log), sounds: newPublisher(store, partNewsTTL, true, log),
	}
}

func (n *partNews) start() {
	n.crashes.start()
	n.sounds.start()
}

func (n *partNews) close() {
	n.crashes.close()
	n.sounds.close()
}

func (n *partNews) publish(p *publisher, key string, record any) {
	value, err := json.Marshal(record)
	if err != nil {
		n.log.Error("failed to encode a record", zap.String("key", key), zap.Error(err))
		return
	}
	p.publish([]burdockkv.Put{{Key: key, Value: value}})
}

// PublishPartCrash implements burdockdirect.PartNews.
func (n *partNews) PublishPartCrash(c burdockparts.Crash) {
	key := fmt.Sprintf("%s%s@%d/%s", prefixPartCrash, c.Process.Upstream, c.Process.StartedAt, n.vm)
	n.publish(n.crashes, key, partCrashRecord{
		Upstream: c.Process.Upstream, StartedAtMillis: c.Process.StartedAt, Service: c.Service,
		AtMillis: c.At, Members: c.Members, Parts: c.Parts, Starts: c.Starts,
	})
}

// PublishPartSound implements burdockdirect.PartNews.
func (n *partNews) PublishPartSound(s burdockparts.Sound) {
	n.publish(n.sounds, prefixPartSound+partKey(s.Key), partSoundRecord{Service: s.Service, Part: s.Part, AtMillis: s.At})
}

// ClaimPartTrial implements burdockdirect.PartNews. The key of a trial is written once, so one
// entry has it. While the store is out of reach, none has.
func (n *partNews) ClaimPartTrial(trial burdockparts.Trial, done func(claimed bool)) {
	ctx, cancel := context.WithTimeout(n.crashes.ctx, claimTimeout.Duration())
	defer cancel()
	err := n.claim(ctx, trial)
	if err != nil && !errorx.IsOfType(err, burdockkv.ErrConflict) {
		n.log.Warn("failed to claim the trial of a prompt part", zap.String("part", string(trial.Part)), zap.Error(err))
	}
	done(err == nil)
}

func (n *partNews) claim(ctx context.Context, trial burdockparts.Trial) error {
	value, err := json.Marshal(partTrialRecord{Service: trial.Service, Part: trial.Part, Number: trial.Number, AtMillis: trial.At, VM: n.vm})
	if err != nil {
		return err
	}
	lease, err := n.store.Grant(ctx, partNewsTTL)
	if err != nil {
		return err
	}
	key := fmt.Sprintf("%s%s/%d", prefixPartTrial, partKey(trial.Key), trial.Number)
	_, err = n.store.Write(ctx, []burdockkv.Condition{{Key: key}}, []burdockkv.Put{{Key: key, Value: value, Lease: lease}})
	return err
}

func partKey(key burdockparts.Key) string { return string(key.Service) + "/" + string(key.Part) }

// partNewsReader passes the news on parts that were written since it last read to an entry.
type partNewsReader struct {
	entry *burdockdirect.Entry
	log   *zap.Logger
	// crashes, sounds and trials are the keys of each kind that were read.
	crashes, sounds, trials freshKeys
}

// read reads the items of the three prefixes. Crashes come first: what the others say about a
// part counts from those on.
func (r *partNewsReader) read(byPrefix map[string][]burdockkv.Item) {
	var crashes []burdockparts.Crash
	for _, rec := range decodeFresh[partCrashRecord](&r.crashes, byPrefix[prefixPartCrash], r.log) {
		crashes = append(crashes, burdockparts.Crash{
			Process: burdockid.Process{Upstream: rec.Upstream, StartedAt: rec.StartedAtMillis}, Service: rec.Service,
			At: rec.AtMillis, Members: rec.Members, Parts: rec.Parts, Starts: rec.Starts,
		})
	}
	var sounds []burdockparts.Sound
	for _, rec := range decodeFresh[partSoundRecord](&r.sounds, byPrefix[prefixPartSound], r.log) {
		sounds = append(sounds, burdockparts.Sound{Key: burdockparts.Key{Service: rec.Service, Part: rec.Part}, At: rec.AtMillis})
	}
	var trials []burdockparts.Trial
	for _, rec := range decodeFresh[partTrialRecord](&r.trials, byPrefix[prefixPartTrial], r.log) {
		trials = append(trials, burdockparts.Trial{Key: burdockparts.Key{Service: rec.Service, Part: rec.Part}, Number: rec.Number, At: rec.AtMillis})
	}
	r.entry.AddPartCrashes(crashes)
	r.entry.AddPartSounds(sounds)
	r.entry.AddPartTrials(trials)
}

// decodeFresh decodes the records that were written since the last call. It logs and skips
// those that can't be decoded.
func decodeFresh[R any](keys *freshKeys, items []burdockkv.Item, log *zap.Logger) []R {
	var all []R
	for _, item := range keys.updated(items) {
		var rec R
		if err := json.Unmarshal(item.Value, &rec); err != nil {
			log.Warn("skipping unreadable record", zap.String("key", item.Key), zap.Error(err))
			continue
		}
		all = append(all, rec)
	}
	return all
}
