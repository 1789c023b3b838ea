// Package burdockconfigproof tests the guarantee on configuration under failures, with the
// built programs as separate processes: an edit is in force everywhere within seconds, and
// no process goes back to an older version.
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

// profileFile writes a profile with the given maxQueued to a temporary file.
func profileFile(t *testing.T, f *burdockprograms.Fleet, maxQueued int) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "profile.toml")
	if err := os.WriteFile(path, []byte(f.ProfileTOML(maxQueued)), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// applyCommand is one run of the operators' command `profile apply`.
type applyCommand struct {
	fleet  *burdockprograms.Fleet
	args   []string
	out    string
	status int
}

func newApplyCommand(f *burdockprograms.Fleet, file string, flags ...string) *applyCommand {
	args := append([]string{"profile", "apply", "-store", f.Store.Address}, flags...)
	return &applyCommand{fleet: f, args: append(args, file)}
}

func (a *applyCommand) run() { a.out, a.status = a.fleet.TryOperate(a.args...) }

// heldVersion is the version of a key that a process holds.
type heldVersion struct {
	Version int
	Mark    string
	Deleted bool
}

const profileKey = "profile/bench"

// heldAt returns the version of a key that the process at an admin address holds.
func heldAt(admin, key string) (heldVersion, bool) {
	var dump struct {
		Versions map[string]heldVersion
	}
	if !burdockprograms.GetJSON("http://"+admin+"/state", &dump) {
		return heldVersion{}, false
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

// admins returns the admin addresses of all processes.
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

// checkOutput checks the exit status of a command and parts of its output.
func checkOutput(t *testing.T, a *applyCommand, status int, parts ...string) {
	t.Helper()
	if a.status != status {
		t.Errorf("exit status: got %d, want %d\n%s", a.status, status, a.out)
	}
	for _, part := range parts {
		if !strings.Contains(a.out, part) {
			t.Errorf("output: got %q, want it to contain %q", a.out, part)
		}
	}
}

// concurrentCommand is one of several commands that run at the same time.
type concurrentCommand struct {
	command *applyCommand
	done    *sync.WaitGroup
}

func (r concurrentCommand) run() {
	defer r.done.Done()
	r.command.run()
}

// Two operators apply different edits of one profile at the same moment. Writes to the store
// are slow, so both have read version 1 before either writes. One gets version 2; the other
// must be told that it lost and which field has which value now.
func TestOperatorsRace(t *testing.T) {
	f := startFleet(t, 1, 2)
	f.Store.SetFault(t, burdockfault.Setting{DelayMillis: 1500, Only: http.MethodPut})
	both := []*applyCommand{newApplyCommand(f, profileFile(t, f, 77)), newApplyCommand(f, profileFile(t, f, 88))}
	var done sync.WaitGroup
	for _, a := range both {
		done.Add(1)
		go concurrentCommand{a, &done}.run()
	}
	done.Wait()
	f.Store.SetFault(t, burdockfault.Setting{})
	winner, loser, value := both[0], both[1], 77
	if winner.status != 0 {
		winner, loser, value = both[1], both[0], 88
	}
	checkOutput(t, winner, 0, "profile/bench: changed to version 2")
	checkOutput(t, loser, 1, "not applied", "another edit became version 2 first",
		fmt.Sprintf("queue.maxQueued: was 256, is %d", value))
	waitVersionEverywhere(t, f, 2)
}

// An edit based on version 1 is applied after another edit became version 2. It must be
// refused with the difference, without any change. Without -base the file is applied, and
// the replaced values are printed.
func TestEditOfAnOlderBase(t *testing.T) {
	f := startFleet(t, 1, 1)
	f.ApplyProfile(t, f.ProfileTOML(77))
	late := newApplyCommand(f, profileFile(t, f, 88), "-base", "1")
	late.run()
	checkOutput(t, late, 1, "is at version 2 by now, the edit was made on version 1; nothing was changed",
		"queue.maxQueued: in the store 77, in the file 88")
	waitVersionEverywhere(t, f, 2)
	anyBase := newApplyCommand(f, profileFile(t, f, 88))
	anyBase.run()
	checkOutput(t, anyBase, 0, "changed to version 3", "queue.maxQueued: was 77, is 88")
	waitVersionEverywhere(t, f, 3)
}

// temporaryFault sets a fault of the store and clears it after a while.
type temporaryFault struct {
	t       *testing.T
	store   *burdockprograms.Standin
	setting burdockfault.Setting
	span    time.Duration
	done    sync.WaitGroup
}

func startFault(t *testing.T, f *burdockprograms.Fleet, setting burdockfault.Setting, span time.Duration) *temporaryFault {
	t.Helper()
	x := &temporaryFault{t: t, store: f.Store, setting: setting, span: span}
	x.store.SetFault(t, setting)
	x.done.Add(1)
	go x.run()
	return x
}

func (x *temporaryFault) run() {
	defer x.done.Done()
	time.Sleep(x.span)
	x.store.SetFault(x.t, burdockfault.Setting{})
}

// The store loses the answers to writes for 1.5 s: after the write took effect, before it,
// or with the effect delayed. The edit must be reported as applied, and the version must grow
// by one each time: no retry may be taken for another operator's edit.
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
			a := newApplyCommand(f, profileFile(t, f, 100+i))
			a.run()
			x.done.Wait()
			checkOutput(t, a, 0, fmt.Sprintf("changed to version %d", i+2))
			waitVersionEverywhere(t, f, i+2)
		})
	}
}

