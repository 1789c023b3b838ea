package burdockhosted

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/decide/burdockspeed"
	"burdockbend.example/burdockbend/internal/state/burdockkv"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"
)

const (
	// prefixSpeed is the prefix of the keys that report slow engines.
	prefixSpeed = prefixNotifications + "speed/"
	// speedTTL is how long an engine still counts as slow after its agent has died: about
	// as long as a slow phase lasts.
	speedTTL = 8 * burdockclock.Second
	// speedRenewInterval allows for two lost renewals.
	speedRenewInterval = speedTTL / 3
	// speedRetryDelay is the delay after a failed call to the store.
	speedRetryDelay = burdockclock.Second / 2
)

// speedRecord is what an agent writes while its engine is slow.
type speedRecord struct {
	Upstream string             `json:"upstream"` // IP:port
	Speed    burdockspeed.Speed `json:"speed"`    // 1 is the baseline
}

// speedPublisher notifies the entries, through the store, that this agent's engine is
// slow, so that they place requests elsewhere.
//
// Of hundreds of engines only a few are slow at a time. A record for every engine would
// have to be read by every entry although all is well, so only slow engines have one. The
// record is deleted when the engine has recovered. It is attached to a lease, so that it
// expires if the agent dies before that.
type speedPublisher struct {
	store       burdockkv.Store
	upstream    string
	engineSpeed *engineSpeed
	log         *zap.Logger

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup

	// used by the loop only, and by close after its end
	lease     burdockkv.LeaseID  // zero while no record is published
	published burdockspeed.Speed // speed in the record; Baseline if there is none
}

func newSpeedPublisher(store burdockkv.Store, upstream string, engineSpeed *engineSpeed, log *zap.Logger) *speedPublisher {
	ctx, cancel := context.WithCancel(context.Background())
	return &speedPublisher{store: store, upstream: upstream, engineSpeed: engineSpeed, log: log, ctx: ctx, cancel: cancel, published: burdockspeed.Baseline}
}

func (p *speedPublisher) start() {
	p.done.Add(1)
	go p.loop()
}

// close ends the loop and deletes the record. If that fails, the record expires.
func (p *speedPublisher) close() {
	p.cancel()
	p.done.Wait()
	if p.lease.IsZero() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), speedRetryDelay.Duration())
	defer cancel()
	if err := p.store.Revoke(ctx, p.lease); err != nil {
		p.log.Info("failed to delete the speed record; it will expire", zap.Error(err))
	}
}

func (p *speedPublisher) loop() {
	defer p.done.Done()
	for {
		wait, err := p.update()
		if err != nil {
			p.log.Warn("the engine's speed was not told", zap.Error(err))
			wait = speedRetryDelay
		}
		if !p.waitForChange(wait) {
			return
		}
	}
}

// waitForChange waits until the speed changes or d has passed; 0 means no timeout. It
// returns false when the publisher is closed.
func (p *speedPublisher) waitForChange(d burdockclock.Millis) bool {
	var due <-chan time.Time
	if d > 0 {
		timer := time.NewTimer(d.Duration())
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-p.engineSpeed.changed:
	case <-due:
	case <-p.ctx.Done():
		return false
	}
	return true
}

// update writes, renews or deletes the record according to the speed, and returns the
// time until the next renewal; 0 if none is due.
func (p *speedPublisher) update() (burdockclock.Millis, error) {
	speed := p.engineSpeed.current()
	switch {
	case !burdockspeed.IsSlow(speed):
		return 0, p.withdraw()
	case !p.lease.IsZero() && !burdockspeed.SignificantChange(p.published, speed):
		return speedRenewInterval, p.renew()
	}
	return speedRenewInterval, p.write(speed)
}

func (p *speedPublisher) withdraw() error {
	if p.lease.IsZero() {
		return nil
	}
	if err := p.store.Revoke(p.ctx, p.lease); err != nil && !errorx.IsOfType(err, burdockkv.ErrNotFound) {
		return err
	}
	p.lease, p.published = burdockkv.LeaseID{}, burdockspeed.Baseline
	return nil
}

// renew keeps the record. If the lease has ended, the record is gone with it, and the
// next update writes a new one.
func (p *speedPublisher) renew() error {
	err := p.store.Renew(p.ctx, p.lease)
	if errorx.IsOfType(err, burdockkv.ErrNotFound) {
		p.lease = burdockkv.LeaseID{}
	}
	return err
}

func (p *speedPublisher) write(speed burdockspeed.Speed) error {
	if p.lease.IsZero() {
		lease, err := p.store.Grant(p.ctx, speedTTL)
		if err != nil {
			return err
		}
		p.lease = lease
	}
	value, err := json.Marshal(speedRecord{Upstream: p.upstream, Speed: speed})
	if err != nil {
		return err
	}
	_, err = p.store.Write(p.ctx, nil, []burdockkv.Put{{Key: prefixSpeed + p.upstream, Value: value, Lease: p.lease}})
	if errorx.IsOfType(err, burdockkv.ErrNotFound) {
		p.lease = burdockkv.LeaseID{}
	}
	if err == nil {
		p.published = speed
	}
	return err
}
