package burdockdirect

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdocklockstep"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
)

// twoGroups starts a fixture with two lock-step groups of three engines each.
func twoGroups(t *testing.T, a, b *lockStepGroup) (*fixture, []*upstream) {
	t.Helper()
	var all []*upstream
	for _, g := range []*lockStepGroup{a, b, a, b, a, b} {
		all = append(all, newUpstream(t, g.serve))
	}
	f := newFixture(t, 30_000, all...)
	f.lockStep(20 * burdockclock.Second)
	groups := map[string]burdockid.Group{}
	for i, u := range all {
		groups[strings.TrimPrefix(u.server.URL, "http://")] = burdockid.Group([]string{"a", "b"}[i%2])
	}
	f.entry.pool("s")
	f.entry.SetGroups(groups)
	return f, all
}

// One of two groups forms anew and refuses everything for a second. Its refusals must not
// stop requests to the other group, and callers must not be held.
func TestClosedGroupDoesNotStopOthers(t *testing.T) {
	a, b := &lockStepGroup{}, &lockStepGroup{}
	b.open.Store(true)
	f, all := twoGroups(t, a, b)
	const callers = 30
	began := time.Now()
	for i, got := range f.sendMany(t, callers, func() {}) {
		if got.status != http.StatusOK || got.body != eventsOf(1, 3) {
			t.Errorf("caller %d: got status %d body %q, want 200 and the whole stream", i, got.status, got.body)
		}
	}
	// Without knowledge of the groups, half of all first offers go to the closed one.
	if got, most := all[0].seen()+all[2].seen()+all[4].seen(), callers/4; got > most {
		t.Errorf("offers to the closed group in %v: got %d, want %d at most", time.Since(began), got, most)
	}
}

// An entry starts while all groups form. Callers must wait for the first group that opens,
// and none may use up its offers on finding out that each group is closed.
func TestCallersWaitWhileAllGroupsForm(t *testing.T) {
	const callers = 4
	a, b := &lockStepGroup{}, &lockStepGroup{}
	f, _ := twoGroups(t, a, b)
	gate := f.entry.pool("s").gate
	replies := f.sendMany(t, callers, func() {
		await(t, "all wait", func() bool {
			load := gate.load()
			return load.Queued+load.Running == callers && gate.openSignal() != nil
		})
		b.open.Store(true)
		f.entry.NotifyGroupOpened("b")
	})
	for i, got := range replies {
		if got.status != http.StatusOK {
			t.Errorf("caller %d: got status %d, want 200", i, got.status)
		}
	}
}

// A closed group that is reported to have opened gets requests at once, not only when the
// closed state expires.
func TestReportedGroupIsUsedAtOnce(t *testing.T) {
	s := newGroups(100)
	s.setMembers(map[burdockid.Upstream]burdockid.Group{"a1": "a", "b1": "b"})
	s.view("a1").EngineRefused(1000, "a1")
	if got, want := fmt.Sprint(s.available(1000, "a1"), s.available(1000, "b1")), "false true"; got != want {
		t.Errorf("engines of group a, which is closed, and b are available: got %s, want %s", got, want)
	}
	if got, want := s.state(1000), burdocklockstep.Advancing; got != want {
		t.Errorf("state: got %s, want %s", got, want)
	}
	s.reportedOpen(1010, "a")
	if !s.available(1010, "a1") {
		t.Error("after the report: got the engines of group a unavailable")
	}
}

// While every group is closed, none is left out: a probe has to reach one that opens.
func TestAllGroupsClosed(t *testing.T) {
	s := newGroups(100)
	s.setMembers(map[burdockid.Upstream]burdockid.Group{"a1": "a", "b1": "b"})
	s.view("a1").EngineRefused(1000, "a1")
	s.view("b1").EngineRefused(1000, "b1")
	if got, want := s.state(1000), burdocklockstep.Closed; got != want {
		t.Errorf("state: got %s, want %s", got, want)
	}
	if !s.available(1000, "a1") || !s.available(1000, "b1") {
		t.Error("engines: got some unavailable, want all")
	}
	if _, ok := s.nextProbeAt(1000); !ok {
		t.Error("got no probe scheduled")
	}
}

// The streams of an entry are stuck at a group that is stalled. They take no place at the
// other group, whose engines must still get as many streams as fit.
func TestStuckStreamsLeaveRoomAtOtherGroups(t *testing.T) {
	s := newGroups(100)
	s.setMembers(map[burdockid.Upstream]burdockid.Group{"a1": "a", "b1": "b"})
	for range 5 {
		s.view("a1").StreamOffered(1000)
		s.view("a1").FirstEvent(1010)
	}
	s.view("b1").StreamOffered(1000)
	if got, want := s.stuckStreams(1100), 0; got != want {
		t.Errorf("while both advance: got %d stuck streams, want %d", got, want)
	}
	s.view("b1").FirstEvent(2000)
	if got, want := s.stuckStreams(2000), 5; got != want {
		t.Errorf("while group a is stalled: got %d stuck streams, want %d", got, want)
	}
}

