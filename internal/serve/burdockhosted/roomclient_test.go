package burdockhosted

import (
	"context"
	"fmt"
	"math"
	"reflect"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockroom"
	"burdockbend.example/burdockbend/internal/state/burdockkv"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"github.com/VictoriaMetrics/metrics"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"
)

func checkSame[T any](t *testing.T, what string, got, want T, err error) {
	t.Helper()
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%s: got %+v, %v, want %+v", what, got, err, want)
	}
}

// fakeRoomUser is an entry that runs a number of streams.
type fakeRoomUser struct {
	mu       sync.Mutex
	running  int
	services []burdockid.Service
	parts    []burdockroom.Part
	until    burdockclock.Millis
}

func (u *fakeRoomUser) SharedServices() []burdockid.Service {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.services
}

func (u *fakeRoomUser) RoomReport(burdockid.Service) burdockroom.Report {
	u.mu.Lock()
	defer u.mu.Unlock()
	return burdockroom.Report{Capacity: 10, Demands: []burdockroom.Demand{{Priority: 2, Running: u.running}}}
}

func (u *fakeRoomUser) SetRoomPart(_ burdockid.Service, part burdockroom.Part, until burdockclock.Millis) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.parts, u.until = append(u.parts, part), until
}

func (u *fakeRoomUser) received() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.parts)
}

// roomFixture is the loop of one service at an entry. Its records are those of groups "a"
// and "b"; agent 10.0.0.N:7340 is beside engine 10.0.0.N:80.
type roomFixture struct {
	*roomLoop
	user          *fakeRoomUser
	leases, ranks *burdockkv.Mirror
	asked         []string // address and fence of each call
	// answer returns the answer to a report.
	answer func(ctx context.Context, msg *burdockwire.RoomReport) (*burdockwire.RoomPart, error)
}

func newRoomFixture(clock burdockclock.Clock) *roomFixture {
	f := &roomFixture{user: &fakeRoomUser{running: 1, services: []burdockid.Service{"s"}}, leases: burdockkv.NewMirror(), ranks: burdockkv.NewMirror(), answer: answerPart}
	site := burdocksite.New()
	directory := newRoomDirectory(site, f.leases, f.ranks)
	var ranks []burdockkv.Item
	for i, key := range []string{"b/0", "b/1", "a/0", "a/1"} {
		engine := fmt.Sprintf("10.0.0.%d:80", i)
		site.PutUpstream(burdocksite.Upstream{ID: burdockid.Upstream(key), Service: "s", Address: engine})
		ranks = append(ranks, burdockkv.Item{Key: prefixRank + key, Value: fmt.Appendf(nil, "10.0.0.%d:7340 %s", i, engine)})
	}
	f.ranks.Listed(ranks)
	call := func(ctx context.Context, address string, msg *burdockwire.RoomReport) (*burdockwire.RoomPart, error) {
		f.asked = append(f.asked, fmt.Sprint(address, " ", msg.GetFence()))
		return f.answer(ctx, msg)
	}
	client := newRoomClient(f.user, "edge-1", directory, call, clock, metrics.NewSet(), zap.NewNop())
	f.roomLoop = newRoomLoop(client, "s")
	f.acquire("b@1", "10.0.0.1:80", 3)
	f.acquire("a@1", "10.0.0.2:80", 5)
	return f
}

// acquire writes the lease of a group.
func (f *roomFixture) acquire(group, engine string, fence burdockkv.Revision) {
	at := burdockkv.Position{Revision: fence}
	f.leases.Changed([]burdockkv.Item{{Key: prefixGroupLease + group, Value: []byte(engine + "/life"), Created: at, Modified: at}})
}

// answerPart answers as a coordinator does.
func answerPart(_ context.Context, msg *burdockwire.RoomReport) (*burdockwire.RoomPart, error) {
	return partToWire(msg, burdockroom.Part{Sequence: msg.GetSequence(), ValidFor: 600, Limits: make([]int, burdockroom.Priorities), Room: 10})
}

// last returns the latest call.
func (f *roomFixture) last() string { return f.asked[len(f.asked)-1] }

