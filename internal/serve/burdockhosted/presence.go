package burdockhosted

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdocksharedrate"
	"burdockbend.example/burdockbend/internal/serve/burdockdirect"
	"burdockbend.example/burdockbend/internal/state/burdockkv"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"
)

const (
	// prefixEntry is the prefix of the keys that name the running entries, by VM.
	prefixEntry = prefixSystem + "entry/"
	// presenceTTL is how long an entry that died still counts. Until then the others use a
	// little less of the shared rates than they could.
	presenceTTL = 10 * burdockclock.Minute
	// presenceRenewInterval is the mean time between two renewals.
	presenceRenewInterval = 4 * burdockclock.Minute
	// presenceCheckInterval is how often an entry checks whether it needs a record. The
	// check makes no call to the store.
	presenceCheckInterval = burdockclock.Second
)

// presence tells the other entries that this one exists, so that each knows its part of
// the rates that entries share.
//
// Only sites with cold upstreams have such rates, and those whose upstreams name a rate
// limit. On others, hundreds of entries would write and read records that nobody needs.
type presence struct {
	store  burdockkv.Store
	vm     burdockid.VM
	needed func() bool
	clock  burdockclock.Clock
	log    *zap.Logger

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
	wake   chan struct{} // holds one signal
	// announced is set before the first write of the record by this process.
	announced atomic.Bool

	// used by the loop only
	lease     burdockkv.LeaseID // zero while there is no record
	renewedAt burdockclock.Millis
}

func newPresence(store burdockkv.Store, vm burdockid.VM, needed func() bool, clock burdockclock.Clock, log *zap.Logger) *presence {
	ctx, cancel := context.WithCancel(context.Background())
	return &presence{store: store, vm: vm, needed: needed, clock: clock, log: log, ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1)}
}

// hasColdRate reports whether any service limits the requests to cold upstreams.
func hasColdRate(snap *burdocksite.Snapshot) bool {
	if snap.Config == nil {
		return false
	}
	for _, s := range snap.Config.Services {
		if s.ColdRate > 0 {
			return true
		}
	}
	return false
}

func (p *presence) start() {
	p.done.Add(1)
	go p.loop()
}

// close ends the loop. The record expires: an entry that stops usually starts again.
func (p *presence) close() {
	p.cancel()
	p.done.Wait()
}

func (p *presence) loop() {
	defer p.done.Done()
	for p.ctx.Err() == nil {
		if err := p.update(); err != nil && p.ctx.Err() == nil {
			p.log.Info("failed to write this entry's record", zap.Error(err))
		}
		p.sleep()
	}
}

// sleep waits until the next check is due, or checkNow is called.
func (p *presence) sleep() {
	jitter := burdockclock.Millis(rand.Int64N(int64(presenceCheckInterval)))
	timer := time.NewTimer((presenceCheckInterval + jitter).Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.wake:
	case <-p.ctx.Done():
	}
}

// checkNow makes the loop check at once whether a record is needed. It does not block.
func (p *presence) checkNow() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// update writes or renews the record if that is due.
func (p *presence) update() error {
	now := p.clock.Boot()
	switch {
	case !p.needed():
		return nil
	case !p.lease.IsZero() && p.lease.Era == p.store.Era() && now-p.renewedAt < presenceRenewInterval:
		return nil
	case p.lease.IsZero() || p.lease.Era != p.store.Era():
		return p.write(now)
	}
	err := p.store.Renew(p.ctx, p.lease)
	if errorx.IsOfType(err, burdockkv.ErrNotFound) {
		return p.write(now)
	}
	if err == nil {
		p.renewedAt = now
	}
	return err
}

func (p *presence) write(now burdockclock.Millis) error {
	lease, err := p.store.Grant(p.ctx, presenceTTL)
	if err != nil {
		return err
	}
	p.announced.Store(true)
	if _, err := p.store.Write(p.ctx, nil, []burdockkv.Put{{Key: prefixEntry + string(p.vm), Value: []byte("{}"), Lease: lease}}); err != nil {
		return err
	}
	p.lease, p.renewedAt = lease, now
	return nil
}

// newEntriesReader returns a mirror of the entries' records that tells an entry of them.
func newEntriesReader(entry *burdockdirect.Entry, p *presence) *burdockkv.Mirror {
	mirror := burdockkv.NewMirror()
	mirror.Subscribe(func() { entry.SetEntries(p.listing(mirror.Items())) })
	return mirror
}

// listing returns the entries that have a record. The record of this entry was written by an
// earlier process if this one has not written it yet, or not as the first.
func (p *presence) listing(items []burdockkv.Item) burdocksharedrate.Listing {
	l := burdocksharedrate.Listing{Self: p.vm}
	for _, item := range items {
		vm := burdockid.VM(strings.TrimPrefix(item.Key, prefixEntry))
		l.All = append(l.All, vm)
		if vm == p.vm {
			l.Known = !p.announced.Load() || item.Created != item.Modified
		}
	}
	return l
}
