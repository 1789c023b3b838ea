package burdockplacelab

import (
	"bytes"
	"context"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockgolden"
)

func TestCommandGolden(t *testing.T) {
	var out bytes.Buffer
	args := []string{"-replicas", "6", "-entries", "2", "-slots", "8", "-seconds", "10", "-seed", "7"}
	if err := Command(&out).ParseAndRun(context.Background(), args); err != nil {
		t.Fatal(err)
	}
	burdockgolden.Compare(t, "placing", out.String())
}

func TestCommandRejectsBadOptions(t *testing.T) {
	for _, args := range [][]string{{"-replicas", "0"}, {"-utilisation", "0"}, {"-lag", "-1"}, {"-seconds", "0"}, {"-policies", "best"}} {
		if err := Command(&bytes.Buffer{}).ParseAndRun(context.Background(), args); err == nil {
			t.Errorf("%v: no error, want one", args)
		}
	}
}

func testOptions(replicas, entries int, s Scenario) Options {
	o := DefaultOptions()
	o.Replicas, o.Entries, o.Scenario = replicas, entries, s
	return o
}

func TestLoadIsNearPerfectKnowledge(t *testing.T) {
	for _, skew := range []float64{0, 1, 1.3} {
		o := testOptions(64, 12, Steady)
		o.Skew = skew
		got, perfect := Run(o, EntryPlacer{}), Run(o, PerfectKnowledge{})
		if want := 1.1 * perfect.LoadP99; got.LoadP99 > want {
			t.Errorf("skew %v: p99 of load = %v, want at most %v", skew, got.LoadP99, want)
		}
		if want := 1.2 * Run(o, TwoChoices{}).HitRate; got.HitRate < want {
			t.Errorf("skew %v: hit rate = %v, want at least %v", skew, got.HitRate, want)
		}
	}
}

// Load reports are five seconds old. Entries that all choose the least loaded replica
// by such reports send everything to the same one until the next report. Waits
// must stay far below those of the LeastLoaded policy, which does this.
func TestStaleLoadReportsDoNotHerd(t *testing.T) {
	o := testOptions(64, 12, Steady)
	o.Lag = 5000
	got, herding := Run(o, EntryPlacer{}), Run(o, LeastLoaded{})
	if want := herding.WaitP99 / 10; got.WaitP99 > want {
		t.Errorf("p99 of waits = %d ms, want at most %d ms", got.WaitP99, want)
	}
}

// One replica is four times slower than the others. Its occupied slots alone would
// cut its share of the requests to a third; ejection by its response times must
// take it lower still.
func TestSlowReplicaGetsFewRequests(t *testing.T) {
	got := Run(testOptions(64, 6, SlowReplicas), EntryPlacer{})
	if share := 1.0 / 64; got.SlowShare > share/3 {
		t.Errorf("share of requests on the slow replica = %v, want at most %v", got.SlowShare, share/3)
	}
}

// One of three data centres goes down with all its replicas and later comes back.
// The requests that ran there are interrupted. All later ones must go to the other
// replicas, and as long as these have capacity no request may be refused for good.
func TestDataCentreOutage(t *testing.T) {
	o := testOptions(63, 6, LostDataCentre)
	o.Utilisation = 0.5
	got := Run(o, EntryPlacer{})
	if got.Refused > 0 {
		t.Errorf("refused requests = %d of %d, want none while two data centres have capacity", got.Refused, got.Requests)
	}
	if got.Interrupted == 0 {
		t.Error("interrupted requests = 0, want the running requests of the lost data centre")
	}
}

// The load is twice the capacity for two minutes. The queues fill up, then nearly all
// replicas refuse. All slots must stay in use, and an entry must not offer a
// request to one full replica after another.
func TestOverload(t *testing.T) {
	o := testOptions(16, 3, Steady)
	o.Utilisation = 2
	got := Run(o, EntryPlacer{})
	if got.LoadP50 < 1 {
		t.Errorf("p50 of load = %v, want every slot taken", got.LoadP50)
	}
	if got.Refused == 0 {
		t.Error("refused requests = 0, want about half of all")
	}
	if want := 4.0; got.Offers > want {
		t.Errorf("offers per request = %v, want at most %v", got.Offers, want)
	}
}
