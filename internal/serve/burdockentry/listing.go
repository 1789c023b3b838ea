package burdockentry

import (
	"context"
	"math/rand/v2"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/external/burdocklist"
	"go.uber.org/zap"
)

// listEvery is how often an entry reads the platform's membership list. The
// list lags by half a minute, so more often gains little; 350 entries read it
// 35 times a second in all.
const listEvery = 10 * burdockclock.Second

// listing follows the platform's membership list.
type listing struct {
	entry  *Entry
	states map[burdockid.VM]burdocklist.State
}

func (l *listing) loop() {
	defer l.entry.done.Done()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for {
		pause := listEvery/2 + rand.N(listEvery)
		select {
		case <-l.entry.stop:
			return
		case <-time.After(pause.Duration()):
			l.read(ctx)
		}
	}
}

// read acts on what changed since the last reading. What the list has shown
// all along is old news, which agents know better.
func (l *listing) read(ctx context.Context) {
	vms, err := l.entry.deps.Membership.VMs(ctx)
	if err != nil {
		l.entry.deps.Log.Debug("membership list not read", zap.Error(err))
		return
	}
	for _, vm := range vms {
		before, known := l.states[vm.Name]
		l.states[vm.Name] = vm.State
		if known && before == burdocklist.Live && vm.State != burdocklist.Live {
			l.leave(vm.Name)
		}
	}
}

func (l *listing) leave(vm burdockid.VM) {
	fleet := l.entry.deps.Fleet.Now()
	for _, u := range fleet.Upstreams {
		if u.VM == vm {
			l.entry.pool(fleet, u.Service).listedLeaving(l.entry.deps.Clock.Boot(), u.Name)
		}
	}
}
