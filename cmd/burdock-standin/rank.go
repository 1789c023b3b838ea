package main

import (
	"flag"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/standin/burdockfakeengine"
)

// rankFlags adds the flags of an engine that is a rank of a lock-stepped group. The
// returned function gives their values; call it after parsing.
func rankFlags(flags *flag.FlagSet) func() burdockfakeengine.RankConfig {
	lockstep := flags.String("lockstep", "", "IP and port of the lockstep of the engine's group")
	rank := flags.Int("rank", 0, "the engine's rank in its group")
	step := flags.Duration("group-step", 4500*time.Microsecond, "time that a step of the group takes")
	load := flags.Duration("load", 2*time.Second, "time that an expert map takes to load")
	fenced := flags.Bool("fenced", false, "refuse orders with an old fencing number")
	deaf := flags.Bool("deaf", false, "say that the engine is held, and run on")
	layers := flags.Int("layers", 2, "layers with experts")
	experts := flags.Int("experts", 8, "experts of a layer")
	slots := flags.Int("slots", 4, "experts of a layer that the engine has memory for")
	drift := flags.Uint64("drift-every", 0, "steps after which other experts are popular; 0 for never")
	seed := flags.Uint64("seed", 1, "seed of the popularity of experts")
	return func() burdockfakeengine.RankConfig {
		return burdockfakeengine.RankConfig{
			Lockstep: *lockstep, Rank: burdockid.Rank(*rank),
			Step: *step, Load: *load, Fenced: *fenced, IgnoreHold: *deaf,
			Layers: *layers, Experts: *experts, Slots: *slots,
			DriftEvery: burdockid.Step(*drift), Seed: *seed,
		}
	}
}
