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

func TestCommandRejectsValuesThatNoRunCanUse(t *testing.T) {
	for _, args := range [][]string{{"-replicas", "0"}, {"-utilisation", "0"}, {"-lag", "-1"}, {"-seconds", "0"}, {"-policies", "best"}} {
		if err := Command(&bytes.Buffer{}).ParseAndRun(context.Background(), args); err == nil {
			t.Errorf("%v: no error, want one", args)
		}
	}
}

func quick(replicas, entries int, s Scenario) Options {
	o := DefaultOptions()
	o.Replicas, o.Entries, o.Scenario = replicas, entries, s
	return o
}

func TestLoadIsNearPerfectKnowledge(t *testing.T) {
	for _, skew := range []float64{0, 1, 1.3} {
		o := quick(64, 12, Steady)
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

// Reports are five seconds old. Entries that all chose the least loaded by
// such views would send everything to the same upstream until the next report.
// The callers' wait must stay far below that of the least of all.
func TestLaggingLoadDoesNotHerd(t *testing.T) {
	o := quick(64, 12, Steady)
	o.Lag = 5000
	got, herding := Run(o, EntryPlacer{}), Run(o, LeastLoaded{})
	if want := herding.WaitP99 / 10; got.WaitP99 > want {
		t.Errorf("p99 of waits = %d ms, want at most %d ms", got.WaitP99, want)
	}
}

// One replica works at a quarter of the pace of its peers. Requests that are
// sent there take four times as long. Judged by its own answers, it must get
// less than the third of its share that its occupied slots alone would leave.
func TestSlowReplicaGetsLittle(t *testing.T) {
	got := Run(quick(64, 6, SlowReplicas), EntryPlacer{})
	if share := 1.0 / 64; got.SlowShare > share/3 {
		t.Errorf("share of requests on the slow replica = %v, want at most %v", got.SlowShare, share/3)
	}
}

// A data centre of three is lost at once with all that runs there, and comes
// back at once. What ran there is cut, and its callers are told. Everything
// that arrives later must go to the rest; while the rest has room, no caller
// may be given up.
func TestDataCentreLostAndBack(t *testing.T) {
	o := quick(63, 6, LostDataCentre)
	o.Utilisation = 0.5
	got := Run(o, EntryPlacer{})
	if got.Refused > 0 {
		t.Errorf("given up = %d of %d, want none while two thirds have room", got.Refused, got.Requests)
	}
	if got.Interrupted == 0 {
		t.Error("nothing was cut, want the running requests of the lost third")
	}
}

// Demand is twice what the replicas can do, for two minutes. Queues fill, then
// nearly all refuse. The work done must stay that of full replicas, and an
// entry must stop offering one request around among upstreams that are full.
func TestAllRefuse(t *testing.T) {
	o := quick(16, 3, Steady)
	o.Utilisation = 2
	got := Run(o, EntryPlacer{})
	if got.LoadP50 < 1 {
		t.Errorf("p50 of load = %v, want every slot taken", got.LoadP50)
	}
	if got.Refused == 0 {
		t.Error("nobody was given up, want about half of all")
	}
	if want := 4.0; got.Offers > want {
		t.Errorf("offers a request = %v, want at most %v", got.Offers, want)
	}
}