// Guards against parts that outlive what the coordinator granted: validity counts from when
// the report was sent, not from the answer. A part that a frozen coordinator sends when it
// resumes, or that arrives after this VM was suspended, is void.
func TestLateRoomPartIsRefused(t *testing.T) {
	clock := burdockclock.NewManual(burdockclock.Hour)
	f := newRoomFixture(clock.Clock())
	took := burdockclock.Millis(200)
	f.answer = func(ctx context.Context, msg *burdockwire.RoomReport) (*burdockwire.RoomPart, error) {
		clock.Advance(took)
		return answerPart(ctx, msg)
	}
	f.exchange(context.Background())
	if got, want := f.user.until, burdockclock.Hour+600; got != want || f.user.received() != 1 {
		t.Errorf("answered in time: got a part until %d, want %d", got, want)
	}
	took = 600
	f.exchange(context.Background())
	if got := f.user.received(); got != 1 {
		t.Errorf("answered late: got %d parts, want the one before", got)
	}
}

// Guards against an entry that waits for a dead or frozen coordinator, and against one that
// reports too often or too rarely.
func TestRoomReportsContinueWithoutAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRoomFixture(burdockclock.Wall())
		f.answer = func(ctx context.Context, _ *burdockwire.RoomReport) (*burdockwire.RoomPart, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		f.start()
		defer f.close()
		time.Sleep(3 * time.Second)
		synctest.Wait()
		if got := len(f.asked); got < 9 || got > 11 {
			t.Errorf("reports in 3 s without an answer: got %d, want one each 300 ms", got)
		}
		f.answer = answerPart
		check := func(what string, lowest, highest int) {
			t.Helper()
			before := f.user.received()
			time.Sleep(5 * time.Second)
			synctest.Wait()
			if got := f.user.received() - before; got < lowest || got > highest {
				t.Errorf("%s: got %d parts in 5 s, want %d to %d", what, got, lowest, highest)
			}
		}
		check("active", 46, 55)
		f.user.mu.Lock()
		f.user.running = 0
		f.user.mu.Unlock()
		check("idle", 18, 22)
		f.answer = func(_ context.Context, msg *burdockwire.RoomReport) (*burdockwire.RoomPart, error) {
			return partToWire(msg, burdockroom.Part{Sequence: msg.GetSequence(), ValidFor: 1500, Learning: true, NextReport: 1000})
		}
		check("as the coordinator states", 4, 7)
	})
}

// Guards against an idle entry that reports its first streams only when the idle interval
// has passed.
func TestRoomReportFollowsFirstDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRoomFixture(burdockclock.Wall())
		f.user.running = 0
		f.start()
		defer f.close()
		time.Sleep(time.Second)
		for f.user.received() == 0 {
			time.Sleep(time.Millisecond)
		}
		before := f.user.received()
		for f.user.received() == before {
			time.Sleep(time.Millisecond)
		}
		f.user.mu.Lock()
		f.user.running = 1
		f.user.mu.Unlock()
		time.Sleep((activeReportInterval + 10).Duration())
		synctest.Wait()
		if got, want := f.user.received(), before+2; got != want {
			t.Errorf("reports after the first stream: got %d, want %d", got, want)
		}
	})
}

// Guards against entries of a fleet that report at the same moment when they start together.
func TestRoomReportsOfFleetSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		perMoment := map[int64]int{}
		for range 100 {
			f := newRoomFixture(burdockclock.Wall())
			f.answer = func(ctx context.Context, msg *burdockwire.RoomReport) (*burdockwire.RoomPart, error) {
				mu.Lock()
				defer mu.Unlock()
				perMoment[time.Now().UnixMilli()/10]++
				return answerPart(ctx, msg)
			}
			f.start()
			defer f.close()
		}
		time.Sleep(90 * time.Millisecond)
		mu.Lock()
		defer mu.Unlock()
		for _, n := range perMoment {
			if n > 40 {
				t.Errorf("reports within 10 ms: got %d of 100 entries, want 40 at most", n)
			}
		}
	})
}

