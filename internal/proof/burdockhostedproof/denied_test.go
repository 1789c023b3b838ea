package burdockhostedproof

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"
)

var (
	timeFlag = flag.Duration("faults", 10*time.Second, "how long faults are injected")
	seedFlag = flag.Uint64("seed", 1, "seed of the random faults and load")
)

// Guards against proper requests that are answered 3xx or 4xx while entries are slow,
// freeze, restart, and get new configurations.
func TestFaultsDenyNoProperRequest(t *testing.T) {
	s := startSite(t, 4, 3, nil)
	l := s.startLoad(16, *seedFlag)
	f := newFaults(t, s)
	f.injectFor(*timeFlag)
	check(t, *seedFlag, l.stop())
	t.Logf("faults: %v", f.counts)
	f.checkBodies()
}

// faults injects random faults into a site, one after the other.
type faults struct {
	t      *testing.T
	site   *site
	random *rand.Rand
	counts map[string]int
	// disturbed holds when an entry was slow, frozen, killed or stopped, by its name: the
	// beginning and the end of each fault, in order.
	disturbed map[string][]time.Time
}

func newFaults(t *testing.T, s *site) *faults {
	return &faults{t: t, site: s, random: rand.New(rand.NewPCG(*seedFlag, 1)), counts: map[string]int{}, disturbed: map[string][]time.Time{}}
}

// injectFor injects faults for a time.
func (f *faults) injectFor(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		f.injectOne()
	}
}

// noteDisturbed records that entries are disturbed now.
func (f *faults) noteDisturbed(all ...*entry) {
	for _, e := range all {
		f.disturbed[e.name] = append(f.disturbed[e.name], time.Now())
	}
}

// The kinds of faults are many short stops, as of a process that gets little processor
// time, a long stop, a kill, a planned stop, and new versions of the configuration.
const (
	sliceRun    = 10 * time.Millisecond
	sliceStop   = 40 * time.Millisecond
	slowSlices  = 40
	freezeTime  = 1500 * time.Millisecond
	restartTime = 300 * time.Millisecond
	grace       = 10 * time.Second
)

func (f *faults) injectOne() {
	e := f.site.entries[f.random.IntN(len(f.site.entries))]
	kind := f.random.IntN(5)
	disturbed := []*entry{e}
	switch kind {
	case 0:
		disturbed = f.site.entries
	case 4:
		disturbed = nil
	}
	f.noteDisturbed(disturbed...)
	defer f.noteDisturbed(disturbed...)
	switch kind {
	case 0:
		f.counts["slow"]++
		f.slow()
	case 1:
		f.counts["freeze"]++
		e.Freeze()
		time.Sleep(freezeTime)
		e.Thaw()
	case 2:
		f.counts["kill"]++
		e.Kill()
		time.Sleep(restartTime)
		e.start(f.t)
	case 3:
		f.counts["stop"]++
		e.Terminate()
		e.Wait(f.t, grace)
		e.start(f.t)
	case 4:
		f.counts["configuration"]++
		f.change()
	}
}

// slow stops all entries again and again for a short time.
func (f *faults) slow() {
	for range slowSlices {
		for _, e := range f.site.entries {
			e.Freeze()
		}
		time.Sleep(sliceStop)
		for _, e := range f.site.entries {
			e.Thaw()
		}
		time.Sleep(sliceRun)
	}
}

// change writes some versions of the configuration: other timeouts, and a route that comes
// and goes. The routes of the callers are in all of them.
func (f *faults) change() {
	s := f.site
	for range 5 {
		s.routes = slices.Clone(s.routes[:2])
		for i := range s.routes {
			s.routes[i].Timeout = 400 + 100*f.random.IntN(8)
		}
		if f.random.IntN(2) == 0 {
			s.routes = append(s.routes, route{Name: "more", Hostname: host, Prefix: fmt.Sprintf("/my66/more%d/", s.version), Type: "idempotent", Service: service, Attempts: 1})
		}
		s.configure()
		time.Sleep(100 * time.Millisecond)
	}
}

// checkBodies fails the test for each request that reached a replica in another form.
func (f *faults) checkBodies() {
	for _, r := range f.site.replicas {
		for _, a := range r.Arrivals() {
			if a.Method == "GET" && a.Chunked {
				f.t.Errorf("seed %d: request %s arrived with a body in chunks, want none as its caller sent it", *seedFlag, a.ID)
			}
		}
	}
}

// Guards against proper requests that are answered 3xx or 4xx because something in front of
// the replicas, which echoes the request's ID, turned them away.
func TestForeignAnswersDenyNoProperRequest(t *testing.T) {
	random := rand.New(rand.NewPCG(*seedFlag, 2))
	s := startSite(t, 2, 3, func(replica http.Handler) http.Handler {
		return &front{replica: replica, random: rand.New(rand.NewPCG(random.Uint64(), 0))}
	})
	l := s.startLoad(8, *seedFlag)
	time.Sleep(2 * time.Second)
	check(t, *seedFlag, l.stop())
}

// front answers some requests in place of a replica, with the request's ID, and passes on
// the others.
type front struct {
	replica http.Handler
	mu      sync.Mutex
	random  *rand.Rand
}

// foreignShare is the share of requests that a front answers itself.
const foreignShare = 0.2

var foreignStatuses = []int{http.StatusMovedPermanently, http.StatusBadRequest, http.StatusNotFound, http.StatusRequestEntityTooLarge}

// ServeHTTP implements http.Handler.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	status, foreign := f.draw()
	if !foreign {
		f.replica.ServeHTTP(w, r)
		return
	}
	w.Header().Set("Burdockbend-Attempt-Id", r.Header.Get("Burdockbend-Attempt-Id"))
	w.WriteHeader(status)
}

func (f *front) draw() (status int, foreign bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return foreignStatuses[f.random.IntN(len(foreignStatuses))], f.random.Float64() < foreignShare
}
