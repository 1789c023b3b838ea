package burdockgroup_test

import (
	"fmt"
	"sync"
	"testing"

	"burdockbend.example/burdockbend/internal/group/burdockgroup"
	"burdockbend.example/burdockbend/internal/measure/burdockgrouplab"
)

// trialConfig is a small group with short steps and quick loads.
func trialConfig(seed uint64) burdockgrouplab.Config {
	return burdockgrouplab.Config{
		Ranks:       2 + int(seed%3),
		Controllers: 2,
		Seed:        seed,
		StepMicros:  4500,
		DelayMicros: 300,
		TailMicros:  700,
		LoadMicros:  10_000,
		EngineCheck: seed%2 == 0,
		Lead:        2,
		MaxLead:     64,
		LoadPoll:    20,
	}
}

// count has the hooks of a world count what its schedule reaches.
func count(cfg *burdockgrouplab.Config, reached map[string]int) {
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

// mustReach is what the schedules have to come to, so that their quiet means
// something.
var mustReach = []string{
	"burdockgroup.Read", "burdockgroup.Load", "burdockgroup.Arm", "burdockgroup.Commit",
	"burdockgroup.Release", "burdockgroup.Abort", "burdockgroup.Begin",
	"commit by a successor",
	"refusal learning", "refusal busy", "refusal oldNumber", "refusal wrongIncarnation",
}

// What the caller sees if this fails: an answer computed by experts of two
// different maps, or a group that never answers again. Controllers are killed,
// frozen and woken past their lease, agents and engines are replaced, the store
// goes out, and messages come late, twice, crossed or never, at random points.
func TestRandomSchedulesNeverSplitNorStick(t *testing.T) {
	const seeds, shards = 3000, 4
	var mu sync.Mutex
	all := map[string]int{}
	t.Run("seeds", func(t *testing.T) {
		for shard := range shards {
			t.Run(fmt.Sprint(shard), func(t *testing.T) {
				t.Parallel()
				reached := map[string]int{}
				for seed := shard; seed < seeds; seed += shards {
					cfg := trialConfig(uint64(seed))
					count(&cfg, reached)
					if failures := burdockgrouplab.NewWorld(cfg).Trial(); len(failures) > 0 {
						t.Errorf("seed %d: %v", seed, failures)
						return
					}
				}
				mu.Lock()
				defer mu.Unlock()
				for _, what := range mustReach {
					all[what] += reached[what]
				}
			})
		}
	})
	for _, what := range mustReach {
		if all[what] == 0 {
			t.Errorf("no schedule reached %s", what)
		}
	}
	t.Logf("reached: %v", all)
}
