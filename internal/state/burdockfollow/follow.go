// Package burdockfollow keeps a burdocksite.Site up to date with the records in the
// platform's store.
package burdockfollow

import (
	"maps"
	"slices"
	"sync"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/state/burdockkv"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
	"go.uber.org/zap"
)

// Change is the decoded change of one record: a ConfigWritten, UpstreamWritten,
// UpstreamGone, EvacuationChanged or Unreadable.
type Change interface{ isChange() }

// ConfigWritten is a new version of the configuration.
type ConfigWritten struct{ Config burdocksite.Config }

// UpstreamWritten is the current state of an upstream.
type UpstreamWritten struct{ Upstream burdocksite.Upstream }

// UpstreamGone means that an upstream's record was removed.
type UpstreamGone struct{ ID burdockid.Upstream }

// EvacuationChanged means that the operators have started or ended the evacuation of a
// data centre.
type EvacuationChanged struct {
	DataCentre burdockid.DataCentre
	Evacuated  bool
}

// Unreadable is a record that can't be decoded. If its key is that of an upstream, ID is that
// upstream, otherwise it is empty.
type Unreadable struct {
	Key string
	ID  burdockid.Upstream
	Err error
}

func (ConfigWritten) isChange()     {}
func (UpstreamWritten) isChange()   {}
func (UpstreamGone) isChange()      {}
func (EvacuationChanged) isChange() {}
func (Unreadable) isChange()        {}

// Topic is a kind of record that is followed separately.
type Topic string

// Topics.
const (
	TopicConfig    Topic = "config"
	TopicUpstreams Topic = "upstreams"
)

// Topics returns all topics.
func Topics() []Topic { return []Topic{TopicConfig, TopicUpstreams} }

// Decoder decodes the platform's records. Decode returns nil for a record that does not
// belong to the site.
type Decoder interface {
	Decode(item burdockkv.Item) Change
	// Prefix returns the key prefix of a topic's records.
	Prefix(topic Topic) string
}

const (
	// minOutage is the length of an outage of the store that by itself may let records
	// lapse: most of three heartbeats of about a second.
	minOutage = 2 * burdockclock.Second
	// recoveryGrace is how long an upstream is kept whose record is missing after an outage.
	// A live upstream writes its record again within two seconds of the store's return.
	recoveryGrace burdockclock.Millis = 2200
	// An outage is assumed if minLapsed or more upstreams, and at least 1/lapsedDivisor of
	// all, disappear in one answer without having left first. Two may belong to one VM, or
	// have failed within the 300 ms between two watches. In the first answer after an outage
	// all 18 of 18 disappeared, or 13 of 32 where the known ones included restarted upstreams.
	minLapsed     = 3
	lapsedDivisor = 4
	// replacementWindow is how long after an upstream has joined a service it may be what
	// replaces one that disappears.
	replacementWindow = 10 * burdockclock.Second
	// sweepInterval is the time between two checks of the records that are missing after
	// an outage.
	sweepInterval = 100 * time.Millisecond
	// goneMemory is how long an upstream that has gone is remembered, in case the store is
	// restored from a copy that still has it. It is longer than such a copy is old.
	goneMemory = burdockclock.Minute
)

// Records is a burdockkv.Sink that applies records to a site.
type Records struct {
	topic   Topic
	decoder Decoder
	site    *burdocksite.Site
	clock   burdockclock.Clock
	log     *zap.Logger

	mu          sync.Mutex
	recoveredAt burdockclock.Millis // boot time of the latest return of the store; 0 for none
	// missing holds the boot time at which each missing upstream is removed, and
	// missingEvacuations the time at which each missing evacuation ends.
	missing            map[burdockid.Upstream]burdockclock.Millis
	missingEvacuations map[burdockid.DataCentre]burdockclock.Millis
	sweepTimer         *time.Timer
	// gone holds the boot time at which each upstream was last found gone.
	gone map[burdockid.Upstream]burdockclock.Millis
	// joined holds when upstreams were first reported, by service.
	joined map[burdockid.Service][]burdockclock.Millis
	// restored reports that the next listing is of a store that was restored.
	restored bool
	// reported holds the position at which each unreadable key was logged.
	reported map[string]burdockkv.Position
}

// New returns a sink for the records of a topic.
func New(topic Topic, decoder Decoder, site *burdocksite.Site, clock burdockclock.Clock, log *zap.Logger) *Records {
	return &Records{
		topic: topic, decoder: decoder, site: site, clock: clock, log: log,
		missing: map[burdockid.Upstream]burdockclock.Millis{}, missingEvacuations: map[burdockid.DataCentre]burdockclock.Millis{},
		gone: map[burdockid.Upstream]burdockclock.Millis{}, joined: map[burdockid.Service][]burdockclock.Millis{}, reported: map[string]burdockkv.Position{},
	}
}

