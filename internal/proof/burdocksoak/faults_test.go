package burdocksoak

import (
	"math/rand/v2"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/proof/burdockprograms"
	"burdockbend.example/burdockbend/internal/standin/burdockfault"
	"burdockbend.example/burdockbend/internal/standin/burdockstandin"
)

const (
	minFaultTime = 300 * time.Millisecond
	maxFaultTime = 6 * time.Second
	maxPause     = 1500 * time.Millisecond
	// maxActiveFaults is the maximum number of faults that are active at the same time.
	maxActiveFaults = 3
	stopTimeout     = 90 * time.Second
	baseMaxQueued   = 300
)

// faults injects random faults, up to three at the same time.
type faults struct {
	t      *testing.T
	fleet  *burdockprograms.Fleet
	random *rand.Rand
	counts map[string]int
	edits  int
	// busy holds the processes and links that have an active fault.
	busy   map[any]bool
	active []activeFault
}

// activeFault is an injected fault that is to be undone at the time ends.
type activeFault struct {
	ends time.Time
	undo func()
}

func newFaults(t *testing.T, f *burdockprograms.Fleet, random *rand.Rand) *faults {
	return &faults{t: t, fleet: f, random: random, counts: map[string]int{}, busy: map[any]bool{}}
}

// inject injects faults for the duration d.
func (f *faults) inject(d time.Duration) {
	kinds := []struct {
		name string
		fn   func() bool
	}{
		{"agentKilled", f.killAgent},
		{"agentFrozen", f.freezeAgent},
		{"agentStopped", f.stopAgent},
		{"entryKilled", f.killEntry},
		{"entryFrozen", f.freezeEntry},
		{"entryStopped", f.stopEntry},
		{"linkSilent", func() bool { return f.setLinkMode(burdockstandin.LinkSilent) }},
		{"linkDark", func() bool { return f.setLinkMode(burdockstandin.LinkDark) }},
		{"linkCut", func() bool { return f.setLinkMode(burdockstandin.LinkCut) }},
		{"storeDown", func() bool { return f.setStoreFault(burdockfault.Setting{Mode: burdockfault.Down}) }},
		{"storeSilent", func() bool { return f.setStoreFault(burdockfault.Setting{Mode: burdockfault.Silent}) }},
		{"storeSlow", func() bool { return f.setStoreFault(burdockfault.Setting{DelayMillis: burdockclock.Second}) }},
		{"storeLosesAnswers", func() bool { return f.setStoreFault(burdockfault.Setting{Mode: burdockfault.LostAnswer, Only: "PUT"}) }},
		{"profileEdited", f.editProfile},
	}
	end := time.Now().Add(d)
	for time.Now().Before(end) {
		k := kinds[f.random.IntN(len(kinds))]
		if len(f.active) < maxActiveFaults && k.fn() {
			f.counts[k.name]++
		}
		time.Sleep(time.Duration(f.random.Int64N(int64(maxPause))))
		f.undoExpired(time.Now())
	}
}

// undoAll undoes all active faults.
func (f *faults) undoAll() { f.undoExpired(time.Now().Add(time.Hour)) }

func (f *faults) undoExpired(now time.Time) {
	var remaining []activeFault
	for _, fault := range f.active {
		if fault.ends.After(now) {
			remaining = append(remaining, fault)
			continue
		}
		fault.undo()
	}
	f.active = remaining
}

// recordFault records an active fault of the target, to be undone after a random time.
func (f *faults) recordFault(target any, undo func()) bool {
	f.busy[target] = true
	length := minFaultTime + time.Duration(f.random.Int64N(int64(maxFaultTime-minFaultTime)))
	f.active = append(f.active, activeFault{ends: time.Now().Add(length), undo: func() {
		undo()
		delete(f.busy, target)
	}})
	return true
}

// chooseAgent returns a random agent, or nil if it has an active fault. The first agent is
// never chosen, so that callers can be served at all times.
func (f *faults) chooseAgent() *burdockprograms.Agent {
	a := f.fleet.Agents[1+f.random.IntN(len(f.fleet.Agents)-1)]
	if f.busy[a] {
		return nil
	}
	return a
}

// chooseEntry returns the second entry, or nil if it has an active fault.
func (f *faults) chooseEntry() *burdockprograms.Entry {
	e := f.fleet.Entries[1]
	if f.busy[e] {
		return nil
	}
	return e
}

func (f *faults) killAgent() bool {
	a := f.chooseAgent()
	if a == nil {
		return false
	}
	a.Kill()
	return f.recordFault(a, func() { f.fleet.StartAgent(f.t, a) })
}

func (f *faults) freezeAgent() bool {
	a := f.chooseAgent()
	if a == nil {
		return false
	}
	a.Freeze()
	return f.recordFault(a, a.Thaw)
}

func (f *faults) stopAgent() bool {
	a := f.chooseAgent()
	if a == nil {
		return false
	}
	a.Terminate()
	return f.recordFault(a, func() {
		if got, want := a.Wait(f.t, stopTimeout), 0; got != want {
			f.t.Errorf("%s: exit status of the planned stop: got %d, want %d", a.Name, got, want)
		}
		f.fleet.StartAgent(f.t, a)
	})
}

func (f *faults) killEntry() bool {
	e := f.chooseEntry()
	if e == nil {
		return false
	}
	e.Kill()
	return f.recordFault(e, func() { f.fleet.StartEntry(f.t, e) })
}

func (f *faults) freezeEntry() bool {
	e := f.chooseEntry()
	if e == nil {
		return false
	}
	e.Freeze()
	return f.recordFault(e, e.Thaw)
}

func (f *faults) stopEntry() bool {
	e := f.chooseEntry()
	if e == nil {
		return false
	}
	e.Terminate()
	return f.recordFault(e, func() {
		if got, want := e.Wait(f.t, stopTimeout), 0; got != want {
			f.t.Errorf("%s: exit status of the planned stop: got %d, want %d", e.Name, got, want)
		}
		f.fleet.StartEntry(f.t, e)
	})
}

func (f *faults) setLinkMode(mode burdockstandin.LinkMode) bool {
	a := f.fleet.Agents[f.random.IntN(len(f.fleet.Agents))]
	if f.busy[a.Link] {
		return false
	}
	a.Link.Set(f.t, mode)
	return f.recordFault(a.Link, func() { a.Link.Set(f.t, burdockstandin.LinkOpen) })
}

func (f *faults) setStoreFault(setting burdockfault.Setting) bool {
	if f.busy[f.fleet.Store] {
		return false
	}
	f.fleet.Store.SetFault(f.t, setting)
	return f.recordFault(f.fleet.Store, func() { f.fleet.Store.SetFault(f.t, burdockfault.Setting{}) })
}

// editProfile applies a profile that differs from the previous one, as an operator does.
func (f *faults) editProfile() bool {
	if f.busy[f.fleet.Store] {
		return false
	}
	f.edits++
	f.fleet.ApplyProfile(f.t, f.fleet.ProfileTOML(baseMaxQueued+f.edits))
	return true
}
