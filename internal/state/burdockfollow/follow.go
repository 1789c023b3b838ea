// Package burdockfollow keeps a burdocksite.Site up to date from the platform's
// store: it lists, watches, and lists again when the history was lost.
package burdockfollow

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"
)

// Revision is the store's count of changes.
type Revision int64

// Topic is a part of the store that is followed by itself.
type Topic string

// Topics.
const (
	TopicConfig    Topic = "config"
	TopicUpstreams Topic = "upstreams"
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

// Source is the platform's store as far as it is followed.
type Source interface {
	// List returns all records of a topic, and the revision from which a watch
	// misses nothing.
	List(ctx context.Context, topic Topic) ([]Change, Revision, error)
	// Watch waits for changes after a revision and returns them with the
	// revision to go on from. An ErrCompacted says that they are no longer
	// known.
	Watch(ctx context.Context, topic Topic, after Revision, wait burdockclock.Millis) ([]Change, Revision, error)
}

// ErrCompacted says that the store has dropped the history that was asked for.
var ErrCompacted = errorx.NewNamespace("follow").NewType("compacted")

const (
	// watchWait is how long one watch waits. Each call costs; a connection that
	// went silent is found by the transport's own probes well before.
	watchWait = 25 * burdockclock.Second
	// firstPause and mostPause bound the wait after a failed call: doubled each
	// time, and drawn from half of it to all of it, so that the processes don't
	// greet a store that returns at one instant. The longest leaves a second of
	// the two in which a configuration has to be in force.
	firstPause burdockclock.Millis = 100
	mostPause  burdockclock.Millis = 800
	// outage is the silence of the store after which records may have lapsed
	// for no other reason: most of three heartbeats of about a second.
	outage = 2 * burdockclock.Second
	// returnGrace is how long a record that is missing after an outage is still
	// believed in: a live upstream writes again within two seconds of the
	// store's return.
	returnGrace burdockclock.Millis = 2200
)

// Follower follows one topic.
type Follower struct {
	topic  Topic
	source Source
	site   *burdocksite.Site
	clock  burdockclock.Clock
	log    *zap.Logger

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup

	answeredAt burdockclock.Millis // when the store last answered
	returnedAt burdockclock.Millis // when it last came back from an outage; 0 if never
	lost       bool
	pause      burdockclock.Millis

	mu      sync.Mutex
	missing map[burdockid.Upstream]burdockclock.Millis // when each is taken as gone
}

// New returns a follower of a topic. It begins with Start.
func New(topic Topic, source Source, site *burdocksite.Site, clock burdockclock.Clock, log *zap.Logger) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	return &Follower{
		topic: topic, source: source, site: site, clock: clock, log: log,
		ctx: ctx, cancel: cancel, missing: map[burdockid.Upstream]burdockclock.Millis{},
		answeredAt: clock.Boot(),
	}
}

// Start begins to follow.
func (f *Follower) Start() {
	f.done.Add(2)
	go f.loop()
	go f.sweeper().loop()
}

// Close ends following.
func (f *Follower) Close() {
	f.cancel()
	f.done.Wait()
}

func (f *Follower) loop() {
	defer f.done.Done()
	for f.ctx.Err() == nil {
		rev, ok := f.list()
		for ok {
			rev, ok = f.watch(rev)
		}
	}
}

func (f *Follower) list() (Revision, bool) {
	changes, rev, err := f.source.List(f.ctx, f.topic)
	if err != nil {
		f.failed(err)
		return 0, false
	}
	f.answered()
	f.takeAll(changes)
	return rev, true
}

// watch returns the revision to go on from, and false when the topic must be
// listed again.
func (f *Follower) watch(rev Revision) (Revision, bool) {
	changes, next, err := f.source.Watch(f.ctx, f.topic, rev, watchWait)
	switch {
	case errorx.IsOfType(err, ErrCompacted):
		f.log.Info("store dropped its history; listing again", zap.String("topic", string(f.topic)), zap.Int64("after", int64(rev)))
		return 0, false
	case err != nil:
		f.failed(err)
		return rev, f.ctx.Err() == nil
	}
	f.answered()
	for _, c := range changes {
		f.take(c)
	}
	return max(rev, next), true
}