// Listed implements burdockkv.Sink. Records that the listing lacks are treated as removed.
func (r *Records) Listed(items []burdockkv.Item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.site.Update(func(b *burdocksite.Batch) { r.applyListing(b, items) })
	r.restored = false
}

func (r *Records) applyListing(b *burdocksite.Batch, items []burdockkv.Item) {
	listed := map[burdockid.Upstream]bool{}
	evacuated := map[burdockid.DataCentre]bool{}
	for _, item := range items {
		change := r.decoder.Decode(item)
		switch c := change.(type) {
		case UpstreamWritten:
			listed[c.Upstream.ID] = true
			if r.restored && r.isGone(b, c.Upstream.ID) {
				continue
			}
		case EvacuationChanged:
			evacuated[c.DataCentre] = true
		}
		r.apply(b, item, change)
	}
	switch r.topic {
	case TopicUpstreams:
		b.SetUpstreamsListed()
		for id := range b.Upstreams() {
			if !listed[id] {
				r.markGone(b, id)
			}
		}
	case TopicConfig:
		for dc := range b.Evacuated() {
			if !evacuated[dc] {
				r.endEvacuation(b, dc)
			}
		}
	}
}

// isGone reports whether an upstream that a restored store lists had gone before.
//
// The copy that the store was restored from still has records of upstreams that were
// removed since. A request that is placed there is lost, or reaches another process at
// the same address. An upstream that is alive writes its record again.
func (r *Records) isGone(b *burdocksite.Batch, id burdockid.Upstream) bool {
	if _, known := b.Upstreams()[id]; known {
		return false
	}
	at, gone := r.gone[id]
	return gone && r.clock.Boot()-at < goneMemory
}

// Changed implements burdockkv.Sink.
func (r *Records) Changed(items []burdockkv.Item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changes := make([]Change, len(items))
	for i, item := range items {
		changes[i] = r.decoder.Decode(item)
	}
	r.detectOutage(changes)
	r.site.Update(func(b *burdocksite.Batch) {
		for i, item := range items {
			r.apply(b, item, changes[i])
		}
	})
}

// detectOutage detects from the changes themselves an outage that the follower has missed.
//
// A watch that was open before an outage may stay open, so nothing shows that the store
// does not answer. When the store returns, the watch reports that the records of all
// upstreams have lapsed, right before the upstreams write them again, and all requests
// would be refused for a second. Upstreams mark themselves as leaving before they stop, and
// failing ones disappear one by one or with their VM. Many that disappear at once could not
// renew their records.
//
// Unless others have just taken their places: upstreams that are replaced together may
// disappear at once without having left.
func (r *Records) detectOutage(changes []Change) {
	known := r.site.Now().Upstreams
	lapsed := map[burdockid.Upstream]bool{}
	for _, change := range changes {
		switch c := change.(type) {
		case UpstreamGone:
			u, ok := known[c.ID]
			lapsed[c.ID] = ok && !u.Leaving
		case UpstreamWritten:
			lapsed[c.Upstream.ID] = false
			if _, ok := known[c.Upstream.ID]; !ok {
				r.joined[c.Upstream.Service] = append(r.joined[c.Upstream.Service], r.clock.Boot())
			}
		}
	}
	byService := map[burdockid.Service]int{}
	for id, gone := range lapsed {
		if gone {
			byService[known[id].Service]++
		}
	}
	n := 0
	for service, gone := range byService {
		replaced := min(gone, r.countJoined(service))
		n += gone - replaced
		if gone >= minLapsed && replaced > 0 {
			r.log.Info("upstreams replaced at once", zap.String("service", string(service)), zap.Int("gone", gone), zap.Int("joined", replaced))
		}
	}
	if n >= minLapsed && n*lapsedDivisor >= len(known) {
		r.log.Warn("many records lapsed at once; the store seems to have been out", zap.Int("lapsed", n), zap.Int("known", len(known)))
		r.recoveredAt = r.clock.Boot()
	}
}

// countJoined returns how many upstreams have joined a service within replacementWindow.
func (r *Records) countJoined(service burdockid.Service) int {
	now := r.clock.Boot()
	recent := slices.DeleteFunc(r.joined[service], func(at burdockclock.Millis) bool { return now-at > replacementWindow })
	r.joined[service] = recent
	return len(recent)
}

// StoreRecovered implements burdockkv.Sink.
func (r *Records) StoreRecovered(outage burdockclock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if outage >= minOutage {
		r.recoveredAt = r.clock.Boot()
	}
}

// StoreRestored implements burdockkv.Sink. Live upstreams write their records again, as
// after an outage.
func (r *Records) StoreRestored() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restored, r.recoveredAt = true, r.clock.Boot()
}

