package burdockexpert

import (
	"math"
	"math/rand/v2"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// tokenSource draws token counts for tests from a known popularity.
type tokenSource struct {
	rng     *rand.Rand
	weights [][]float64 // by layer and expert, on any scale
}

const (
	testWeightDeviation = 0.8 // standard deviation of the logarithm of an expert's weight
	testTokens          = 2_000_000
	testHalfLife        = burdockclock.Minute
	testExpertBytes     = burdockid.Bytes(44_000_000)
	testStoreRate       = burdockid.BytesPerSecond(1_000_000_000)
	testHorizon         = 30 * burdockclock.Minute
)

func newTokenSource(seed uint64, layers, experts int) *tokenSource {
	d := &tokenSource{rng: rand.New(rand.NewPCG(seed, 1)), weights: make([][]float64, layers)}
	for l := range d.weights {
		d.weights[l] = make([]float64, experts)
		for e := range d.weights[l] {
			d.weights[l][e] = math.Exp(testWeightDeviation * d.rng.NormFloat64())
		}
	}
	return d
}

// observe adds one window to p. The variance of the counts is burst times that of
// a Poisson distribution.
func (d *tokenSource) observe(p *Popularity, now burdockclock.Millis, burst float64) {
	for l, weights := range d.weights {
		total := 0.0
		for _, w := range weights {
			total += w
		}
		counts := make([]burdockid.Tokens, len(weights))
		for e, w := range weights {
			expected := testTokens * w / total
			counts[e] = burdockid.Tokens(max(0, expected+d.rng.NormFloat64()*math.Sqrt(expected*burst)))
		}
		p.Observe(now, burdockid.Layer(l), counts)
	}
}

func equalRanks(n, slots int) []Rank {
	ranks := make([]Rank, n)
	for r := range ranks {
		ranks[r] = Rank{Slots: slots, Speed: 1}
	}
	return ranks
}

func testInput(s Snapshot, current *Map, ranks []Rank) Input {
	return Input{
		Popularity:  s,
		Current:     current,
		Ranks:       ranks,
		Weights:     Weights{Skew: 4, Cost: 1},
		ExpertBytes: testExpertBytes,
		StoreRate:   testStoreRate,
		Horizon:     testHorizon,
	}
}

// BenchmarkPlan measures a decision for the largest supported group. Unless the
// case is settled, the popularity has changed completely, so that every layer has
// to be searched.
func BenchmarkPlan(b *testing.B) {
	for _, c := range []struct {
		name   string
		before uint64 // seed of the popularity that the current map was computed for
		lost   bool   // whether a rank is lost too
	}{{"swapped", 2, false}, {"swappedAndLost", 2, true}, {"settled", 1, false}} {
		b.Run(c.name, func(b *testing.B) {
			in := benchInput(c.before)
			if c.lost {
				in.Ranks[0] = Rank{Speed: 1, Empty: true}
			}
			b.ReportAllocs()
			for b.Loop() {
				// A new planner each time: one that has just changed a layer
				// does not search it again.
				New(Config{}).Plan(0, in)
			}
		})
	}
}

func benchInput(before uint64) Input {
	const layers, experts = 60, 128
	ranks := equalRanks(32, 6)
	snap := func(seed uint64) Snapshot {
		p := NewPopularity(layers, experts, testHalfLife)
		newTokenSource(seed, layers, experts).observe(p, 0, 1)
		return p.Snapshot()
	}
	return testInput(snap(1), Solve(snap(before), ranks), ranks)
}

// BenchmarkPlanFirst measures the decision for a group that has no map yet.
func BenchmarkPlanFirst(b *testing.B) {
	in := benchInput(1)
	in.Current = nil
	b.ReportAllocs()
	for b.Loop() {
		New(Config{}).Plan(0, in)
	}
}

func BenchmarkSolve(b *testing.B) {
	in := benchInput(1)
	b.ReportAllocs()
	for b.Loop() {
		Solve(in.Popularity, in.Ranks)
	}
}

func BenchmarkObserveSnapshot(b *testing.B) {
	p := NewPopularity(60, 128, testHalfLife)
	d := newTokenSource(1, 60, 128)
	counts := make([]burdockid.Tokens, 128)
	for e := range counts {
		counts[e] = burdockid.Tokens(1000 * d.weights[0][e])
	}
	now := burdockclock.Millis(0)
	b.ReportAllocs()
	for b.Loop() {
		now += burdockclock.Second
		for l := range burdockid.Layer(60) {
			p.Observe(now, l, counts)
		}
		p.Snapshot()
	}
}
