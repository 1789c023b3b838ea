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

func reportWithSlowdown(factor float64) RankReport { return RankReport{Slowdown: &factor} }

// An engine keeps reporting an invalid speed. It must count as the baseline speed, and be
// logged only once.
func TestInvalidSpeedCountsAsBaseline(t *testing.T) {
	for _, factor := range []float64{0, -1, 1e12, math.NaN()} {
		core, logs := observer.New(zapcore.WarnLevel)
		speed := newEngineSpeed(zap.New(core))
		for range 3 {
			speed.observe(reportWithSlowdown(factor))
		}
		if got, want := speed.current(), burdockspeed.Baseline; got != want {
			t.Errorf("slowdown %g: got speed %v, want %v", factor, got, want)
		}
		if got, want := logs.Len(), 1; got != want {
			t.Errorf("slowdown %g: got %d warnings, want %d", factor, got, want)
		}
	}
}

func TestReportWithoutSpeedLeavesSpeedUnknown(t *testing.T) {
	speed := newEngineSpeed(zap.NewNop())
	speed.observe(RankReport{})
	if got := speed.current(); got != 0 {
		t.Errorf("got %v, want 0", got)
	}
}

func publishedSpeeds(f *fakeKV) map[string]burdockspeed.Speed {
	items, _, _ := f.List(context.Background(), prefixSpeed, burdockkv.ReadLatest)
	return readSpeeds(items, zap.NewNop())
}

// An engine becomes slow and recovers, and the lease of its record lapses in between.
// Entries must see it as slow exactly while it is slow.
func TestSlowEngineHasRecordWhileSlow(t *testing.T) {
	store, speed := newFakeKV(), newEngineSpeed(zap.NewNop())
	p := newSpeedPublisher(store, "10.0.0.1:80", speed, zap.NewNop())
	publishSlowdown := func(factor float64) map[string]burdockspeed.Speed {
		t.Helper()
		speed.observe(reportWithSlowdown(factor))
		if _, err := p.update(); err != nil {
			t.Fatal(err)
		}
		return publishedSpeeds(store)
	}
	if got := publishSlowdown(1); len(got) != 0 || store.calls != 0 {
		t.Errorf("baseline: got %v after %d calls, want no record and no call", got, store.calls)
	}
	if got, want := publishSlowdown(2)["10.0.0.1:80"], burdockspeed.Speed(0.5); got != want {
		t.Errorf("slow: got %v, want %v", got, want)
	}
	calls := store.calls
	if publishSlowdown(2.05); store.calls != calls {
		t.Errorf("insignificant change: got %d more calls, want none", store.calls-calls)
	}
	store.lapse(p.lease)
	if _, err := p.update(); err == nil {
		t.Error("renewing a lease that has ended: got no error")
	}
	if got, want := publishSlowdown(2)["10.0.0.1:80"], burdockspeed.Speed(0.5); got != want {
		t.Errorf("after the lease lapsed: got %v, want %v", got, want)
	}
	if got, want := publishSlowdown(4)["10.0.0.1:80"], burdockspeed.Speed(0.25); got != want {
		t.Errorf("slower: got %v, want %v", got, want)
	}
	if got := publishSlowdown(1); len(got) != 0 {
		t.Errorf("recovered: got %v, want no record", got)
	}
}

// An agent is stopped while its engine is slow. It must not leave a record that nobody
// would delete.
func TestStoppedAgentLeavesNoRecord(t *testing.T) {
	store, speed := newFakeKV(), newEngineSpeed(zap.NewNop())
	speed.observe(reportWithSlowdown(3))
	p := newSpeedPublisher(store, "10.0.0.1:80", speed, zap.NewNop())
	p.start()
	for deadline := time.Now().Add(10 * time.Second); len(speed.changed) > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the change was not processed")
		}
	}
	p.close()
	if got := publishedSpeeds(store); len(got) != 0 {
		t.Errorf("got %v, want no record", got)
	}
}

// Records under the prefix may come from another writer and be unreadable or contain
// invalid speeds. They must be skipped, while valid ones take effect.
func TestInvalidSpeedRecordsAreSkipped(t *testing.T) {
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
