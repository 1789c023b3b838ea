// Package burdocksoak is a long randomised test: it mixes load, faults and edits by
// operators on separate processes, and checks the system's guarantees at the end.
//
//	go test -run Soak -timeout 0 ./internal/proof/burdocksoak -soak 10m -seed 1
package burdocksoak

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/proof/burdockprograms"
)

var (
	soakFlag = flag.Duration("soak", 12*time.Second, "how long faults are injected")
	seedFlag = flag.Uint64("seed", 1, "seed of the random faults and load")
)

func TestMain(m *testing.M) {
	status := m.Run()
	burdockprograms.CleanUp()
	os.Exit(status)
}

const callers = 10

// Every caller gets a complete answer or a correct error during random, overlapping
// faults: killed, frozen and stopped processes, silent, cut and dark links, store outages
// and profile edits. The answers are compared with the engines' own counts of runs.
func TestSoak(t *testing.T) {
	f := burdockprograms.Start(t, burdockprograms.Config{
		Models: 4, Plains: 1, Entries: 2, Slots: 8, Step: 4 * time.Millisecond, Prefill: time.Millisecond, Links: true,
	})
	mix := newMix(*seedFlag)
	load := f.StartLoad(callers, mix.next)
	watcher := startVersionWatcher(f)
	faults := newFaults(t, f, rand.New(rand.NewPCG(*seedFlag, 1)))
	faults.inject(*soakFlag)
	faults.undoAll()
	f.WaitReady(t)
	sent := load.Stop()
	watcher.stop()
	waitIdle(t, f)

	c := &checker{fleet: f, sent: sent, profileEdits: faults.edits, versions: watcher.versions}
	c.check(t)
	t.Logf("seed %d, %v: faults %v", *seedFlag, *soakFlag, faults.counts)
	t.Logf("requests %d: %v", len(sent), c.outcomes)
	t.Logf("keys %d, engine runs %d, profile edits %d, profile versions read %d", c.keys, c.runs, faults.edits, len(watcher.versions))
}

// waitIdle waits until no upstream runs a request.
func waitIdle(t *testing.T, f *burdockprograms.Fleet) {
	t.Helper()
	burdockprograms.Eventually(t, "every upstream is idle", func() bool {
		for _, a := range f.Agents {
			if a.Upstream.InFlight() > 0 {
				return false
			}
		}
		return true
	})
}