// Guards against parts of a coordinator that another agent has replaced, also if they
// arrive late or the listing of leases is an old one.
func TestReplacedRoomCoordinatorIsNotFollowed(t *testing.T) {
	f := newRoomFixture(burdockclock.NewManual(burdockclock.Hour).Clock())
	f.answer = func(ctx context.Context, msg *burdockwire.RoomReport) (*burdockwire.RoomPart, error) {
		f.acquire("a@1", "10.0.0.3:80", 8)
		return answerPart(ctx, msg)
	}
	f.exchange(context.Background())
	if got := f.user.received(); got != 0 || f.last() != "10.0.0.2:7340 5" {
		t.Errorf("replaced during the call: got %d parts of %s, want none of 10.0.0.2:7340 5", got, f.last())
	}
	f.answer = answerPart
	f.exchange(context.Background())
	if got, want := f.last(), "10.0.0.3:7340 8"; got != want || f.user.received() != 1 {
		t.Errorf("next report: got %d parts, asked %s, want one of %s", f.user.received(), got, want)
	}
	f.acquire("a@2", "10.0.0.2:80", 9)
	f.exchange(context.Background())
	if got, want := f.last(), "10.0.0.2:7340 9"; got != want {
		t.Errorf("group formed again: asked %s, want %s", got, want)
	}
	f.leases.Listed([]burdockkv.Item{{Key: prefixGroupLease + "a@1", Value: []byte("10.0.0.2:80/life"), Created: burdockkv.Position{Revision: 5}}})
	calls := len(f.asked)
	f.exchange(context.Background())
	if len(f.asked) != calls {
		t.Errorf("an old listing: asked %s, want nobody", f.last())
	}
}

// downStore is a store that is unavailable while down is set.
type downStore struct {
	*fakeKV
	mu    sync.Mutex
	down  bool
	calls int // while it was down
}

func (s *downStore) List(ctx context.Context, prefix string, read burdockkv.Read) ([]burdockkv.Item, burdockkv.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		s.calls++
		return nil, burdockkv.Position{}, burdockkv.ErrUnavailable.New("down")
	}
	return s.fakeKV.List(ctx, prefix, read)
}

// Guards against an entry that forgets the coordinator while the store is unavailable: the
// holder of the lease extends it meanwhile, and goes on to answer.
func TestRoomCoordinatorIsKeptWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRoomFixture(burdockclock.Wall())
		store := &downStore{fakeKV: newFakeKV()}
		f.leases.Reset()
		_, _ = store.Write(context.Background(), nil, []burdockkv.Put{{Key: prefixGroupLease + "a@1", Value: []byte("10.0.0.3:80/life")}})
		follower := burdockkv.NewRoutedFollower(store, burdockkv.WatchOptions{}, []burdockkv.Route{{Prefix: prefixLease, Sink: f.leases}}, burdockclock.Wall(), zap.NewNop())
		follower.Start()
		defer follower.Close()
		synctest.Wait()
		store.mu.Lock()
		store.down = true
		store.mu.Unlock()
		time.Sleep(10 * time.Second)
		f.exchange(context.Background())
		store.mu.Lock()
		defer store.mu.Unlock()
		if store.calls == 0 || f.user.received() != 1 || f.last() != "10.0.0.3:7340 101" {
			t.Errorf("after %d failed calls to the store: got %d parts, asked %v, want one of 10.0.0.3:7340 101", store.calls, f.user.received(), f.asked)
		}
	})
}

