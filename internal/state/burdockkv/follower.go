package burdockkv

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"
)

const (
	// watchWait is how long one watch waits at most, and the value used if it is not known
	// how long the store keeps its history. A long wait saves calls; the transport's own
	// probes detect a dead connection well before.
	watchWait = 25 * burdockclock.Second
	// historyFraction limits a watch's wait to this part of the time for which the store
	// keeps its history, because the next watch starts at a revision of that age.
	historyFraction = 0.8
	// minWatchDelay is the time after a change before the next watch, and maxWatchDelay the
	// maximum to which it grows while changes follow each other. When all upstreams of a
	// site register at its start, or configurations follow each other quickly, each process
	// would otherwise make one call for each change. A single change is reported at once;
	// one that follows it waits for less than half of the two seconds within which it has
	// to be in force.
	minWatchDelay burdockclock.Millis = 300
	maxWatchDelay burdockclock.Millis = 800
	// watchDelayGrowth is the factor between two delays.
	watchDelayGrowth = 1.5
	// restoreSpread is the time over which the processes of a fleet list again after the
	// store was restored. All of them notice it at the same moment.
	restoreSpread burdockclock.Millis = 500
	// minRetryPause and maxRetryPause bound the wait after a failed call. It doubles with
	// each failure, and half of it is random; otherwise all processes would call a store
	// that returns at the same instant. The maximum leaves one of the two seconds within
	// which a configuration has to be in force.
	minRetryPause burdockclock.Millis = 100
	maxRetryPause burdockclock.Millis = 800
)

// Sink receives what a Follower or a Poller reads. Calls don't overlap.
type Sink interface {
	// Listed reports all existing keys.
	Listed(items []Item)
	// Changed reports changes in their order.
	Changed(items []Item)
	// StoreRecovered reports that the store answers again, after an outage of this length.
	StoreRecovered(outage burdockclock.Millis)
	// StoreRestored reports that the store was restored from an older copy. The next call
	// is Listed with what that copy holds by then. Records that were written or deleted
	// since the copy was made may be missing or back.
	StoreRestored()
}

// WatchOptions configures what a Follower watches, and how.
type WatchOptions struct {
	// Prefix is the prefix of the keys.
	Prefix string
	// History is how long the store keeps its history; 0 if unknown.
	History burdockclock.Millis
	// Delay, if set, is the time after a change before the next watch.
	Delay burdockclock.Millis
	// CheckInterval, if set, is how often the store is asked whether it still serves a
	// watch that waits.
	CheckInterval burdockclock.Millis
	// Urgent, if set, reports that something waits for changes. The time after a change
	// then does not grow.
	Urgent func() bool
}

// wait returns how long one watch waits.
func (w WatchOptions) wait() burdockclock.Millis {
	if w.History <= 0 {
		return watchWait
	}
	return min(burdockclock.Millis(historyFraction*float64(w.History)), watchWait)
}

// Route sends the keys under a prefix to a sink.
type Route struct {
	Prefix string
	Sink   Sink
	// NeedsLatest means that the first listing must not be stale either, because decisions
	// by these keys are final.
	NeedsLatest bool
}

func (r Route) read(usual Read) Read {
	if r.NeedsLatest {
		return ReadLatest
	}
	return usual
}

// Follower keeps sinks up to date with the keys under their prefixes. It lists the keys
// once, then watches them, and lists again whenever a watch fails.
type Follower struct {
	store   Store
	options WatchOptions
	routes  []Route
	clock   burdockclock.Clock
	log     *zap.Logger

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup

	// idlePosition is the position returned by the latest watch if it had no change, else
	// the zero position.
	idlePosition     Position
	unavailableSince burdockclock.Millis // boot time; 0 while the store answers
	retryPause       burdockclock.Millis
	listed           bool                // at least once
	listedEra        Era                 // of the latest listing
	watchDelay       burdockclock.Millis // after the latest change
}

// NewFollower returns a follower of the keys under options.Prefix that is not yet running.
func NewFollower(store Store, options WatchOptions, sink Sink, clock burdockclock.Clock, log *zap.Logger) *Follower {
	return NewRoutedFollower(store, options, []Route{{Prefix: options.Prefix, Sink: sink}}, clock, log)
}

// NewRoutedFollower returns a follower for several sinks that is not yet running. Their
// prefixes must not overlap, and begin with options.Prefix. It lists one prefix after the
// other, in their order, and watches all of them with one call: a watch for each would
// multiply the calls of a large fleet.
func NewRoutedFollower(store Store, options WatchOptions, routes []Route, clock burdockclock.Clock, log *zap.Logger) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	return &Follower{
		store: store, options: options, routes: routes, clock: clock,
		log: log.With(zap.String("prefix", options.Prefix)), ctx: ctx, cancel: cancel,
	}
}

// Start begins to follow in the background.
func (f *Follower) Start() {
	f.done.Add(1)
	go f.loop()
}

// Close stops following and waits for the background work to end.
func (f *Follower) Close() {
	f.cancel()
	f.done.Wait()
}

func (f *Follower) loop() {
	defer f.done.Done()
	// At first the process knows nothing. What a stale listing lacks is reported by the
	// watch that follows it.
	read := ReadStale
	for f.ctx.Err() == nil {
		at, ok := f.list(read)
		for ok {
			at, ok = f.watch(at)
		}
		read = ReadLatest
	}
}

