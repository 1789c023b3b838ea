package burdockgroup_test

import (
	"strings"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
	"burdockbend.example/burdockbend/internal/measure/burdockgrouplab"
)

func withoutHold(cfg *burdockgrouplab.Config) { cfg.EngineIgnoresHold = true }

// withoutCommitRound makes every rank but the first report a commit before it happens and
// commit only when it is released: a protocol with a single "go".
func withoutCommitRound(cfg *burdockgrouplab.Config) {
	claimed := map[burdockgroup.Number]burdockgroup.Commit{}
	cfg.Hooks.Order = func(_ *burdockgroup.Rank, o burdockgroup.Order) burdockgroup.Order {
		if commit, ok := o.Body.(burdockgroup.Commit); ok && o.To != 0 {
			claimed[o.Number] = commit
			o.Body = burdockgroup.Read{}
		}
		return o
	}
	cfg.Hooks.Report = func(r burdockgroup.Report) burdockgroup.Report {
		if commit, ok := claimed[r.Number]; ok && r.Refusal == burdockgroup.RefusalNone {
			r.Status.Switch = burdockgroup.Switch(commit)
		}
		return r
	}
}

// withoutAllArmed makes the last rank report that it is armed when it is not.
func withoutAllArmed(cfg *burdockgrouplab.Config) {
	last := burdockid.Rank(cfg.Ranks - 1)
	claimed := map[burdockgroup.Number]burdockgroup.Arm{}
	cfg.Hooks.Order = func(rank *burdockgroup.Rank, o burdockgroup.Order) burdockgroup.Order {
		if arm, ok := o.Body.(burdockgroup.Arm); ok && o.To == last && rank.State().Engine.Base != 0 {
			claimed[o.Number] = arm
			o.Body = burdockgroup.Read{}
		}
		return o
	}
	cfg.Hooks.Report = func(r burdockgroup.Report) burdockgroup.Report {
		if arm, ok := claimed[r.Number]; ok && r.Refusal == burdockgroup.RefusalNone {
			r.Status.Held, r.Status.HoldAt = true, arm.At
		}
		return r
	}
}

// Each variant lacks one safeguard. If the checker detected nothing in any of them, the
// success of TestRandomSchedulesNeverSplitOrStall would prove nothing.
func TestCheckerDetectsMissingSafeguard(t *testing.T) {
	const split = "used map"
	const seeds = 3000
	variants := []struct {
		name   string
		weaken func(*burdockgrouplab.Config)
	}{
		{"hold", withoutHold},
		{"commit round", withoutCommitRound},
		{"all armed", withoutAllArmed},
	}
	for _, v := range variants {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			for seed := range seeds {
				cfg := trialConfig(uint64(seed))
				v.weaken(&cfg)
				failures := burdockgrouplab.NewWorld(cfg).Trial()
				if len(failures) > 0 && strings.Contains(failures[0], split) {
					t.Logf("seed %d: %.120s", seed, failures[0])
					return
				}
			}
			t.Errorf("no split detected in %d seeds", seeds)
		})
	}
}

// A controller's clock stops while its VM is suspended, so it believes forever that it
// holds its lease, and its orders are sent beside its successor's. The order numbers that
// the ranks keep are enough: the second controller's reading voids the first one's
// orders.
func TestOrderNumbersSufficeWithoutLeaseCheck(t *testing.T) {
	const seeds = 1000
	const never burdockclock.Millis = 1 << 40
	for seed := range seeds {
		cfg := trialConfig(uint64(seed))
		cfg.Hooks.Lease = func(l burdockgroup.Lease) burdockgroup.Lease {
			l.Until = never
			return l
		}
		if failures := burdockgrouplab.NewWorld(cfg).Trial(); len(failures) > 0 {
			t.Fatalf("seed %d: %v", seed, failures)
		}
	}
}
