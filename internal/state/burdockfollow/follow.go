// Package burdockfollow keeps a burdocksite.Site up to date with the platform's
// records.
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

// Change is one record as it was written: ConfigWritten, UpstreamWritten,
// UpstreamGone or Unreadable.
type Change interface{ isChange() }

// ConfigWritten is a version of the configuration.
type ConfigWritten struct{ Config burdocksite.Config }

// UpstreamWritten is an upstream as it is now.
type UpstreamWritten struct{ Upstream burdocksite.Upstream }

// UpstreamGone is an upstream whose record was removed.
type UpstreamGone struct{ ID burdockid.Upstream }

// Unreadable is a record that can't be decoded. If it stands in the place of an
// upstream, that is ID.
type Unreadable struct {
	Key string
	ID  burdockid.Upstream
	Err error
}

func (ConfigWritten) isChange()   {}
func (UpstreamWritten) isChange() {}
func (UpstreamGone) isChange()    {}
func (Unreadable) isChange()      {}

// Topic is a kind of records that is followed by itself.
type Topic string

// Topics.
const (
	TopicConfig    Topic = "config"
	TopicUpstreams Topic = "upstreams"
)

// Topics returns all topics.
func Topics() []Topic { return []Topic{TopicConfig, TopicUpstreams} }

// Decoder reads the platform's records. Decode returns nil for a record that is
// none of the site's.
type Decoder interface {
	Decode(item burdockkv.Item) Change
	// Prefix is that of the keys under which a topic's records are.
	Prefix(topic Topic) string
}

const (
	// outage is the silence of the store after which records may have lapsed
	// for no other reason: most of three heartbeats of about a second.
	outage = 2 * burdockclock.Second
	// returnGrace is how long a record that is missing after an outage is still
	// believed in: a live upstream writes again within two seconds of the
	// store's return.
	returnGrace burdockclock.Millis = 2200
	// leastLapsed upstreams, and one of lapsedPart of all, that vanish in one answer
	// without having left are taken for the trace of an outage. Two may be those of
	// one VM, or have died within a watch's gap of 300 ms; after an outage the first
	// answer had all 18 of 18, and 13 of 32 where restarted ones stood beside them.
	leastLapsed = 3
	lapsedPart  = 4
	// sweepEvery is how often upstreams that are missing after an outage are
	// looked at again.
	sweepEvery = 100 * time.Millisecond
)

// Records is a burdockkv.Sink that takes records into a site.
type Records struct {
	topic   Topic
	decoder Decoder
	site    *burdocksite.Site
	clock   burdockclock.Clock
	log     *zap.Logger

	mu         sync.Mutex
	returnedAt burdockclock.Millis // when the store last came back from an outage
	// missing holds the instant at which each upstream is taken as gone.
	missing map[burdockid.Upstream]burdockclock.Millis
	sweep   *time.Timer
	// unreadable holds keys that were reported, by revision.
	unreadable map[string]burdockkv.Revision
}

// New returns a sink for the records of a topic.
func New(topic Topic, decoder Decoder, site *burdocksite.Site, clock burdockclock.Clock, log *zap.Logger) *Records {
	return &Records{
		topic: topic, decoder: decoder, site: site, clock: clock, log: log,
		missing: map[burdockid.Upstream]burdockclock.Millis{}, unreadable: map[string]burdockkv.Revision{},
	}
}

// Listed implements burdockkv.Sink: what a listing of upstreams lacks is gone.
func (r *Records) Listed(items []burdockkv.Item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := map[burdockid.Upstream]bool{}
	for _, item := range items {
		change := r.decoder.Decode(item)
		if u, ok := change.(UpstreamWritten); ok {
			listed[u.Upstream.ID] = true
		}
		r.take(item, change)
	}
	if r.topic != TopicUpstreams {
		return
	}
	for id := range r.site.Now().Upstreams {
		if !listed[id] {
			r.gone(id)
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
	r.noteLapses(changes)
	for i, item := range items {
		r.take(item, changes[i])
	}
}

// noteLapses looks for the trace of an outage that this process did not see.
//
// Failure: the store is out and a watch that was open before stays open, so
// nothing shows that nobody is there. Symptom: on the store's return the watch
// tells that the records of all upstreams have lapsed, right before their writers
// put them back, and all requests are refused for a second. Upstreams leave
// before they go, and those that die do so one by one or with their VM: many that
// vanish at once could not renew their records.
func (r *Records) noteLapses(changes []Change) {
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
	if n >= leastLapsed && n*lapsedPart >= len(known) {
		r.log.Warn("many records lapsed at once; the store seems to have been out", zap.Int("lapsed", n), zap.Int("known", len(known)))
		r.returnedAt = r.clock.Boot()
	}
}

// StoreRecovered implements burdockkv.Sink.
func (r *Records) StoreRecovered(silent burdockclock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if silent >= outage {
		r.returnedAt = r.clock.Boot()
	}
}

func (r *Records) take(item burdockkv.Item, change Change) {
	switch c := change.(type) {
	case ConfigWritten:
		if r.site.SetConfig(c.Config) {
			r.log.Info("configuration in force", zap.Uint64("version", uint64(c.Config.Version)),
				zap.Int("routes", len(c.Config.Routes)), zap.Int("customers", len(c.Config.Customers)))
		}
	case UpstreamWritten:
		c.Upstream.Created = burdocksite.Order(item.Created)
		delete(r.missing, c.Upstream.ID)
		if r.site.PutUpstream(c.Upstream) {
			r.log.Info("upstream", zap.String("upstream", string(c.Upstream.ID)), zap.String("service", string(c.Upstream.Service)),
				zap.String("address", c.Upstream.Address), zap.Bool("leaving", c.Upstream.Leaving), zap.Int64("revision", int64(item.Revision)))
		}
	case UpstreamGone:
		r.gone(c.ID)
	case Unreadable:
		r.reject(item, c)
	}
}

// reject reports a record that can't be read, once for each writing of it.
func (r *Records) reject(item burdockkv.Item, c Unreadable) {
	if r.unreadable[c.Key] != item.Revision {
		r.unreadable[c.Key] = item.Revision
		r.log.Warn("record can't be read", zap.String("key", c.Key), zap.Error(c.Err))
	}
	if c.ID != "" {
		r.drop(c.ID)
	}
}

// gone takes an upstream as gone, right after an outage only when it has had
// time to write again.
//
// Failure: records lapse while the store is out, because their writers can't
// renew them. Symptom: when it returns every upstream is missing for a moment,
// and all requests would be refused. Records of live upstreams are back within
// the grace time; one that isn't belongs to no live upstream.
func (r *Records) gone(id burdockid.Upstream) {
	if r.returnedAt == 0 || r.clock.Boot()-r.returnedAt > returnGrace {
		r.drop(id)
		return
	}
	r.missing[id] = r.returnedAt + returnGrace
	if r.sweep == nil {
		r.sweep = time.AfterFunc(sweepEvery, r.run)
	}
}

func (r *Records) drop(id burdockid.Upstream) {
	delete(r.missing, id)
	if r.site.DropUpstream(id) {
		r.log.Info("upstream gone", zap.String("upstream", string(id)))
	}
}

// run is the timer's: it takes as gone what has been missing for too long.
func (r *Records) run() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Boot()
	for id, at := range r.missing {
		if now >= at {
			r.drop(id)
		}
	}
	r.sweep = nil
	if len(r.missing) > 0 {
		r.sweep = time.AfterFunc(sweepEvery, r.run)
	}
}
