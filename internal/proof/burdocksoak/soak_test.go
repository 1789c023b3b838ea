// Package burdocksoak is the long randomised run: load, faults and operators'
// edits mixed on separate processes, and every promise checked at the end.
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
	seedFlag = flag.Uint64("seed", 1, "what the faults and the load follow from")
)

func TestMain(m *testing.M) {
	status := m.Run()
	burdockprograms.CleanUp()
	os.Exit(status)
}

const callers = 10

// Callers are answered, or told the truth, whatever happens to the processes
// and the links between them: kills, freezes, planned stops, silent, cut and
// dark links, outages of the store, and operators' edits, at random and
// together. The engines' own counts are compared with what callers were told.
func TestSoak(t *testing.T) {
	f := burdockprograms.Start(t, burdockprograms.Config{
		Models: 4, Plains: 1, Entries: 2, Slots: 8, Step: 4 * time.Millisecond, Prefill: time.Millisecond, Links: true,
	})
	mix := newMix(*seedFlag)
	load := f.StartLoad(callers, mix.next)
	watch := startWatch(f)
	faults := newFaults(t, f, rand.New(rand.NewPCG(*seedFlag, 1)))
	faults.inject(*soakFlag)
	faults.heal()
	f.WaitReady(t)
	sent := load.Stop()
	watch.stop()
	waitIdle(t, f)

	c := &checker{fleet: f, sent: sent, applied: faults.edits, seen: watch.seen}
	c.check(t)
	t.Logf("seed %d, %v: faults %v", *seedFlag, *soakFlag, faults.counts)
	t.Logf("requests %d: %v", len(sent), c.kinds)
	t.Logf("keys %d, engine runs %d, profile edits %d, views read %d", c.keys, c.runs, faults.edits, len(watch.seen))
}

// waitIdle waits until no upstream runs anything.
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
