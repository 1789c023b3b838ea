// Package burdockconfigproof brings about the failures that the promise on
// configuration is made for, on the built programs as separate processes: in
// force everywhere within seconds, and never back.
package burdockconfigproof

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/proof/burdockprograms"
	"burdockbend.example/burdockbend/internal/standin/burdockfault"
)

func TestMain(m *testing.M) {
	status := m.Run()
	burdockprograms.CleanUp()
	os.Exit(status)
}

func startFleet(t *testing.T, models, entries int) *burdockprograms.Fleet {
	t.Helper()
	return burdockprograms.Start(t, burdockprograms.Config{
		Models: models, Entries: entries, Slots: 8, Step: time.Millisecond, Prefill: time.Millisecond,
	})
}

// profileFile writes a profile file of a test's own.
func profileFile(t *testing.T, f *burdockprograms.Fleet, maxQueued int) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "profile.toml")
	if err := os.WriteFile(path, []byte(f.ProfileTOML(maxQueued)), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// applying is one operator's apply.
type applying struct {
	fleet  *burdockprograms.Fleet
	args   []string
	out    string
	status int
}

func newApplying(f *burdockprograms.Fleet, file string, flags ...string) *applying {
	args := append([]string{"profile", "apply", "-store", f.Store.Address}, flags...)
	return &applying{fleet: f, args: append(args, file)}
}

func (a *applying) run() { a.out, a.status = a.fleet.TryOperate(a.args...) }

// held is what a process holds of the profile.
type held struct {
	Version int
	Mark    string
	Deleted bool
}

const profileKey = "profile/bench"

// heldAt returns what the process at an operators' address holds of a key.
func heldAt(admin, key string) (held, bool) {
	var dump struct {
		Versions map[string]held
	}
	if !burdockprograms.GetJSON("http://"+admin+"/state", &dump) {
		return held{}, false
	}
	h, ok := dump.Versions[key]
	return h, ok
}

// waitVersion waits until a process has a version of the profile in force.
func waitVersion(t *testing.T, admin string, want int) {
	t.Helper()
	burdockprograms.Eventually(t, fmt.Sprintf("%s has version %d of the profile", admin, want), func() bool {
		h, _ := heldAt(admin, profileKey)
		return h.Version == want
	})
}

// admins returns the operators' addresses of all processes.
func admins(f *burdockprograms.Fleet) []string {
	var all []string
	for _, e := range f.Entries {
		all = append(all, e.Admin)
	}
	for _, a := range f.Agents {
		all = append(all, a.Admin)
	}
	return all
}

func waitVersionEverywhere(t *testing.T, f *burdockprograms.Fleet, want int) {
	t.Helper()
	for _, admin := range admins(f) {
		waitVersion(t, admin, want)
	}
}

// wantOutput checks what a command printed and how it ended.
func wantOutput(t *testing.T, a *applying, status int, parts ...string) {
	t.Helper()
	if a.status != status {
		t.Errorf("exit status: got %d, want %d\n%s", a.status, status, a.out)
	}
	for _, part := range parts {
		if !strings.Contains(a.out, part) {
			t.Errorf("output: got %q, want it to hold %q", a.out, part)
		}
	}
}

// together is one of several commands that run at the same time.
type together struct {
	command *applying
	done    *sync.WaitGroup
}

func (r together) run() {
	defer r.done.Done()
	r.command.run()
}

// Two operators apply different edits of one profile at the same moment. The
// store is slow to write, so both have read version 1 before either writes.
// One is told version 2; the other is told that it lost, and which field now
// stands at what. Nothing is overwritten unseen.
func TestOperatorsRace(t *testing.T) {
	f := startFleet(t, 1, 2)
	f.Store.SetFault(t, burdockfault.Setting{DelayMillis: 1500, Only: http.MethodPut})
	both := []*applying{newApplying(f, profileFile(t, f, 77)), newApplying(f, profileFile(t, f, 88))}
	var done sync.WaitGroup
	for _, a := range both {
		done.Add(1)
		go together{a, &done}.run()
	}
	done.Wait()
	f.Store.SetFault(t, burdockfault.Setting{})
	winner, loser, value := both[0], both[1], 77
	if winner.status != 0 {
		winner, loser, value = both[1], both[0], 88
	}
	wantOutput(t, winner, 0, "profile/bench: changed to version 2")
	wantOutput(t, loser, 1, "not applied", "another edit became version 2 first",
		fmt.Sprintf("queue.maxQueued: was 256, is %d", value))
	waitVersionEverywhere(t, f, 2)
}

// An operator edits version 1 and says so; meanwhile another's edit became
// version 2. The first is refused and shown what differs, and nothing changes.
// Without the base the file is put in force, and what it replaced is shown.
func TestEditOfAnOlderBase(t *testing.T) {
	f := startFleet(t, 1, 1)
	f.ApplyProfile(t, f.ProfileTOML(77))
	late := newApplying(f, profileFile(t, f, 88), "-base", "1")
	late.run()
	wantOutput(t, late, 1, "is at version 2 by now, the edit was made on version 1; nothing was changed",
		"queue.maxQueued: in the store 77, in the file 88")
	waitVersionEverywhere(t, f, 2)
	anyBase := newApplying(f, profileFile(t, f, 88))
	anyBase.run()
	wantOutput(t, anyBase, 0, "changed to version 3", "queue.maxQueued: was 77, is 88")
	waitVersionEverywhere(t, f, 3)
}

// faultFor sets a fault and ends it after a while.
type faultFor struct {
	t       *testing.T
	store   *burdockprograms.Standin
	setting burdockfault.Setting
	span    time.Duration
	done    sync.WaitGroup
}

func startFault(t *testing.T, f *burdockprograms.Fleet, setting burdockfault.Setting, span time.Duration) *faultFor {
	t.Helper()
	x := &faultFor{t: t, store: f.Store, setting: setting, span: span}
	x.store.SetFault(t, setting)
	x.done.Add(1)
	go x.run()
	return x
}

func (x *faultFor) run() {
	defer x.done.Done()
	time.Sleep(x.span)
	x.store.SetFault(x.t, burdockfault.Setting{})
}

// The answers of the store to writes are lost for a second and a half: once
// after the write took effect, once before, once with the effect still to
// come. The operator is told that the edit is applied, and the version grows
// by one each time: no try is taken for another operator's.
func TestAnswerOfWriteLost(t *testing.T) {
	f := startFleet(t, 1, 2)
	for i, c := range []struct {
		name    string
		setting burdockfault.Setting
	}{
		{"after the effect", burdockfault.Setting{Mode: burdockfault.LostAnswer, Only: http.MethodPut}},
		{"before the effect", burdockfault.Setting{Mode: burdockfault.Down, Only: http.MethodPut}},
		{"effect comes later", burdockfault.Setting{Mode: burdockfault.LateEffect, DelayMillis: 300, Only: http.MethodPut}},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := startFault(t, f, c.setting, 1500*time.Millisecond)
			a := newApplying(f, profileFile(t, f, 100+i))
			a.run()
			x.done.Wait()
			wantOutput(t, a, 0, fmt.Sprintf("changed to version %d", i+2))
			waitVersionEverywhere(t, f, i+2)
		})
	}
}

