package burdockconfigproof

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/config/burdockkey"
	"burdockbend.example/burdockbend/internal/decide/burdockledger"
	"burdockbend.example/burdockbend/internal/proof/burdockprograms"
	"burdockbend.example/burdockbend/internal/standin/burdockfakestore"
	"burdockbend.example/burdockbend/internal/standin/burdockfault"
	"burdockbend.example/burdockbend/internal/state/burdockowner"
)

// postCommand sends a control command to the stand-in store.
func postCommand(t *testing.T, f *burdockprograms.Fleet, path string) {
	t.Helper()
	res, err := http.Post("http://"+f.Store.Address+path, "", nil)
	if err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	_ = res.Body.Close()
	if got, want := res.StatusCode, http.StatusOK; got != want {
		t.Fatalf("%s: got status %d, want %d", path, got, want)
	}
}

// compare runs the command `config compare` on the store and all processes.
func compare(f *burdockprograms.Fleet) (string, int) {
	return f.TryOperate(append([]string{"config", "compare", "-store", f.Store.Address}, admins(f)...)...)
}

// waitSettled waits until the agents have claimed all key slots, which they do through the
// configuration, and the store and all processes hold the same.
func waitSettled(t *testing.T, f *burdockprograms.Fleet) {
	t.Helper()
	for slot := range burdockledger.Slot(burdockledger.SlotCount) {
		key := fmt.Sprintf("%s%s/%d", burdockowner.Prefix, burdockprograms.ModelService, slot)
		burdockprograms.Eventually(t, key+" is claimed", func() bool {
			_, ok := heldAt(f.Entries[0].Admin, key)
			return ok
		})
	}
	burdockprograms.Eventually(t, "the store and all processes hold the same", func() bool {
		_, status := compare(f)
		return status == 0
	})
}

// versionPoller polls the version of a key that a process holds and records each change.
type versionPoller struct {
	admin string
	key   string
	stop  chan struct{}
	done  chan struct{}
	seen  []heldVersion
}

func watchVersions(f *burdockprograms.Fleet, key string) []*versionPoller {
	var all []*versionPoller
	for _, admin := range admins(f) {
		v := &versionPoller{admin: admin, key: key, stop: make(chan struct{}), done: make(chan struct{})}
		go v.run()
		all = append(all, v)
	}
	return all
}

const pollPause = 50 * time.Millisecond

func (v *versionPoller) run() {
	defer close(v.done)
	for {
		select {
		case <-v.stop:
			return
		case <-time.After(pollPause):
		}
		if h, ok := heldAt(v.admin, v.key); ok && (len(v.seen) == 0 || v.seen[len(v.seen)-1] != h) {
			v.seen = append(v.seen, h)
		}
	}
}

// checkForward stops the pollers and checks that no process went back to an older version.
func checkForward(t *testing.T, all []*versionPoller) {
	t.Helper()
	for _, v := range all {
		close(v.stop)
		<-v.done
		for i := 1; i < len(v.seen); i++ {
			if v.seen[i].Version <= v.seen[i-1].Version {
				t.Errorf("%s went from version %d to %d of %s", v.admin, v.seen[i-1].Version, v.seen[i].Version, v.key)
			}
		}
	}
}

// Measures the time from the end of a command until its edit is in force at every process.
// The fleet serves no traffic, so the edit reaches the entries by the store's watch and the
// agents by pulls.
func TestTimeToAll(t *testing.T) {
	f := startFleet(t, 8, 3)
	for version := 2; version <= 4; version++ {
		f.ApplyProfile(t, f.ProfileTOML(100+version))
		began := time.Now()
		waitVersionEverywhere(t, f, version)
		t.Logf("version %d in force at %d processes after %v", version, len(admins(f)), time.Since(began).Round(10*time.Millisecond))
	}
}

// The store first answers each call after 3.5 s, too late, and the command must report it.
// Then it answers after 2 s: the edit must be accepted and reach every process.
func TestStoreSlow(t *testing.T) {
	f := startFleet(t, 2, 2)
	all := watchVersions(f, profileKey)
	f.Store.SetFault(t, burdockfault.Setting{DelayMillis: 3500})
	early := newApplyCommand(f, profileFile(t, f, 77))
	early.run()
	checkOutput(t, early, 1, "read the configuration", "store.unavailable")
	f.Store.SetFault(t, burdockfault.Setting{DelayMillis: 2000})
	slow := newApplyCommand(f, profileFile(t, f, 77))
	slow.run()
	checkOutput(t, slow, 0, "changed to version 2")
	waitVersionEverywhere(t, f, 2)
	checkForward(t, all)
}

// watchTimeout is longer than one watch call to the store lasts. An entry frozen for that
// long has no answer of the store left to read when it resumes.
const watchTimeout = 11 * time.Second

// An edit is accepted while two of three entries are frozen, so only one entry receives it.
// Then the store goes down and the two resume. The edit must reach them and all agents through
// the one entry, and stay when the store is back.
func TestEditRightBeforeOutage(t *testing.T) {
	f := startFleet(t, 3, 3)
	all := watchVersions(f, profileKey)
	frozen := f.Entries[1:]
	for _, e := range frozen {
		e.Freeze()
	}
	time.Sleep(watchTimeout)
	f.ApplyProfile(t, f.ProfileTOML(77))
	waitVersion(t, f.Entries[0].Admin, 2)
	f.Store.SetFault(t, burdockfault.Setting{Mode: burdockfault.Down})
	for _, e := range frozen {
		e.Thaw()
	}
	began := time.Now()
	waitVersionEverywhere(t, f, 2)
	t.Logf("in force everywhere %v after the entries resumed", time.Since(began).Round(10*time.Millisecond))
	f.Store.SetFault(t, burdockfault.Setting{})
	f.ApplyProfile(t, f.ProfileTOML(88))
	waitVersionEverywhere(t, f, 3)
	checkForward(t, all)
}

