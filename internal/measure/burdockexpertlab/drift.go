package burdockexpertlab

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockexpert"
)

// Drift names a pattern by which the popularity of experts changes over a run.
type Drift string

// Drifts.
const (
	Steady     Drift = "steady"  // constant popularity, tokens nearly independent
	Slow       Drift = "slow"    // gradual change with a period of 24 hours
	Swap       Drift = "swap"    // abrupt change to other hot experts, twice in the run
	QuarterEnd Drift = "quarter" // load of a quarter's end: rises, stays and falls
	Noise      Drift = "noise"   // constant popularity, tokens in bursts
)

// Drifts lists all drifts in the order of the command's messages.
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
	// logSpread is the standard deviation of the logarithm of an expert's popularity.
	// With this value the hottest of 128 experts gets about five times the mean.
	logSpread = 0.8
	// Variance of the counts relative to that of independent tokens. It is above 1
	// where tokens of one request go to the same experts more often than by chance.
	steadyDispersion  = 1.0
	typicalDispersion = 4.0
	noiseDispersion   = 30.0
	// Times of QuarterEnd as fractions of the run: the load rises from quarterRise to
	// quarterHigh and falls from quarterFall to quarterLow.
	quarterRise, quarterHigh = 0.3, 0.4
	quarterFall, quarterLow  = 0.7, 0.8
	// Times of the swaps as fractions of the run.
	firstSwap, secondSwap = 1.0 / 3, 2.0 / 3
	dayMillis             = 24 * 60 * 60 * 1000.0
)

// workload generates the true popularity of each step and token counts drawn from it.
type workload struct {
	cfg      Config
	rng      *rand.Rand
	profiles [][][]float64 // logarithms of popularity by profile, layer and expert
}

const profileCount = 3

func newWorkload(cfg Config) *workload {
	w := &workload{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0))}
	for range profileCount {
		profile := make([][]float64, cfg.Layers)
		for l := range profile {
			profile[l] = make([]float64, cfg.Experts)
			for e := range profile[l] {
				profile[l][e] = logSpread * w.rng.NormFloat64()
			}
		}
		w.profiles = append(w.profiles, profile)
	}
	return w
}

// profileWeights returns the weight of each profile in a step's popularity.
func (w *workload) profileWeights(step int) [profileCount]float64 {
	progress := float64(step) / float64(w.cfg.Steps)
	switch w.cfg.Drift {
	case Slow:
		angle := 2 * math.Pi * float64(step) * float64(w.cfg.Window) / dayMillis
		return [profileCount]float64{math.Cos(angle), math.Sin(angle), 0}
	case Swap:
		switch {
		case progress < firstSwap:
			return [profileCount]float64{1, 0, 0}
		case progress < secondSwap:
			return [profileCount]float64{0, 1, 0}
		}
		return [profileCount]float64{0, 0, 1}
	case QuarterEnd:
		rise := (progress - quarterRise) / (quarterHigh - quarterRise)
		fall := (quarterLow - progress) / (quarterLow - quarterFall)
		high := min(1, max(0, min(rise, fall)))
		return [profileCount]float64{1 - high, high, 0}
	}
	return [profileCount]float64{1, 0, 0}
}

func (w *workload) dispersion() float64 {
	switch w.cfg.Drift {
	case Steady:
		return steadyDispersion
	case Noise:
		return noiseDispersion
	}
	return typicalDispersion
}

// truePopularity returns the popularity from which a step's counts are drawn.
func (w *workload) truePopularity(step int) burdockexpert.Snapshot {
	profileWeights := w.profileWeights(step)
	snap := burdockexpert.Snapshot{Experts: w.cfg.Experts}
	for l := range w.cfg.Layers {
		share := make([]float64, w.cfg.Experts)
		total := 0.0
		for e := range share {
			logarithm := 0.0
			for i, weight := range profileWeights {
				logarithm += weight * w.profiles[i][l][e]
			}
			share[e] = math.Exp(logarithm)
			total += share[e]
		}
		for e := range share {
			share[e] /= total
		}
		snap.Share = append(snap.Share, share)
		snap.Deviation = append(snap.Deviation, make([]float64, w.cfg.Experts))
	}
	return snap
}

// counts draws the tokens that the experts of a layer get in one step.
func (w *workload) counts(share []float64) []burdockid.Tokens {
	counts := make([]burdockid.Tokens, len(share))
	dispersion := w.dispersion()
	for e, x := range share {
		expected := float64(w.cfg.Tokens) * x
		counts[e] = burdockid.Tokens(max(0, math.Round(expected+math.Sqrt(expected*dispersion)*w.rng.NormFloat64())))
	}
	return counts
}