// answered notes that the store can be reached.
func (f *Follower) answered() {
	now := f.clock.Boot()
	if f.lost && now-f.answeredAt > outage {
		f.returnedAt = now
	}
	if f.lost {
		f.log.Info("store regained", zap.String("topic", string(f.topic)), zap.Int64("silentMillis", int64(now-f.answeredAt)))
	}
	f.answeredAt, f.lost, f.pause = now, false, 0
}

// failed notes a call without an answer and waits before the next one.
func (f *Follower) failed(err error) {
	if f.ctx.Err() != nil {
		return
	}
	if !f.lost {
		// A watch that ends without an answer may have waited in vain for as
		// long as it did; the outage is counted from here.
		f.answeredAt = f.clock.Boot()
		f.log.Warn("store lost", zap.String("topic", string(f.topic)), zap.Error(err))
	}
	f.lost = true
	f.pause = min(max(2*f.pause, firstPause), mostPause)
	drawn := f.pause/2 + burdockclock.Millis(rand.Int64N(int64(f.pause/2)+1))
	timer := time.NewTimer(drawn.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.ctx.Done():
	}
}

// takeAll takes in a listing: what it lacks is gone.
func (f *Follower) takeAll(changes []Change) {
	listed := map[burdockid.Upstream]bool{}
	for _, c := range changes {
		if u, ok := c.(UpstreamWritten); ok {
			listed[u.Upstream.ID] = true
		}
		f.take(c)
	}
	if f.topic != TopicUpstreams {
		return
	}
	for id := range f.site.Now().Upstreams {
		if !listed[id] {
			f.take(UpstreamGone{ID: id})
		}
	}
}

func (f *Follower) take(c Change) {
	switch c := c.(type) {
	case ConfigWritten:
		if f.site.SetConfig(c.Config) {
			f.log.Info("configuration in force", zap.Uint64("version", uint64(c.Config.Version)),
				zap.Int("routes", len(c.Config.Routes)), zap.Int("customers", len(c.Config.Customers)))
		}
	case UpstreamWritten:
		f.keep(c.Upstream.ID)
		if f.site.PutUpstream(c.Upstream) {
			f.log.Info("upstream", zap.String("upstream", string(c.Upstream.ID)), zap.String("service", string(c.Upstream.Service)),
				zap.String("address", c.Upstream.Address), zap.Bool("leaving", c.Upstream.Leaving))
		}
	case UpstreamGone:
		f.gone(c.ID)
	case Unreadable:
		f.log.Warn("record can't be read", zap.String("key", c.Key), zap.Error(c.Err))
		if c.ID != "" {
			f.drop(c.ID)
		}
	}
}

func (f *Follower) keep(id burdockid.Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.missing, id)
}

// gone takes an upstream as gone, right after an outage only when it has had
// time to write again.
//
// Failure: records lapse while the store is out, because their writers can't
// renew them. Symptom: when it returns every upstream is missing for a moment,
// and all requests would be refused. Records of live upstreams are back within
// the grace time; one that isn't belongs to no live upstream.
func (f *Follower) gone(id burdockid.Upstream) {
	now := f.clock.Boot()
	if f.returnedAt == 0 || now-f.returnedAt > returnGrace {
		f.drop(id)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.missing[id] = f.returnedAt + returnGrace
}

func (f *Follower) drop(id burdockid.Upstream) {
	f.keep(id)
	if f.site.DropUpstream(id) {
		f.log.Info("upstream gone", zap.String("upstream", string(id)))
	}
}

// sweepEvery is how often upstreams that are missing after an outage are looked
// at again.
const sweepEvery = 100 * time.Millisecond

type sweeper struct{ follower *Follower }

func (f *Follower) sweeper() sweeper { return sweeper{f} }

func (s sweeper) loop() {
	defer s.follower.done.Done()
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-s.follower.ctx.Done():
			return
		case <-ticker.C:
			s.follower.sweep()
		}
	}
}

func (f *Follower) sweep() {
	now := f.clock.Boot()
	f.mu.Lock()
	var due []burdockid.Upstream
	for id, at := range f.missing {
		if now >= at {
			due = append(due, id)
		}
	}
	f.mu.Unlock()
	for _, id := range due {
		f.drop(id)
	}
}