func (r *Records) apply(b *burdocksite.Batch, item burdockkv.Item, change Change) {
	switch c := change.(type) {
	case ConfigWritten:
		c.Config.AppliedAt = r.clock.Boot()
		if b.SetConfig(c.Config) {
			r.log.Info("configuration in force", zap.Uint64("version", uint64(c.Config.Version)),
				zap.Int("routes", len(c.Config.Routes)), zap.Int("customers", len(c.Config.Customers)))
		}
	case UpstreamWritten:
		r.putUpstream(b, item, c.Upstream)
	case UpstreamGone:
		r.markGone(b, c.ID)
	case EvacuationChanged:
		if !c.Evacuated {
			r.endEvacuation(b, c.DataCentre)
			return
		}
		delete(r.missingEvacuations, c.DataCentre)
		if b.SetEvacuated(c.DataCentre, true) {
			r.log.Info("data centre evacuated", zap.String("dataCentre", string(c.DataCentre)))
		}
	case Unreadable:
		r.reject(b, item, c)
	}
}

// putUpstream applies an upstream's record.
//
// In the copy that a store was restored from, an upstream that has since begun to leave is
// still ready. It is about to stop, so for the same process the newer state stays.
func (r *Records) putUpstream(b *burdocksite.Batch, item burdockkv.Item, u burdocksite.Upstream) {
	u.Created = item.Created
	if old, ok := b.Upstreams()[u.ID]; ok {
		if u.StartedAt == 0 {
			u.StartedAt = old.StartedAt // unknown, so taken for the same process
		}
		if old.Leaving && old.StartedAt == u.StartedAt && old.Created.Era < u.Created.Era {
			u.Leaving = true
		}
	}
	delete(r.missing, u.ID)
	if b.PutUpstream(u) {
		r.log.Info("upstream", zap.String("upstream", string(u.ID)), zap.String("service", string(u.Service)),
			zap.String("address", u.Address), zap.Bool("leaving", u.Leaving),
			zap.Int64("era", int64(item.Modified.Era)), zap.Int64("revision", int64(item.Modified.Revision)))
	}
}

// reject logs an unreadable record, once per revision, and drops its upstream if it has one.
func (r *Records) reject(b *burdocksite.Batch, item burdockkv.Item, c Unreadable) {
	if r.reported[c.Key] != item.Modified {
		r.reported[c.Key] = item.Modified
		r.log.Warn("record can't be read", zap.String("key", c.Key), zap.Error(c.Err))
	}
	if c.ID != "" {
		r.drop(b, c.ID)
	}
}

// graceEnd returns when a record that is missing now is taken for removed; false if it is
// at once.
//
// Records lapse during an outage of the store because their writers can't renew them. When
// the store returns, every upstream is missing for a moment, and all requests would be
// refused. Live upstreams write their records again within recoveryGrace.
func (r *Records) graceEnd() (burdockclock.Millis, bool) {
	end := r.recoveredAt + recoveryGrace
	return end, r.recoveredAt != 0 && r.clock.Boot() <= end
}

// markGone drops an upstream whose record is gone, or waits for the record to be written
// again right after an outage.
func (r *Records) markGone(b *burdocksite.Batch, id burdockid.Upstream) {
	end, wait := r.graceEnd()
	if !wait {
		r.drop(b, id)
		return
	}
	r.missing[id] = end
	r.startSweep()
}

// endEvacuation ends the evacuation of a data centre whose record is gone, or waits for the
// record to be written again right after an outage.
func (r *Records) endEvacuation(b *burdocksite.Batch, dc burdockid.DataCentre) {
	end, wait := r.graceEnd()
	if wait && b.Evacuated()[dc] {
		r.missingEvacuations[dc] = end
		r.startSweep()
		return
	}
	delete(r.missingEvacuations, dc)
	if b.SetEvacuated(dc, false) {
		r.log.Info("data centre no longer evacuated", zap.String("dataCentre", string(dc)))
	}
}

func (r *Records) startSweep() {
	if r.sweepTimer == nil {
		r.sweepTimer = time.AfterFunc(sweepInterval, r.sweepMissing)
	}
}

func (r *Records) drop(b *burdocksite.Batch, id burdockid.Upstream) {
	delete(r.missing, id)
	if b.DropUpstream(id) {
		r.rememberGone(id)
		r.log.Info("upstream gone", zap.String("upstream", string(id)))
	}
}

func (r *Records) rememberGone(id burdockid.Upstream) {
	now := r.clock.Boot()
	maps.DeleteFunc(r.gone, func(_ burdockid.Upstream, at burdockclock.Millis) bool { return now-at >= goneMemory })
	r.gone[id] = now
}

// sweepMissing removes the records that have been missing for too long. The sweep timer
// calls it.
func (r *Records) sweepMissing() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Boot()
	r.site.Update(func(b *burdocksite.Batch) {
		for id, at := range r.missing {
			if now >= at {
				r.drop(b, id)
			}
		}
		for dc, at := range r.missingEvacuations {
			if now >= at {
				delete(r.missingEvacuations, dc)
				b.SetEvacuated(dc, false)
			}
		}
	})
	r.sweepTimer = nil
	if len(r.missing)+len(r.missingEvacuations) > 0 {
		r.startSweep()
	}
}
