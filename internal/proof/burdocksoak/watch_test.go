package burdocksoak

import (
	"sync"
	"time"

	"burdockbend.example/burdockbend/internal/proof/burdockprograms"
)

const watchInterval = 200 * time.Millisecond

// versionReading is the version of the profile that a process had applied.
type versionReading struct {
	admin   string
	version uint64
}

// versionWatcher polls the version of the profile at the first entry and the first agent.
type versionWatcher struct {
	fleet    *burdockprograms.Fleet
	stopping chan struct{}
	done     sync.WaitGroup
	versions []versionReading
}

func startVersionWatcher(f *burdockprograms.Fleet) *versionWatcher {
	w := &versionWatcher{fleet: f, stopping: make(chan struct{})}
	w.done.Add(1)
	go w.run()
	return w
}

func (w *versionWatcher) stop() {
	close(w.stopping)
	w.done.Wait()
}

func (w *versionWatcher) run() {
	defer w.done.Done()
	for {
		select {
		case <-w.stopping:
			return
		case <-time.After(watchInterval):
			w.read(w.fleet.Entries[0].Admin)
			w.read(w.fleet.Agents[0].Admin)
		}
	}
}

func (w *versionWatcher) read(admin string) {
	var dump struct {
		Versions map[string]struct {
			Version uint64 `json:"version"`
		} `json:"versions"`
	}
	if burdockprograms.GetJSON("http://"+admin+"/state", &dump) {
		w.versions = append(w.versions, versionReading{admin: admin, version: dump.Versions["profile/bench"].Version})
	}
}
