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

// listInterval is the mean interval between reads of the platform's membership list.
// The list lags by half a minute, so reading it more often gains little; 350 entries
// read it 35 times a second in total.
const listInterval = 10 * burdockclock.Second

// membershipWatcher polls the platform's membership list.
type membershipWatcher struct {
	entry  *Entry
	states map[burdockid.VM]burdocklist.State
}

func (w *membershipWatcher) loop() {
	defer w.entry.wg.Done()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for {
		pause := listInterval/2 + rand.N(listInterval)
		select {
		case <-w.entry.stop:
			return
		case <-time.After(pause.Duration()):
			w.poll(ctx)
		}
	}
}

// poll marks the upstreams of VMs that were live at the previous poll and no longer
// are. States that have not changed are ignored, because agents report them sooner.
func (w *membershipWatcher) poll(ctx context.Context) {
	vms, err := w.entry.deps.Membership.VMs(ctx)
	if err != nil {
		w.entry.deps.Log.Debug("membership list could not be read", zap.Error(err))
		return
	}
	for _, vm := range vms {
		previous, known := w.states[vm.Name]
		w.states[vm.Name] = vm.State
		if known && previous == burdocklist.Live && vm.State != burdocklist.Live {
			w.markLeaving(vm.Name)
		}
	}
}

func (w *membershipWatcher) markLeaving(vm burdockid.VM) {
	fleet := w.entry.deps.Fleet.Now()
	for _, u := range fleet.Upstreams {
		if u.VM == vm {
			w.entry.pool(fleet, u.Service).markLeavingFromList(w.entry.deps.Clock.Boot(), u.Name)
		}
	}
}