// An engine of a closed group refuses and reports that it runs nothing. The entry must not
// conclude that it is alone and start all that fits when the group opens.
func TestLoadOfClosedGroupDoesNotCount(t *testing.T) {
	closed := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Load", "0,0,12")
		refuseNotRun(w, r)
	}
	f := newFixture(t, 600, newUpstream(t, closed), newUpstream(t, closed), newUpstream(t, closed))
	f.lockStep(500)
	f.send(t, context.Background(), "/stream/", nil)
	gate := f.entry.pool("s").gate
	gate.mu.Lock()
	defer gate.mu.Unlock()
	if got, most := gate.limit.MaxStreams(f.entry.now(), 1), 3*gate.limit.State(f.entry.now()).MaxPerEngine/2; float64(got) > most {
		t.Errorf("streams that may run: got %d, want %.0f at most", got, most)
	}
}

// After a power cut the entry knows only the records of the processes before it. Callers
// must wait for the new ones, and not use up all retries on one old record after the other.
func TestCallersWaitForNewRecords(t *testing.T) {
	g := &lockStepGroup{}
	g.open.Store(true)
	replaced := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	})
	f := newFixture(t, 30_000)
	for range 20 {
		f.put(replaced)
	}
	f.lockStep(20 * burdockclock.Second)
	const callers = 10
	replies := f.sendMany(t, callers, func() {
		await(t, "the members count as outdated", func() bool { return f.entry.pool("s").outdated() != nil })
		await(t, "all wait", func() bool {
			load := f.entry.pool("s").gate.load()
			return load.Running+load.Queued == callers && f.entry.CallersWait()
		})
		old := f.site.Now().Upstreams
		f.put(newUpstream(t, g.serve))
		f.site.Update(func(b *burdocksite.Batch) {
			for id := range old {
				b.DropUpstream(id)
			}
		})
	})
	for i, got := range replies {
		if got.status != http.StatusOK {
			t.Errorf("caller %d: got status %d, want 200", i, got.status)
		}
	}
	if got, most := replaced.seen(), callers; got > most {
		t.Errorf("offers to old processes: got %d, want %d at most", got, most)
	}
}

// evacuate starts the evacuation of a data centre.
func (f *fixture) evacuate(dc burdockid.DataCentre) {
	f.site.Update(func(b *burdocksite.Batch) { b.SetEvacuated(dc, true) })
}

// A data centre is evacuated while a stream runs there. The stream must go on to its end,
// and nothing else may reach the upstream: no new request, no retry of a request that
// another upstream failed, no resumption of a stream that broke off.
func TestEvacuatedDataCentreGetsNothing(t *testing.T) {
	release := make(chan struct{})
	leaving := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		writeEvents(w, 1, 1)
		<-release
		writeEvents(w, 2, 3)
	})
	f := newFixture(t, 10_000)
	f.site.PutUpstream(burdocksite.Upstream{ID: "leaving", Service: "s", Address: strings.TrimPrefix(leaving.server.URL, "http://"), DataCentre: "b", Slots: 4})
	running := make(chan reply)
	go func() { running <- f.send(t, context.Background(), "/stream/", nil) }()
	await(t, "the stream runs", func() bool { return leaving.seen() == 1 })
	f.put(newUpstream(t, cutConnection))
	f.evacuate("b")
	var wg sync.WaitGroup
	for i := range 20 {
		path := []string{"/once/", "/again/", "/stream/"}[i%3]
		wg.Go(func() { f.send(t, context.Background(), path, map[string]string{"X-Id": fmt.Sprint("id-", i)}) })
	}
	wg.Wait()
	if got, want := leaving.seen(), 1; got != want {
		t.Errorf("requests at the evacuated upstream: got %d, want %d", got, want)
	}
	close(release)
	if got := <-running; got.status != http.StatusOK || got.body != eventsOf(1, 3) {
		t.Errorf("the stream that ran there: got status %d body %q, want it whole", got.status, got.body)
	}
}

// All data centres are evacuated. Callers must be refused at once, not held.
func TestAllEvacuatedIsRefusedAtOnce(t *testing.T) {
	u := newUpstream(t, answerOK)
	f := newFixture(t, 10_000, u)
	f.evacuate("a")
	began := time.Now()
	got := f.send(t, context.Background(), "/again/", nil)
	if got.status != http.StatusServiceUnavailable || u.seen() != 0 {
		t.Errorf("got status %d and %d requests sent, want 503 and none", got.status, u.seen())
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("refused after %v", took)
	}
}

// An upstream fails until it is ejected, and its process starts again under the same ID.
// What is known of the old process must not keep requests from the new one. A record that
// does not tell when the process started changes nothing.
func TestRestartUnderSameIDForgetsTheOldProcess(t *testing.T) {
	f := newFixture(t, testTimeout)
	p := f.entry.pool("s")
	put := func(id burdockid.Upstream, startedAt burdockclock.Millis) {
		f.site.PutUpstream(burdocksite.Upstream{ID: id, Service: "s", Address: "10.0.0.1:" + string(id), StartedAt: startedAt})
	}
	weight := func() float64 {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.effectiveWeight("1")
	}
	put("1", 100)
	put("2", 100)
	p.markReplaced(1, "1")
	p.recordFailure(1, "1")
	for _, test := range []struct {
		what      string
		startedAt burdockclock.Millis
		want      float64
	}{
		{"the same process", 100, 0},
		{"no start time", 0, 0},
		{"the start time again", 100, 0},
		{"another process", 200, 1},
	} {
		put("1", test.startedAt)
		if got := weight(); got != test.want {
			t.Errorf("%s: got weight %g, want %g", test.what, got, test.want)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if got := p.suspected.Suspected(2, 2); got["1"] {
		t.Error("the new process is suspected for a failure of the old one")
	}
}
