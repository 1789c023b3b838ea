package burdockkv

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"
)

const (
	// watchWait is how long one watch waits where it isn't known for how long the
	// store keeps its history. Each call costs; a connection that went silent is
	// found by the transport's own probes well before.
	watchWait = 25 * burdockclock.Second
	// historyPart is the part of the store's history for which a watch waits. The
	// next one begins at a revision of that age.
	historyPart = 0.8
	// watchGap is the time after a change before the next watch. Load: all
	// upstreams of a site register as it starts, or configurations come in quick
	// succession. Harm: one call for each change by each process. A change that
	// comes alone is told at once; one that follows it waits for no longer than a
	// small part of the two seconds in which it has to be in force.
	watchGap burdockclock.Millis = 300
	// firstPause and mostPause bound the wait after a failed call: doubled each
	// time, and drawn from half of it to all of it, so that the processes don't
	// greet a store that returns at one instant. The longest leaves a second of
	// the two in which a configuration has to be in force.
	firstPause burdockclock.Millis = 100
	mostPause  burdockclock.Millis = 800
)

// Sink takes in what a Follower reads. Calls don't overlap.
type Sink interface {
	// Listed tells all keys that there are.
	Listed(items []Item)
	// Changed tells changes in their order.
	Changed(items []Item)
	// StoreRecovered tells that the store answers again after a time without.
	StoreRecovered(silent burdockclock.Millis)
}

// WatchOptions says what a Follower watches, and how.
type WatchOptions struct {
	// Prefix is that of the keys.
	Prefix string
	// History is for how long the store keeps its history; 0 if it is not known.
	History burdockclock.Millis
	// Gap, if set, returns the time after a change before the next watch.
	Gap func() burdockclock.Millis
}

// wait is how long one watch waits.
func (w WatchOptions) wait() burdockclock.Millis {
	if w.History <= 0 {
		return watchWait
	}
	return min(burdockclock.Millis(historyPart*float64(w.History)), watchWait)
}

// gap is the time after a change before the next watch.
func (w WatchOptions) gap() burdockclock.Millis {
	if w.Gap == nil {
		return watchGap
	}
	return w.Gap()
}

// Follower keeps a Sink up to date with the keys under a prefix: it lists,
// watches, and lists again when the history was lost.
type Follower struct {
	store Store
	what  WatchOptions
	sink  Sink
	clock burdockclock.Clock
	log   *zap.Logger

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup

	// heardTo is the revision that the latest watch without a change ended at.
	heardTo Revision
	lostAt  burdockclock.Millis // when the store was lost; 0 while it answers
	pause   burdockclock.Millis
}

// NewFollower returns a follower that begins with Start.
func NewFollower(store Store, what WatchOptions, sink Sink, clock burdockclock.Clock, log *zap.Logger) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	return &Follower{
		store: store, what: what, sink: sink, clock: clock,
		log: log.With(zap.String("prefix", what.Prefix)), ctx: ctx, cancel: cancel,
	}
}

// Start begins to follow.
func (f *Follower) Start() {
	f.done.Add(1)
	go f.loop()
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
	f.heardTo = 0
	items, rev, err := f.store.List(f.ctx, f.what.Prefix)
	if err != nil {
		f.failed(err)
		return 0, false
	}
	f.answered()
	f.sink.Listed(items)
	return rev, true
}

// watch returns the revision to go on from, and false when the keys must be
// listed again.
//
// Failure: the store hears no changes for a moment, then cuts all watches and
// drops its history. Symptom: a watch that is opened again too soon is told
// nothing of what it missed, and a configuration is in force seconds late. A
// listing after each cut, and a step forward for an answer without a change only
// to where the one before it ended, leave no gap: what is between two revisions was
// told, is asked for again, or is listed. Without any step forward a prefix at rest
// would be listed again each time that the store forgets the revision, by all
// processes at once.
func (f *Follower) watch(rev Revision) (Revision, bool) {
	items, next, err := f.store.Watch(f.ctx, f.what.Prefix, rev, f.what.wait())
	switch {
	case errorx.IsOfType(err, ErrCompacted):
		f.log.Info("store dropped its history; listing again", zap.Int64("after", int64(rev)))
		return 0, false
	case err != nil:
		f.failed(err)
		return 0, false
	}
	f.answered()
	if len(items) == 0 {
		rev, f.heardTo = max(rev, f.heardTo), next
		return rev, true
	}
	f.heardTo = 0
	f.sink.Changed(items)
	f.sleep(f.what.gap())
	return max(rev, next), true
}

func (f *Follower) answered() {
	if f.lostAt != 0 {
		silent := f.clock.Boot() - f.lostAt
		f.log.Info("store regained", zap.Int64("silentMillis", int64(silent)))
		f.sink.StoreRecovered(silent)
	}
	f.lostAt, f.pause = 0, 0
}

// failed notes a call without an answer and waits before the next one.
func (f *Follower) failed(err error) {
	if f.ctx.Err() != nil {
		return
	}
	if f.lostAt == 0 {
		f.lostAt = f.clock.Boot()
		f.log.Warn("store lost", zap.Error(err))
	}
	f.pause = min(max(2*f.pause, firstPause), mostPause)
	f.sleep(f.pause/2 + burdockclock.Millis(rand.Int64N(int64(f.pause/2)+1)))
}

// sleep waits for d or until the follower is closed.
func (f *Follower) sleep(d burdockclock.Millis) {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.ctx.Done():
	}
}
