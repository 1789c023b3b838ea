package burdocksoak

import (
	"sync"
	"time"

	"burdockbend.example/burdockbend/internal/proof/burdockprograms"
)

const watchEvery = 200 * time.Millisecond

// reading is the version of the profile that one process had in force.
type reading struct {
	admin   string
	version uint64
}

// watch reads the version of the profile in every process all the while.
type watch struct {
	fleet *burdockprograms.Fleet
	end   chan struct{}
	done  sync.WaitGroup
	seen  []reading
}

func startWatch(f *burdockprograms.Fleet) *watch {
	w := &watch{fleet: f, end: make(chan struct{})}
	w.done.Add(1)
	go w.run()
	return w
}

func (w *watch) stop() {
	close(w.end)
	w.done.Wait()
}

func (w *watch) run() {
	defer w.done.Done()
	for {
		select {
		case <-w.end:
			return
		case <-time.After(watchEvery):
			w.read(w.fleet.Entries[0].Admin)
			w.read(w.fleet.Agents[0].Admin)
		}
	}
}

func (w *watch) read(admin string) {
	var dump struct {
		Versions map[string]struct {
			Version uint64 `json:"version"`
		} `json:"versions"`
	}
	if burdockprograms.GetJSON("http://"+admin+"/state", &dump) {
		w.seen = append(w.seen, reading{admin: admin, version: dump.Versions["profile/bench"].Version})
	}
}
