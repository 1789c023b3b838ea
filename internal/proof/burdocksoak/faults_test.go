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
	faultLeast = 300 * time.Millisecond
	faultMost  = 6 * time.Second
	pauseMost  = 1500 * time.Millisecond
	// togetherMost is how many faults may be in force beside each other.
	togetherMost = 3
	stopTimeout  = 90 * time.Second
	firstQueued  = 300
)

// faults injects faults one after another; up to three overlap.
type faults struct {
	t      *testing.T
	fleet  *burdockprograms.Fleet
	random *rand.Rand
	counts map[string]int
	edits  int
	// busy holds the processes and links that a fault is in force on.
	busy map[any]bool
	undo []ongoing
}

// ongoing is a fault that is in force.
type ongoing struct {
	ends time.Time
	undo func()
}

func newFaults(t *testing.T, f *burdockprograms.Fleet, random *rand.Rand) *faults {
	return &faults{t: t, fleet: f, random: random, counts: map[string]int{}, busy: map[any]bool{}}
}

// inject injects faults for a while.
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
		{"linkSilent", func() bool { return f.link(burdockstandin.LinkSilent) }},
		{"linkDark", func() bool { return f.link(burdockstandin.LinkDark) }},
		{"linkCut", func() bool { return f.link(burdockstandin.LinkCut) }},
		{"storeDown", func() bool { return f.store(burdockfault.Setting{Mode: burdockfault.Down}) }},
		{"storeSilent", func() bool { return f.store(burdockfault.Setting{Mode: burdockfault.Silent}) }},
		{"storeSlow", func() bool { return f.store(burdockfault.Setting{DelayMillis: burdockclock.Second}) }},
		{"storeLosesAnswers", func() bool { return f.store(burdockfault.Setting{Mode: burdockfault.LostAnswer, Only: "PUT"}) }},
		{"profileEdited", f.edit},
	}
	end := time.Now().Add(d)
	for time.Now().Before(end) {
		k := kinds[f.random.IntN(len(kinds))]
		if len(f.undo) < togetherMost && k.fn() {
			f.counts[k.name]++
		}
		time.Sleep(time.Duration(f.random.Int64N(int64(pauseMost))))
		f.end(time.Now())
	}
}

// heal ends all faults.
func (f *faults) heal() { f.end(time.Now().Add(time.Hour)) }

func (f *faults) end(now time.Time) {
	var rest []ongoing
	for _, o := range f.undo {
		if o.ends.After(now) {
			rest = append(rest, o)
			continue
		}
		o.undo()
	}
	f.undo = rest
}

// begin records a fault on something, to be undone after a random time.
func (f *faults) begin(on any, undo func()) bool {
	f.busy[on] = true
	length := faultLeast + time.Duration(f.random.Int64N(int64(faultMost-faultLeast)))
	f.undo = append(f.undo, ongoing{ends: time.Now().Add(length), undo: func() {
		undo()
		delete(f.busy, on)
	}})
	return true
}

// agent returns an agent that no fault is in force on. One stays untouched, so
// that callers can be served at all times.
func (f *faults) agent() *burdockprograms.Agent {
	a := f.fleet.Agents[1+f.random.IntN(len(f.fleet.Agents)-1)]
	if f.busy[a] {
		return nil
	}
	return a
}

// entry returns the second entry, unless a fault is in force on it.
func (f *faults) entry() *burdockprograms.Entry {
	e := f.fleet.Entries[1]
	if f.busy[e] {
		return nil
	}
	return e
}

func (f *faults) killAgent() bool {
	a := f.agent()
	if a == nil {
		return false
	}
	a.Kill()
	return f.begin(a, func() { f.fleet.StartAgent(f.t, a) })
}

func (f *faults) freezeAgent() bool {
	a := f.agent()
	if a == nil {
		return false
	}
	a.Freeze()
	return f.begin(a, a.Thaw)
}

func (f *faults) stopAgent() bool {
	a := f.agent()
	if a == nil {
		return false
	}
	a.Terminate()
	return f.begin(a, func() {
		if got, want := a.Wait(f.t, stopTimeout), 0; got != want {
			f.t.Errorf("%s: exit status of the planned stop: got %d, want %d", a.Name, got, want)
		}
		f.fleet.StartAgent(f.t, a)
	})
}

func (f *faults) killEntry() bool {
	e := f.entry()
	if e == nil {
		return false
	}
	e.Kill()
	return f.begin(e, func() { f.fleet.StartEntry(f.t, e) })
}

func (f *faults) freezeEntry() bool {
	e := f.entry()
	if e == nil {
		return false
	}
	e.Freeze()
	return f.begin(e, e.Thaw)
}

func (f *faults) stopEntry() bool {
	e := f.entry()
	if e == nil {
		return false
	}
	e.Terminate()
	return f.begin(e, func() {
		if got, want := e.Wait(f.t, stopTimeout), 0; got != want {
			f.t.Errorf("%s: exit status of the planned stop: got %d, want %d", e.Name, got, want)
		}
		f.fleet.StartEntry(f.t, e)
	})
}

func (f *faults) link(mode burdockstandin.LinkMode) bool {
	a := f.fleet.Agents[f.random.IntN(len(f.fleet.Agents))]
	if f.busy[a.Link] {
		return false
	}
	a.Link.Set(f.t, mode)
	return f.begin(a.Link, func() { a.Link.Set(f.t, burdockstandin.LinkOpen) })
}

func (f *faults) store(setting burdockfault.Setting) bool {
	if f.busy[f.fleet.Store] {
		return false
	}
	f.fleet.Store.SetFault(f.t, setting)
	return f.begin(f.fleet.Store, func() { f.fleet.Store.SetFault(f.t, burdockfault.Setting{}) })
}

// edit has an operator apply a profile that differs from the one before.
func (f *faults) edit() bool {
	if f.busy[f.fleet.Store] {
		return false
	}
	f.edits++
	f.fleet.ApplyProfile(f.t, f.fleet.ProfileTOML(firstQueued+f.edits))
	return true
}