// Guards against answers of broken or hostile senders that reach the gate. Each is refused
// with the field, counted, and leaves the part before in force.
func TestInvalidRoomPartsAreRefused(t *testing.T) {
	f := newRoomFixture(burdockclock.NewManual(burdockclock.Hour).Clock())
	f.exchange(context.Background())
	limits := func(first ...int32) []int32 {
		return append(first, make([]int32, burdockroom.Priorities-len(first))...)
	}
	for field, changes := range map[string][]func(*burdockwire.RoomPart){
		"group":      {func(m *burdockwire.RoomPart) { m.Group = "b@1" }},
		"fence":      {func(m *burdockwire.RoomPart) { m.Fence = 4 }, func(m *burdockwire.RoomPart) { m.Fence = 6 }},
		"sequence":   {func(m *burdockwire.RoomPart) { m.Sequence-- }, func(m *burdockwire.RoomPart) { m.Sequence++ }},
		"validFor":   {func(m *burdockwire.RoomPart) { m.ValidForMillis = -1 }, func(m *burdockwire.RoomPart) { m.ValidForMillis = 0 }, func(m *burdockwire.RoomPart) { m.ValidForMillis = math.MaxInt64 }},
		"nextReport": {func(m *burdockwire.RoomPart) { m.NextReportMillis = -1 }, func(m *burdockwire.RoomPart) { m.NextReportMillis = math.MaxInt64 }},
		"limits": {
			func(m *burdockwire.RoomPart) { m.Limits = limits(-1) }, func(m *burdockwire.RoomPart) { m.Limits = limits(math.MaxInt32) },
			func(m *burdockwire.RoomPart) { m.Limits = limits(1, 2) }, func(m *burdockwire.RoomPart) { m.Limits = nil },
			func(m *burdockwire.RoomPart) { m.Learning, m.Limits = true, make([]int32, burdockroom.Priorities+1) },
		},
		"room":     {func(m *burdockwire.RoomPart) { m.Room = -1 }, func(m *burdockwire.RoomPart) { m.Room = math.MaxInt32 }},
		"running":  {func(m *burdockwire.RoomPart) { m.Running = -1 }},
		"slowdown": {func(m *burdockwire.RoomPart) { m.Slowdown = math.NaN() }, func(m *burdockwire.RoomPart) { m.Slowdown = math.Inf(1) }},
		"loads": {
			func(m *burdockwire.RoomPart) { m.Loads = []*burdockwire.RoomEngineLoad{{Engine: "e", Streams: -1}} },
			func(m *burdockwire.RoomPart) { m.Loads = []*burdockwire.RoomEngineLoad{{Engine: "e"}, {Engine: "e"}} },
			func(m *burdockwire.RoomPart) { m.Loads = make([]*burdockwire.RoomEngineLoad, maxRoomLoads+1) },
		},
	} {
		for i, change := range changes {
			f.answer = func(ctx context.Context, msg *burdockwire.RoomReport) (*burdockwire.RoomPart, error) {
				part, err := answerPart(ctx, msg)
				change(part)
				return part, err
			}
			f.exchange(context.Background())
			counter := f.set.GetOrCreateCounter(fmt.Sprintf("burdock_room_refused_parts_total{service=\"s\",field=%q}", field))
			if got, want := counter.Get(), uint64(i+1); got != want {
				t.Errorf("%s %d: got %d refused parts, want %d", field, i, got, want)
			}
		}
	}
	if got := f.user.received(); got != 1 {
		t.Errorf("parts: got %d, want the valid one only", got)
	}
}

// Guards against a coordinator that is guessed: without a group, a lease or the address of
// its holder nobody is asked. Keys that can't be read name nobody.
func TestRoomCoordinatorIsKnownOrNotAsked(t *testing.T) {
	f := newRoomFixture(burdockclock.NewManual(burdockclock.Hour).Clock())
	unknown := func(what string, service burdockid.Service) {
		t.Helper()
		if to, err := f.directory.coordinator(service); !errorx.IsOfType(err, ErrNoCoordinator) {
			t.Errorf("%s: got %+v, %v, want no coordinator", what, to, err)
		}
	}
	if to, err := f.directory.coordinator("s"); err != nil || to.address != "10.0.0.2:7340" || to.group != "a@1" {
		t.Errorf("got %+v, %v, want the holder of the first group by name", to, err)
	}
	unknown("no member", "other")
	f.acquire("a@1", "10.0.0.9:80", 6)
	unknown("holder without a record", "s")
	f.leases.Listed([]burdockkv.Item{{Key: prefixLease + "other/a@1", Value: []byte("10.0.0.2:80/life")}, {Key: prefixGroupLease + "a@1", Value: []byte("no life")}})
	unknown("no readable lease", "s")
}

// Guards against a group that was formed again and whose former lease has yet to expire: the
// former holder would be asked until then.
func TestLatestLeaseOfGroupCounts(t *testing.T) {
	item := func(group, engine string, fence burdockkv.Revision) burdockkv.Item {
		return burdockkv.Item{Key: prefixGroupLease + group, Value: []byte(engine + "/life"), Created: burdockkv.Position{Revision: fence}}
	}
	items := []burdockkv.Item{item("a@9", "10.0.0.1:80", 5), item("a@10", "10.0.0.2:80", 8)}
	want := map[burdockid.Group]leaseHolder{"a": {group: "a@10", fence: 8, engine: "10.0.0.2:80"}}
	for range items {
		checkSame(t, "holders", readLeaseHolders(items), want, nil)
		slices.Reverse(items)
	}
}
