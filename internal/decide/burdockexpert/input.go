package burdockexpert

import (
	"fmt"
	"math"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockfinding"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Rank is what a planner knows about one rank.
type Rank struct {
	// Slots is the number of experts per layer that fit into the rank's memory.
	// It may differ between ranks, as their hardware does. 0 means that the
	// rank is lost.
	Slots int
	// Speed is the rank's speed relative to its peers: 1 is normal, at 0.5 the
	// same tokens take twice the time.
	Speed float64
	// MaxLayerLoads is the number of new experts per layer that the rank can
	// load while the old ones are still in use; 0 means no limit. It does not
	// apply to loads that make a map usable again, such as those of an Empty
	// rank.
	MaxLayerLoads int
	// MaxTotalLoads limits the new experts of all layers together; 0 means no
	// limit. A new map takes effect only when the last rank has loaded it.
	MaxTotalLoads int
	// Empty marks a rank that was replaced and holds no experts, whatever the
	// current map states.
	Empty bool
}

// Weights are a profile's weights of the two sides of a decision: the time lost
// to skew between the ranks counts Skew times, the time spent on loading
// experts Cost times.
type Weights struct {
	Skew float64
	Cost float64
}

// Input is everything that one decision depends on.
type Input struct {
	Popularity Snapshot
	Current    *Map // the map in use; nil before the first placement
	Ranks      []Rank
	Weights    Weights
	// ExpertBytes is the size of the weights of one expert of one layer.
	ExpertBytes burdockid.Bytes
	// StoreRate is the weight store's rate limit for the group.
	StoreRate burdockid.BytesPerSecond
	// Horizon is the time for which the popularity is expected to stay as it is.
	Horizon burdockclock.Millis
}

const (
	// minSpeed and maxSpeed bound a rank's speed. Beyond them the rank is as
	// good as lost or was measured wrongly, and its time would outweigh that
	// of all other ranks.
	minSpeed = 0.01
	maxSpeed = 100
	// millisPerSecond converts seconds to milliseconds.
	millisPerSecond = 1000
)

// shape returns the shape of the map that the input asks for.
func (in *Input) shape() Shape {
	return Shape{Layers: len(in.Popularity.Share), Ranks: len(in.Ranks), Experts: in.Popularity.Experts}
}

// loadTime returns the time that the weight store takes to deliver n experts,
// rounded up.
func (in *Input) loadTime(n int) burdockclock.Millis {
	return burdockclock.Millis(math.Ceil(float64(n) * in.millisPerLoad()))
}

// millisPerLoad returns the time to load one expert in milliseconds, unrounded.
func (in *Input) millisPerLoad() float64 {
	return float64(in.ExpertBytes) * millisPerSecond / float64(in.StoreRate)
}

// Check returns what makes the input unusable.
func (in *Input) Check() burdockfinding.List {
	var list burdockfinding.List
	add := func(key, what, want string) {
		list.Add(burdockfinding.Finding{Key: key, What: what, Want: want})
	}
	s := in.shape()
	if !s.valid() {
		add("shape", fmt.Sprintf("%+v", s), "layers, ranks and experts within limits")
		return list
	}
	in.checkPopularity(add)
	totalSlots := 0
	for r, rank := range in.Ranks {
		totalSlots += min(max(0, rank.Slots), s.Experts)
		if rank.Slots < 0 {
			add(fmt.Sprintf("ranks.%d.slots", r), fmt.Sprintf("is %d", rank.Slots), "0 or more")
		}
		if !(rank.Speed >= minSpeed && rank.Speed <= maxSpeed) {
			add(fmt.Sprintf("ranks.%d.speed", r), fmt.Sprintf("is %g", rank.Speed), fmt.Sprintf("from %g to %g", minSpeed, float64(maxSpeed)))
		}
	}
	if totalSlots < s.Experts {
		add("ranks", fmt.Sprintf("have %d slots together", totalSlots), fmt.Sprintf("at least %d", s.Experts))
	}
	if !positive(in.Weights.Skew) {
		add("weights.skew", fmt.Sprintf("is %g", in.Weights.Skew), "above 0")
	}
	if !positive(in.Weights.Cost) {
		add("weights.cost", fmt.Sprintf("is %g", in.Weights.Cost), "above 0")
	}
	if in.ExpertBytes <= 0 {
		add("expertBytes", fmt.Sprintf("is %d", in.ExpertBytes), "above 0")
	}
	if in.StoreRate <= 0 {
		add("storeRate", fmt.Sprintf("is %d", in.StoreRate), "above 0")
	}
	if in.Horizon < 0 {
		add("hold", fmt.Sprintf("is %d", in.Horizon), "0 or more")
	}
	return list
}

func (in *Input) checkPopularity(add func(key, what, want string)) {
	if len(in.Popularity.Deviation) != len(in.Popularity.Share) {
		add("popularity", "has shares and deviations of different lengths", "one of each for a layer")
		return
	}
	for l, share := range in.Popularity.Share {
		if len(share) != in.Popularity.Experts || len(in.Popularity.Deviation[l]) != in.Popularity.Experts {
			add(fmt.Sprintf("popularity.%d", l), fmt.Sprintf("has %d shares", len(share)), fmt.Sprint(in.Popularity.Experts))
			continue
		}
		for e := range share {
			if !(share[e] >= 0 && share[e] <= 1) || !(in.Popularity.Deviation[l][e] >= 0) {
				add(fmt.Sprintf("popularity.%d.%d", l, e), fmt.Sprintf("is %g", share[e]), "a share from 0 to 1 and its deviation")
			}
		}
	}
}

func positive(f float64) bool { return f > 0 && !math.IsInf(f, 0) }
