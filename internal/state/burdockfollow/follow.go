// Package burdockfollow keeps a burdocksite.Site up to date with the records in the
// platform's store.
package burdockfollow

import (
	"sync"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/state/burdockkv"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
	"go.uber.org/zap"
)

// Change is the decoded change of one record: a ConfigWritten, UpstreamWritten,
// UpstreamGone or Unreadable.
type Change interface{ isChange() }

// ConfigWritten is a new version of the configuration.
type ConfigWritten struct{ Config burdocksite.Config }

// UpstreamWritten is the current state of an upstream.
type UpstreamWritten struct{ Upstream burdocksite.Upstream }

// UpstreamGone means that an upstream's record was removed.
type UpstreamGone struct{ ID burdockid.Upstream }

// Unreadable is a record that can't be decoded. If its key is that of an upstream, ID is that
// upstream, otherwise it is empty.
type Unreadable struct {
	Key string
	ID  burdockid.Upstream
	Err error
}

func (ConfigWritten) isChange()   {}
func (UpstreamWritten) isChange() {}
func (UpstreamGone) isChange()    {}
func (Unreadable) isChange()      {}

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
	// sweepInterval is the time between two checks of the upstreams that are missing after
	// an outage.
	sweepInterval = 100 * time.Millisecond
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
	// missing holds the boot time at which each missing upstream is removed.
	missing    map[burdockid.Upstream]burdockclock.Millis
	sweepTimer *time.Timer
	// reported holds the revision at which each unreadable key was logged.
	reported map[string]burdockkv.Revision
}

// New returns a sink for the records of a topic.
func New(topic Topic, decoder Decoder, site *burdocksite.Site, clock burdockclock.Clock, log *zap.Logger) *Records {
	return &Records{
		topic: topic, decoder: decoder, site: site, clock: clock, log: log,
		missing: map[burdockid.Upstream]burdockclock.Millis{}, reported: map[string]burdockkv.Revision{},
	}
}

// Listed implements burdockkv.Sink. Upstreams that the listing lacks are treated as gone.
func (r *Records) Listed(items []burdockkv.Item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := map[burdockid.Upstream]bool{}
	for _, item := range items {
		change := r.decoder.Decode(item)
		if u, ok := change.(UpstreamWritten); ok {
			listed[u.Upstream.ID] = true
		}
		r.apply(item, change)
	}
	if r.topic != TopicUpstreams {
		return
	}
	for id := range r.site.Now().Upstreams {
		if !listed[id] {
			r.markGone(id)
		}
	}
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
	for i, item := range items {
		r.apply(item, changes[i])
	}
}

// detectOutage detects from the changes themselves an outage that the follower has missed.
//
// A watch that was open before an outage may stay open, so nothing shows that the store
// does not answer. When the store returns, the watch reports that the records of all
// upstreams have lapsed, right before the upstreams write them again, and all requests
// would be refused for a second. Upstreams mark themselves as leaving before they stop, and
// failing ones disappear one by one or with their VM. Many that disappear at once could not
// renew their records.
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
		}
	}
	n := 0
	for _, gone := range lapsed {
		if gone {
			n++
		}
	}
	if n >= minLapsed && n*lapsedDivisor >= len(known) {
		r.log.Warn("many records lapsed at once; the store seems to have been out", zap.Int("lapsed", n), zap.Int("known", len(known)))
		r.recoveredAt = r.clock.Boot()
	}
}

// StoreRecovered implements burdockkv.Sink.
func (r *Records) StoreRecovered(outage burdockclock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if outage >= minOutage {
		r.recoveredAt = r.clock.Boot()
	}
}

func (r *Records) apply(item burdockkv.Item, change Change) {
	switch c := change.(type) {
	case ConfigWritten:
		if r.site.SetConfig(c.Config) {
			r.log.Info("configuration in force", zap.Uint64("version", uint64(c.Config.Version)),
				zap.Int("routes", len(c.Config.Routes)), zap.Int("customers", len(c.Config.Customers)))
		}
	case UpstreamWritten:
		c.Upstream.CreateRevision = burdocksite.Revision(item.Created)
		delete(r.missing, c.Upstream.ID)
		if r.site.PutUpstream(c.Upstream) {
			r.log.Info("upstream", zap.String("upstream", string(c.Upstream.ID)), zap.String("service", string(c.Upstream.Service)),
				zap.String("address", c.Upstream.Address), zap.Bool("leaving", c.Upstream.Leaving), zap.Int64("revision", int64(item.Revision)))
		}
	case UpstreamGone:
		r.markGone(c.ID)
	case Unreadable:
		r.reject(item, c)
	}
}

// reject logs an unreadable record, once per revision, and drops its upstream if it has one.
func (r *Records) reject(item burdockkv.Item, c Unreadable) {
	if r.reported[c.Key] != item.Revision {
		r.reported[c.Key] = item.Revision
		r.log.Warn("record can't be read", zap.String("key", c.Key), zap.Error(c.Err))
	}
	if c.ID != "" {
		r.drop(c.ID)
	}
}

// markGone drops an upstream whose record is gone. Right after an outage it waits until the
// upstream has had time to write its record again.
//
// Records lapse during an outage of the store because upstreams can't renew them. When the
// store returns, every upstream is missing for a moment, and all requests would be refused.
// Live upstreams write their records again within recoveryGrace.
func (r *Records) markGone(id burdockid.Upstream) {
	if r.recoveredAt == 0 || r.clock.Boot()-r.recoveredAt > recoveryGrace {
		r.drop(id)
		return
	}
	r.missing[id] = r.recoveredAt + recoveryGrace
	if r.sweepTimer == nil {
		r.sweepTimer = time.AfterFunc(sweepInterval, r.sweepMissing)
	}
}

func (r *Records) drop(id burdockid.Upstream) {
	delete(r.missing, id)
	if r.site.DropUpstream(id) {
		r.log.Info("upstream gone", zap.String("upstream", string(id)))
	}
}

// sweepMissing drops the upstreams that have been missing for too long. The sweep timer
// calls it.
func (r *Records) sweepMissing() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Boot()
	for id, at := range r.missing {
		if now >= at {
			r.drop(id)
		}
	}
	r.sweepTimer = nil
	if len(r.missing) > 0 {
		r.sweepTimer = time.AfterFunc(sweepInterval, r.sweepMissing)
	}
}
