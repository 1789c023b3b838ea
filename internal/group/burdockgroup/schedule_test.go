package burdockgroup_test

import (
	"flag"
	"fmt"
	"sync"
	"testing"

	"burdockbend.example/burdockbend/internal/group/burdockgroup"
	"burdockbend.example/burdockbend/internal/measure/burdockgrouplab"
)

// A longer run of the random schedules, with other seeds:
//
//	go test -run RandomSchedules ./internal/group/burdockgroup -seeds 100000 -firstSeed 1000000
var (
	seeds     = flag.Int("seeds", 3000, "random schedules to run")
	firstSeed = flag.Uint64("firstSeed", 0, "seed of the first random schedule")
)

// trialConfig returns a small group with short steps and quick loads.
func trialConfig(seed uint64) burdockgrouplab.Config {
	return burdockgrouplab.Config{
		Ranks:            2 + int(seed%3),
		Controllers:      2,
		Seed:             seed,
		StepMicros:       4500,
		DelayMicros:      300,
		TailMicros:       700,
		LoadMicros:       10_000,
		EngineCheck:      seed%2 == 0,
		EngineOrdersLate: seed%4 < 2,
		Lead:             2,
		MaxLead:          64,
		LoadPoll:         20,
	}
}

// variedConfig varies the group's size, its controllers and the network.
func variedConfig(seed uint64) burdockgrouplab.Config {
	cfg := trialConfig(seed)
	cfg.Ranks = 1 + int(seed%6)
	cfg.Controllers = 1 + int(seed/7%3)
	cfg.EngineCheck = seed/2%2 == 0
	cfg.EngineOrdersLate = seed%2 == 0
	cfg.Lead = 1
	if seed%5 == 0 {
		cfg.TailMicros = 5000
	}
	if seed%3 == 0 {
		cfg.LoadMicros = 60_000
	}
	return cfg
}

// countReached makes the hooks of a simulation count what its schedule reaches.
func countReached(cfg *burdockgrouplab.Config, reached map[string]int) {
	cfg.Hooks.Order = func(_ *burdockgroup.Rank, o burdockgroup.Order) burdockgroup.Order {
		reached[fmt.Sprintf("%T", o.Body)]++
		if commit, ok := o.Body.(burdockgroup.Commit); ok && fenceOf(commit.Map) < o.Number.Fence {
			reached["commit by a successor"]++
		}
		return o
	}
	cfg.Hooks.Report = func(r burdockgroup.Report) burdockgroup.Report {
		reached["refusal "+string(r.Refusal)]++
		return r
	}
}

// requiredCoverage lists what the schedules together must reach; otherwise a run without
// failures would mean little.
var requiredCoverage = []string{
	"burdockgroup.Read", "burdockgroup.Load", "burdockgroup.Arm", "burdockgroup.Commit",
	"burdockgroup.Release", "burdockgroup.Abort", "burdockgroup.Begin",
	"commit by a successor",
	"refusal learning", "refusal busy", "refusal oldNumber", "refusal wrongIncarnation",
}

// Guards against answers computed by experts of two different maps and against a group
// that never answers again. At random points, controllers are killed, or frozen and
// resumed after their lease has expired, agents and engines are replaced, the store is
// unavailable, and messages arrive late, twice, out of order or never.
func TestRandomSchedulesNeverSplitOrStall(t *testing.T) {
	const shards = 4
	var mu sync.Mutex
	all := map[string]int{}
	t.Run("seeds", func(t *testing.T) {
		for shard := range shards {
			t.Run(fmt.Sprint(shard), func(t *testing.T) {
				t.Parallel()
				reached := map[string]int{}
				for i := shard; i < *seeds; i += shards {
					seed := *firstSeed + uint64(i)
					cfg := variedConfig(seed)
					countReached(&cfg, reached)
					if failures := burdockgrouplab.NewWorld(cfg).Trial(); len(failures) > 0 {
						t.Errorf("seed %d: %v", seed, failures)
						return
					}
				}
				mu.Lock()
				defer mu.Unlock()
				for _, what := range requiredCoverage {
					all[what] += reached[what]
				}
			})
		}
	})
	for _, what := range requiredCoverage {
		if all[what] == 0 {
			t.Errorf("no schedule reached %s", what)
		}
	}
	t.Logf("reached: %v", all)
}