// list lists all prefixes, and returns the position for the next watch: that of the oldest
// listing.
func (f *Follower) list(read Read) (Position, bool) {
	f.idlePosition = Position{}
	var oldest Position
	for i, route := range f.routes {
		items, at, err := f.store.List(f.ctx, route.Prefix, route.read(read))
		if err == nil && i > 0 && at.Era != oldest.Era {
			err = ErrRestored.New("the store was restored between two listings")
		}
		if err != nil {
			f.backOff(err)
			return Position{}, false
		}
		f.answered()
		if i == 0 || at.Compare(oldest) < 0 {
			oldest = at
		}
		if i == 0 {
			f.noticeEra(at.Era)
		}
		route.Sink.Listed(items)
	}
	return oldest, true
}

// noticeEra tells the sinks if the store was restored since the last listing.
func (f *Follower) noticeEra(era Era) {
	if f.listed && f.listedEra != era {
		f.log.Warn("store was restored from an older copy", zap.Int64("era", int64(era)), zap.Int64("before", int64(f.listedEra)))
		for _, route := range f.routes {
			route.Sink.StoreRestored()
		}
	}
	f.listedEra, f.listed = era, true
}

// watch returns the position for the next watch, and false if the keys must be listed again.
//
// The store may receive no changes for a moment, then cut all watches and drop its history.
// A watch that is reopened too soon misses these changes, and a configuration is in force
// seconds late. Two rules prevent that: the keys are listed after each watch that failed,
// and an answer without changes advances the revision only to that of the previous such
// answer. Each change between two revisions is then received, requested again or listed.
// Without any advance, all processes would list an idle prefix again at the same moment,
// each time the store drops the history after that revision.
func (f *Follower) watch(at Position) (Position, bool) {
	calledAt := f.clock.Boot()
	ctx, stopCheck := f.startCheck(at)
	items, next, err := f.store.Watch(ctx, f.options.Prefix, at, f.options.wait())
	lost, isLost := lostWatch(ctx)
	stopCheck()
	switch {
	case isLost:
		f.watchWasLost(lost)
		return Position{}, false
	case errorx.IsOfType(err, ErrCompacted):
		f.log.Info("store dropped its history; listing again", zap.Int64("after", int64(at.Revision)))
		return Position{}, false
	case errorx.IsOfType(err, ErrRestored):
		f.sleep(burdockclock.Millis(rand.Int64N(int64(restoreSpread))))
		return Position{}, false
	case err != nil:
		f.backOff(err)
		return Position{}, false
	}
	f.answered()
	if len(items) == 0 {
		at, f.idlePosition = at.Later(f.idlePosition), next
		return at, true
	}
	f.idlePosition = Position{}
	for _, route := range f.routes {
		if own := underPrefix(items, route.Prefix); len(own) > 0 {
			route.Sink.Changed(own)
		}
	}
	f.sleep(f.nextDelay(f.clock.Boot() - calledAt))
	return at.Later(next), true
}

// startCheck returns the context of a watch, and a function that ends the checks of it.
func (f *Follower) startCheck(at Position) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(f.ctx)
	if f.options.CheckInterval > 0 {
		check := &watchCheck{
			store: f.store, clock: f.clock, interval: f.options.CheckInterval,
			after: at.Later(f.idlePosition), coversAllKeys: f.options.Prefix == "", cancel: cancel,
		}
		go check.run(ctx)
	}
	return ctx, func() { cancel(nil) }
}

func (f *Follower) watchWasLost(lost watchLost) {
	f.log.Warn("store lost a watch; listing again", zap.Int64("silentMillis", int64(lost.outage)))
	if lost.outage == 0 {
		return
	}
	for _, route := range f.routes {
		route.Sink.StoreRecovered(lost.outage)
	}
}

// nextDelay returns the time before the next watch, after one that waited for changes for
// the given time. It grows while changes follow each other.
func (f *Follower) nextDelay(waited burdockclock.Millis) burdockclock.Millis {
	if f.options.Delay > 0 {
		return f.options.Delay
	}
	if waited > f.watchDelay || f.options.Urgent != nil && f.options.Urgent() {
		f.watchDelay = minWatchDelay
	} else {
		f.watchDelay = min(burdockclock.Millis(watchDelayGrowth*float64(f.watchDelay)), maxWatchDelay)
	}
	return f.watchDelay
}

func (f *Follower) answered() {
	if f.unavailableSince != 0 {
		outage := f.clock.Boot() - f.unavailableSince
		f.log.Info("store regained", zap.Int64("silentMillis", int64(outage)))
		for _, route := range f.routes {
			route.Sink.StoreRecovered(outage)
		}
	}
	f.unavailableSince, f.retryPause = 0, 0
}

// backOff records a failed call and waits before the next one.
func (f *Follower) backOff(err error) {
	if f.ctx.Err() != nil {
		return
	}
	if f.unavailableSince == 0 {
		f.unavailableSince = f.clock.Boot()
		f.log.Warn("store lost", zap.Error(err))
	}
	f.retryPause = min(max(2*f.retryPause, minRetryPause), maxRetryPause)
	f.sleep(f.retryPause/2 + burdockclock.Millis(rand.Int64N(int64(f.retryPause/2)+1)))
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

func underPrefix(items []Item, prefix string) []Item {
	var own []Item
	for _, item := range items {
		if strings.HasPrefix(item.Key, prefix) {
			own = append(own, item)
		}
	}
	return own
}