// All answers to writes are lost until the command gives up. It must report an unknown
// outcome, not a failure, since the edit took effect. The same command then finds nothing to
// change.
func TestOutcomeUnknownIsSaid(t *testing.T) {
	f := startFleet(t, 1, 1)
	f.Store.SetFault(t, burdockfault.Setting{Mode: burdockfault.LateEffect, DelayMillis: 5000, Only: http.MethodPut})
	file := profileFile(t, f, 77)
	a := newApplyCommand(f, file)
	a.run()
	f.Store.SetFault(t, burdockfault.Setting{})
	checkOutput(t, a, 1, "profile/bench: outcome unknown, it may be applied", "1 with unknown outcome")
	if strings.Contains(a.out, "bench: not applied") {
		t.Errorf("output: got %q, want no claim that the edit was not applied", a.out)
	}
	waitVersionEverywhere(t, f, 2)
	again := newApplyCommand(f, file)
	again.run()
	checkOutput(t, again, 0, "nothing to change")
}

// An edit is applied while the store is down, then while it is silent. The command must exit
// with status 1 and report that the store did not answer; the processes keep their
// configuration. Once the store is back, the same command applies the edit.
func TestEditWhileStoreIsOut(t *testing.T) {
	f := startFleet(t, 1, 1)
	file := profileFile(t, f, 77)
	for _, mode := range []burdockfault.Mode{burdockfault.Down, burdockfault.Silent} {
		f.Store.SetFault(t, burdockfault.Setting{Mode: mode})
		a := newApplyCommand(f, file)
		a.run()
		checkOutput(t, a, 1, "read the configuration", "store.unavailable")
	}
	waitVersionEverywhere(t, f, 1)
	f.Store.SetFault(t, burdockfault.Setting{})
	a := newApplyCommand(f, file)
	a.run()
	checkOutput(t, a, 0, "changed to version 2")
	waitVersionEverywhere(t, f, 2)
}

// A file of three profiles is applied, and the store refuses writes after it was read. The
// command must report one edit with unknown outcome and two not tried, without retrying for
// each of the three. The same command then applies all that is left.
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
	a := newApplyCommand(f, file)
	a.run()
	checkOutput(t, a, 1, "outcome unknown", "0 edits applied, 0 not applied, 1 with unknown outcome, 2 not tried")
	f.Store.SetFault(t, burdockfault.Setting{})
	again := newApplyCommand(f, file)
	again.run()
	checkOutput(t, again, 0, "profile/bench: changed to version 2", "profile/bench-b: added as version 1", "profile/bench-c: added as version 1")
	waitVersionEverywhere(t, f, 2)
}
