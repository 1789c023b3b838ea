package burdockexpert_test

import (
	"fmt"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockexpert"
)

func Example() {
	popularity := burdockexpert.NewPopularity(1, 4, burdockclock.Minute)
	for window := range burdockclock.Millis(5) {
		popularity.Observe(window*burdockclock.Second, 0, []burdockid.Tokens{700_000, 100_000, 100_000, 100_000})
	}
	current := burdockexpert.NewMap(burdockexpert.Shape{Layers: 1, Ranks: 2, Experts: 4})
	for e := range burdockid.Expert(4) {
		current.Add(0, burdockid.Rank(e)/2, e)
	}
	planner := burdockexpert.New(burdockexpert.Config{})
	decision := planner.Plan(burdockclock.Minute, burdockexpert.Input{
		Popularity:  popularity.Snapshot(),
		Current:     current,
		Ranks:       []burdockexpert.Rank{{Slots: 3, Speed: 1}, {Slots: 3, Speed: 1}},
		Weights:     burdockexpert.Weights{Skew: 4, Cost: 1},
		ExpertBytes: 44_000_000,
		StoreRate:   1_000_000_000,
		Horizon:     10 * burdockclock.Minute,
	})
	switch d := decision.(type) {
	case burdockexpert.Stay:
		fmt.Println("stay:", d.Reason)
	case burdockexpert.Move:
		fmt.Println("move:", d.Reason, d.Loads, d.Cost, "ms")
		fmt.Println(d.Map.Experts(0, 0), d.Map.Experts(0, 1))
	}
	// Output:
	// move: savingOutweighsCost [{0 0 2} {0 1 0}] 88 ms
	// [0 1 2] [0 2 3]
}
