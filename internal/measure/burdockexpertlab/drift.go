package burdockexpertlab

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockexpert"
)

// Drift names how popularity changes over a run.
type Drift string

// The drifts.
const (
	Steady     Drift = "steady"  // constant, tokens nearly independent
	Slow       Drift = "slow"    // turns through the day, 24 hours for a full turn
	Swap       Drift = "swap"    // other experts turn hot at once, twice in the run
	QuarterEnd Drift = "quarter" // work of the quarter's end comes, stays and goes
	Noise      Drift = "noise"   // constant, tokens in bursts
)

// Drifts lists all drifts in the order in which they are reported.
var Drifts = []Drift{Steady, Slow, Swap, QuarterEnd, Noise}

func parseDrift(s string) (Drift, error) {
	names := make([]string, len(Drifts))
	for i, d := range Drifts {
		if string(d) == s {
			return d, nil
		}
		names[i] = string(d)
	}
	return "", fmt.Errorf("drift %q, want one of %s", s, strings.Join(names, ", "))
}

const (
	// logSpread is the standard deviation of the logarithm of an expert's
	// weight: the hottest of 128 experts gets about five times the mean.
	logSpread = 0.8
	// Variance of counts over that of independent tokens. Tokens of one
	// request go to the same experts more often than chance has it.
	calmBurst  = 1.0
	usualBurst = 4.0
	noisyBurst = 30.0
	// The quarter's end as parts of the run: it comes from quarterRise to
	// quarterHigh and goes from quarterFall to quarterLow.
	quarterRise, quarterHigh = 0.3, 0.4
	quarterFall, quarterLow  = 0.7, 0.8
	// The swaps as parts of the run.
	firstSwap, secondSwap = 1.0 / 3, 2.0 / 3
	day                   = 24 * 60 * 60 * 1000.0
)

// source gives the true popularity of each step and counts drawn from it.
type source struct {
	cfg     Config
	rng     *rand.Rand
	anchors [][][]float64 // three popularities: logarithms by layer and expert
}

const anchorCount = 3

func newSource(cfg Config) *source {
	s := &source{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0))}
	for range anchorCount {
		anchor := make([][]float64, cfg.Layers)
		for l := range anchor {
			anchor[l] = make([]float64, cfg.Experts)
			for e := range anchor[l] {
				anchor[l][e] = logSpread * s.rng.NormFloat64()
			}
		}
		s.anchors = append(s.anchors, anchor)
	}
	return s
}

// mix returns the part that each anchor has in a step.
func (s *source) mix(step int) [anchorCount]float64 {
	part := float64(step) / float64(s.cfg.Steps)
	switch s.cfg.Drift {
	case Slow:
		angle := 2 * math.Pi * float64(step) * float64(s.cfg.Window) / day
		return [anchorCount]float64{math.Cos(angle), math.Sin(angle), 0}
	case Swap:
		switch {
		case part < firstSwap:
			return [anchorCount]float64{1, 0, 0}
		case part < secondSwap:
			return [anchorCount]float64{0, 1, 0}
		}
		return [anchorCount]float64{0, 0, 1}
	case QuarterEnd:
		rise := (part - quarterRise) / (quarterHigh - quarterRise)
		fall := (quarterLow - part) / (quarterLow - quarterFall)
		high := min(1, max(0, min(rise, fall)))
		return [anchorCount]float64{1 - high, high, 0}
	}
	return [anchorCount]float64{1, 0, 0}
}

func (s *source) burst() float64 {
	switch s.cfg.Drift {
	case Steady:
		return calmBurst
	case Noise:
		return noisyBurst
	}
	return usualBurst
}

// truth returns the popularity that a step's counts are drawn from.
func (s *source) truth(step int) burdockexpert.Snapshot {
	mix := s.mix(step)
	snap := burdockexpert.Snapshot{Experts: s.cfg.Experts}
	for l := range s.cfg.Layers {
		share := make([]float64, s.cfg.Experts)
		total := 0.0
		for e := range share {
			logarithm := 0.0
			for a, part := range mix {
				logarithm += part * s.anchors[a][l][e]
			}
			share[e] = math.Exp(logarithm)
			total += share[e]
		}
		for e := range share {
			share[e] /= total
		}
		snap.Share = append(snap.Share, share)
		snap.Deviation = append(snap.Deviation, make([]float64, s.cfg.Experts))
	}
	return snap
}

// counts draws the tokens that a layer's experts are given in one step.
func (s *source) counts(share []float64) []burdockid.Tokens {
	counts := make([]burdockid.Tokens, len(share))
	burst := s.burst()
	for e, x := range share {
		expected := float64(s.cfg.Tokens) * x
		counts[e] = burdockid.Tokens(max(0, math.Round(expected+math.Sqrt(expected*burst)*s.rng.NormFloat64())))
	}
	return counts
}