// All answers to writes are lost until the operator's command gives up. It
// says that the outcome is unknown, and not that the edit was not applied,
// since it took effect. The same command again finds nothing to change.
func TestOutcomeUnknownIsSaid(t *testing.T) {
	f := startFleet(t, 1, 1)
	f.Store.SetFault(t, burdockfault.Setting{Mode: burdockfault.LateEffect, DelayMillis: 5000, Only: http.MethodPut})
	file := profileFile(t, f, 77)
	a := newApplying(f, file)
	a.run()
	f.Store.SetFault(t, burdockfault.Setting{})
	wantOutput(t, a, 1, "profile/bench: outcome unknown, it may be applied", "1 with unknown outcome")
	if strings.Contains(a.out, "bench: not applied") {
		t.Errorf("output: got %q, want no claim that the edit was not applied", a.out)
	}
	waitVersionEverywhere(t, f, 2)
	again := newApplying(f, file)
	again.run()
	wantOutput(t, again, 0, "nothing to change")
}

// The store is down, then silent, when an operator applies an edit. The
// command ends with status 1 and says that the store gave no answer; the
// processes go on with what they have. When the store is back, the same
// command puts the edit in force.
func TestEditWhileStoreIsOut(t *testing.T) {
	f := startFleet(t, 1, 1)
	file := profileFile(t, f, 77)
	for _, mode := range []burdockfault.Mode{burdockfault.Down, burdockfault.Silent} {
		f.Store.SetFault(t, burdockfault.Setting{Mode: mode})
		a := newApplying(f, file)
		a.run()
		wantOutput(t, a, 1, "read the configuration", "store.unavailable")
	}
	waitVersionEverywhere(t, f, 1)
	f.Store.SetFault(t, burdockfault.Setting{})
	a := newApplying(f, file)
	a.run()
	wantOutput(t, a, 0, "changed to version 2")
	waitVersionEverywhere(t, f, 2)
}

// A file of three profiles is applied and the store stops taking writes after
// it was read. The operator is told of one edit whose outcome is unknown and
// that two were not tried, at once and not after three times the tries. The
// same command again applies all that is left.
func TestApplyPartlyFails(t *testing.T) {
	f := startFleet(t, 1, 1)
	file := profileFile(t, f, 77)
	content := f.ProfileTOML(77)
	for _, name := range []string{"bench-b", "bench-c"} {
		content += strings.Replace(f.ProfileTOML(99), `"bench"`, fmt.Sprintf("%q", name), 1)
	}
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	f.Store.SetFault(t, burdockfault.Setting{Mode: burdockfault.Down, Only: http.MethodPut})
	a := newApplying(f, file)
	a.run()
	wantOutput(t, a, 1, "outcome unknown", "0 edits applied, 0 not applied, 1 with unknown outcome, 2 not tried")
	f.Store.SetFault(t, burdockfault.Setting{})
	again := newApplying(f, file)
	again.run()
	wantOutput(t, again, 0, "profile/bench: changed to version 2", "profile/bench-b: added as version 1", "profile/bench-c: added as version 1")
	waitVersionEverywhere(t, f, 2)
}