// An agent and an entry are killed and restarted while the store is silent. Both must get
// the configuration, with an edit made right before, from the other entry and become ready.
func TestStartWhileStoreIsOut(t *testing.T) {
	f := startFleet(t, 2, 2)
	f.ApplyProfile(t, f.ProfileTOML(77))
	waitVersionEverywhere(t, f, 2)
	f.Store.SetFault(t, burdockfault.Setting{Mode: burdockfault.Silent})
	f.Agents[0].Kill()
	f.Entries[1].Kill()
	f.StartAgent(t, f.Agents[0])
	f.StartEntry(t, f.Entries[1])
	began := time.Now()
	f.WaitReady(t)
	t.Logf("ready %v after their start", time.Since(began).Round(10*time.Millisecond))
	waitVersionEverywhere(t, f, 2)
}

// The store restarts from an older state that lacks two edits and an added profile. No
// process may go back, and the entries must write the lost edits to the store again, so a
// client that only asks the store finds all that was accepted.
func TestStoreRestartsFromOlderState(t *testing.T) {
	f := startFleet(t, 2, 3)
	waitSettled(t, f)
	postCommand(t, f, burdockfakestore.PathSnapshot)
	f.ApplyProfile(t, f.ProfileTOML(77))
	f.ApplyProfile(t, f.ProfileTOML(88))
	f.ApplyProfile(t, strings.Replace(f.ProfileTOML(99), `"bench"`, `"added"`, 1))
	waitVersionEverywhere(t, f, 3)
	waitSettled(t, f)
	before := f.Store.Counts()["PUT /v1/key"]
	all := watchVersions(f, profileKey)
	postCommand(t, f, burdockfakestore.PathRestore)
	burdockprograms.Eventually(t, "the store has the lost edits again", func() bool {
		list := f.Operate(t, "profile", "list", "-store", f.Store.Address)
		return strings.Contains(list, "bench    3") && strings.Contains(list, "added    1")
	})
	t.Logf("writes that put 2 keys back, by 3 entries: %d", f.Store.Counts()["PUT /v1/key"]-before)
	waitSettled(t, f)
	f.ApplyProfile(t, f.ProfileTOML(99))
	waitVersionEverywhere(t, f, 4)
	checkForward(t, all)
}

// A customer is deleted while one entry is frozen, and the store is down when that entry
// resumes. The entry must learn of the deletion from its peers, and its older state must not
// bring the customer back anywhere.
func TestDeletedKeyStaysDeleted(t *testing.T) {
	f := startFleet(t, 2, 2)
	const deleted = "customer/leaving-lab"
	members := f.FleetTOML()
	f.ApplyFleet(t, members+fmt.Sprintf("[[customer]]\nname = \"leaving-lab\"\nkeyHash = %q\n", burdockkey.Hash(burdockkey.New())))
	for _, admin := range admins(f) {
		burdockprograms.Eventually(t, admin+" has the customer", func() bool {
			_, ok := heldAt(admin, deleted)
			return ok
		})
	}
	f.Entries[1].Freeze()
	time.Sleep(watchTimeout)
	f.ApplyFleet(t, members)
	isDeleted := func(admin string) bool {
		h, _ := heldAt(admin, deleted)
		return h.Deleted
	}
	burdockprograms.Eventually(t, "the other entry has the deletion", func() bool { return isDeleted(f.Entries[0].Admin) })
	f.Store.SetFault(t, burdockfault.Setting{Mode: burdockfault.Down})
	all := watchVersions(f, deleted)
	f.Entries[1].Thaw()
	for _, admin := range admins(f) {
		burdockprograms.Eventually(t, admin+" has the deletion", func() bool { return isDeleted(admin) })
	}
	f.Store.SetFault(t, burdockfault.Setting{})
	f.ApplyProfile(t, f.ProfileTOML(77))
	waitVersionEverywhere(t, f, 2)
	checkForward(t, all)
	for _, admin := range admins(f) {
		if !isDeleted(admin) {
			t.Errorf("%s: the deleted customer is present again", admin)
		}
	}
}

// The command `config compare` must exit with status 0 only if the store and all processes
// answer and hold the same. With a frozen process it exits with status 1 and reports which
// one does not answer; with the store down it still compares the processes.
func TestCompareShowsWhoIsBehind(t *testing.T) {
	f := startFleet(t, 1, 2)
	waitSettled(t, f)
	out, status := compare(f)
	if status != 0 || strings.Contains(out, "\nKEY ") {
		t.Errorf("all equal: got status %d, want 0 and no keys\n%s", status, out)
	}
	f.Agents[0].Freeze()
	out, status = compare(f)
	f.Agents[0].Thaw()
	if status != 1 || !strings.Contains(out, "no answer") {
		t.Errorf("one frozen: got status %d, want 1 and a line for it\n%s", status, out)
	}
	f.Store.SetFault(t, burdockfault.Setting{Mode: burdockfault.Down})
	out, status = compare(f)
	if status != 1 || !strings.Contains(out, "1 holders did not answer, 0 keys differ") {
		t.Errorf("store out: got status %d, want 1 and the processes compared\n%s", status, out)
	}
}
