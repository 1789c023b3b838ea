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
	// prefixSpeed is that of the keys that tell which engines are slow.
	prefixSpeed = prefixNews + "speed/"
	// speedTTL is how long a slow engine is believed to be slow after its agent
	// has died: about as long as slowness lasts.
	speedTTL = 8 * burdockclock.Second
	// speedRenew leaves room for two lost renewals.
	speedRenew = speedTTL / 3
	// speedAgain is the wait after a call that failed.
	speedAgain = burdockclock.Second / 2
)

// speedRecord is what an agent writes of its engine while that is slow.
type speedRecord struct {
	Upstream string             `json:"upstream"` // IP:port
	Speed    burdockspeed.Speed `json:"speed"`    // 1 is usual
}

// announcer tells the entries, through the store, that the engine beside this
// agent is slow, so that they place requests elsewhere.
//
// Load: some of hundreds of engines slow at a time. Harm prevented: a record by
// each engine, read by each entry, when all is well; only a slow engine has one,
// and it is gone when the engine is sound again. It is under a lease: an agent
// that dies meanwhile leaves no record behind that nobody takes back.
type announcer struct {
	store   burdockkv.Store
	replica string
	own     *ownSpeed
	log     *zap.Logger

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup

	// of the loop alone
	lease burdockkv.LeaseID  // 0 while nothing is told
	told  burdockspeed.Speed // under the lease
}

func newAnnouncer(store burdockkv.Store, replica string, own *ownSpeed, log *zap.Logger) *announcer {
	ctx, cancel := context.WithCancel(context.Background())
	return &announcer{store: store, replica: replica, own: own, log: log, ctx: ctx, cancel: cancel, told: burdockspeed.Baseline}
}

func (a *announcer) start() {
	a.done.Add(1)
	go a.loop()
}

// close ends the loop and takes the record back; should that fail, it lapses.
func (a *announcer) close() {
	a.cancel()
	a.done.Wait()
	if a.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), speedAgain.Duration())
	defer cancel()
	if err := a.store.Revoke(ctx, a.lease); err != nil {
		a.log.Info("the record of a slow engine was not taken back and will lapse", zap.Error(err))
	}
}

func (a *announcer) loop() {
	defer a.done.Done()
	for {
		wait, err := a.tell()
		if err != nil {
			a.log.Warn("the engine's speed was not told", zap.Error(err))
			wait = speedAgain
		}
		if !a.rest(wait) {
			return
		}
	}
}

// rest waits for a change or for d, 0 standing for no end. It reports false at
// the end.
func (a *announcer) rest(d burdockclock.Millis) bool {
	var due <-chan time.Time
	if d > 0 {
		timer := time.NewTimer(d.Duration())
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-a.own.changed:
	case <-due:
	case <-a.ctx.Done():
		return false
	}
	return true
}

// tell brings the record in line with the speed, and returns how long it stands.
func (a *announcer) tell() (burdockclock.Millis, error) {
	speed := a.own.now()
	switch {
	case !burdockspeed.IsSlow(speed):
		return 0, a.takeBack()
	case a.lease != 0 && !burdockspeed.SignificantChange(a.told, speed):
		return speedRenew, a.renew()
	}
	return speedRenew, a.write(speed)
}

func (a *announcer) takeBack() error {
	if a.lease == 0 {
		return nil
	}
	if err := a.store.Revoke(a.ctx, a.lease); err != nil && !errorx.IsOfType(err, burdockkv.ErrNotFound) {
		return err
	}
	a.lease, a.told = 0, burdockspeed.Baseline
	return nil
}

// renew keeps the record. A lease that has ended took the record with it.
func (a *announcer) renew() error {
	err := a.store.Renew(a.ctx, a.lease)
	if errorx.IsOfType(err, burdockkv.ErrNotFound) {
		a.lease = 0
	}
	return err
}

func (a *announcer) write(speed burdockspeed.Speed) error {
	if a.lease == 0 {
		lease, err := a.store.Grant(a.ctx, speedTTL)
		if err != nil {
			return err
		}
		a.lease = lease
	}
	value, err := json.Marshal(speedRecord{Upstream: a.replica, Speed: speed})
	if err != nil {
		return err
	}
	_, err = a.store.Write(a.ctx, nil, []burdockkv.Put{{Key: prefixSpeed + a.replica, Value: value, Lease: a.lease}})
	if errorx.IsOfType(err, burdockkv.ErrNotFound) {
		a.lease = 0
	}
	if err == nil {
		a.told = speed
	}
	return err
}
