package burdockexpert

import (
	"fmt"
	"math"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockfinding"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Rank is what a planner knows of one rank.
type Rank struct {
	// Slots is the number of experts that the rank has memory for in each
	// layer. Donated hardware differs. 0 stands for a rank that is gone.
	Slots int
	// Speed is the rank's speed against its peers: 1 is normal, 0.5 takes
	// twice the time for the same load.
	Speed float64
	// MaxLayerLoads is the number of new experts of one layer that the rank can load
	// beside those in use; 0 is no bound. It does not hold for a rank that is
	// Empty or a map that has to be repaired.
	MaxLayerLoads int
	// MaxTotalLoads is the same over all layers together; 0 is no bound. A change is
	// in force only when the last rank has loaded.
	MaxTotalLoads int
	// Empty marks a rank that was replaced and holds nothing, whatever the
	// present map says.
	Empty bool
}

// Weights is the exchange rate of a profile: Skew times the time lost to
// uneven ranks is worth Cost times the time spent moving experts.
type Weights struct {
	Skew float64
	Cost float64
}

// Input is all that one decision rests on.
type Input struct {
	Popularity Snapshot
	Current    *Map // nil before the first placement
	Ranks      []Rank
	Weights    Weights
	// ExpertBytes is the size of the weights of one expert of one layer.
	ExpertBytes burdockid.Bytes
	// StoreRate is the weight store's rate limit for the group.
	StoreRate burdockid.BytesPerSecond
	// Horizon is how long the popularity is expected to stay as it is.
	Horizon burdockclock.Millis
}

const (
	// minSpeed and maxSpeed bound how far a rank is taken to be from its
	// peers: beyond them a rank is as good as gone, or its measurement wrong,
	// and its time would drown every other rank's.
	minSpeed = 0.01
	maxSpeed = 100
	// millisPerSecond converts the rate limit's unit.
	millisPerSecond = 1000
)

// shape returns the shape of the map that the input asks for.
func (in *Input) shape() Shape {
	return Shape{Layers: len(in.Popularity.Share), Ranks: len(in.Ranks), Experts: in.Popularity.Experts}
}

// moveCost returns the time that the weight store takes to deliver n experts.
func (in *Input) moveCost(n int) burdockclock.Millis {
	return burdockclock.Millis(math.Ceil(float64(n) * in.perMove()))
}

// perMove returns the cost of one move in milliseconds, with its fraction.
func (in *Input) perMove() float64 {
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
	room := 0
	for r, rank := range in.Ranks {
		room += min(max(0, rank.Slots), s.Experts)
		if rank.Slots < 0 {
			add(fmt.Sprintf("ranks.%d.slots", r), fmt.Sprintf("is %d", rank.Slots), "0 or more")
		}
		if !(rank.Speed >= minSpeed && rank.Speed <= maxSpeed) {
			add(fmt.Sprintf("ranks.%d.speed", r), fmt.Sprintf("is %g", rank.Speed), fmt.Sprintf("from %g to %g", minSpeed, float64(maxSpeed)))
		}
	}
	if room < s.Experts {
		add("ranks", fmt.Sprintf("have %d slots together", room), fmt.Sprintf("at least %d", s.Experts))
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
