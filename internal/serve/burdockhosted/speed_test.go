package burdockhosted

import (
	"context"
	"math"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/decide/burdockspeed"
	"burdockbend.example/burdockbend/internal/state/burdockkv"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

func slowdown(times float64) RankReport { return RankReport{Slowdown: &times} }

// An engine's report tells a speed that can't be, again and again. The group goes
// on as if it were usual, and the log says so once.
func TestSpeedThatCannotBeIsTakenForUsual(t *testing.T) {
	for _, times := range []float64{0, -1, 1e12, math.NaN()} {
		core, logs := observer.New(zapcore.WarnLevel)
		own := newEngineSpeed(zap.New(core))
		for range 3 {
			own.observe(slowdown(times))
		}
		if got, want := own.current(), burdockspeed.Baseline; got != want {
			t.Errorf("slowdown %g: got speed %v, want %v", times, got, want)
		}
		if got, want := logs.Len(), 1; got != want {
			t.Errorf("slowdown %g: got %d warnings, want %d", times, got, want)
		}
	}
}

func TestReportWithoutASpeedTellsNone(t *testing.T) {
	own := newEngineSpeed(zap.NewNop())
	own.observe(RankReport{})
	if got := own.current(); got != 0 {
		t.Errorf("got %v, want 0", got)
	}
}

func recordsOf(f *fakeKV) map[string]burdockspeed.Speed {
	items, _, _ := f.List(context.Background(), prefixSpeed)
	return readSpeeds(items, zap.NewNop())
}

// An engine turns slow and is sound again, and the lease of its record lapses in
// between. Entries see it slow for as long as it is, and no longer.
func TestSlowEngineIsAnnouncedWhileItIsSlow(t *testing.T) {
	store, own := newFakeKV(), newEngineSpeed(zap.NewNop())
	a := newSpeedPublisher(store, "10.0.0.1:80", own, zap.NewNop())
	tell := func(times float64) map[string]burdockspeed.Speed {
		t.Helper()
		own.observe(slowdown(times))
		if _, err := a.update(); err != nil {
			t.Fatal(err)
		}
		return recordsOf(store)
	}
	if got := tell(1); len(got) != 0 || store.calls != 0 {
		t.Errorf("usual: got %v after %d calls, want no record and no call", got, store.calls)
	}
	if got, want := tell(2)["10.0.0.1:80"], burdockspeed.Speed(0.5); got != want {
		t.Errorf("slow: got %v, want %v", got, want)
	}
	calls := store.calls
	if tell(2.05); store.calls != calls {
		t.Errorf("a change that is not notable: got %d calls more, want none", store.calls-calls)
	}
	store.lapse(a.lease)
	if _, err := a.update(); err == nil {
		t.Error("renewing a lease that has ended: got no error")
	}
	if got, want := tell(2)["10.0.0.1:80"], burdockspeed.Speed(0.5); got != want {
		t.Errorf("after the lease lapsed: got %v, want %v", got, want)
	}
	if got, want := tell(4)["10.0.0.1:80"], burdockspeed.Speed(0.25); got != want {
		t.Errorf("slower: got %v, want %v", got, want)
	}
	if got := tell(1); len(got) != 0 {
		t.Errorf("sound again: got %v, want no record", got)
	}
}

// An agent is stopped while its engine is slow. No record may be left that nobody
// would take back.
func TestStoppedAgentLeavesNoRecord(t *testing.T) {
	store, own := newFakeKV(), newEngineSpeed(zap.NewNop())
	own.observe(slowdown(3))
	a := newSpeedPublisher(store, "10.0.0.1:80", own, zap.NewNop())
	a.start()
	for deadline := time.Now().Add(10 * time.Second); len(own.changed) > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the change was not taken up")
		}
	}
	a.close()
	if got := recordsOf(store); len(got) != 0 {
		t.Errorf("got %v, want no record", got)
	}
}

// Records under the prefix come from another writer: bytes that can't be read and
// speeds that can't be. They slow no engine; the others hold.
func TestRecordsOfAnotherWriterSlowNothing(t *testing.T) {
	items := []burdockkv.Item{
		{Key: prefixSpeed + "a", Value: []byte("\xff")},
		{Key: prefixSpeed + "b", Value: []byte(`{"upstream":"b","speed":0}`)},
		{Key: prefixSpeed + "c", Value: []byte(`{"upstream":"c","speed":"fast"}`)},
		{Key: prefixSpeed + "d", Value: []byte(`{"upstream":"d","speed":0.5}`)},
	}
	got := readSpeeds(items, zap.NewNop())
	if len(got) != 1 || got["d"] != 0.5 {
		t.Errorf("got %v, want d at 0.5 alone", got)
	}
}
