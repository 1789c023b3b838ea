package burdockexpertlab

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Write writes the report as a text table.
func (rep Report) Write(w io.Writer) error {
	cfg := rep.Config
	fmt.Fprintf(w, "drift %s, seed %d: %d ranks with %d slots, %d experts, %d layers; %d steps of %v, %d tokens a layer each\n",
		cfg.Drift, cfg.Seed, cfg.Ranks, cfg.Slots, cfg.Experts, cfg.Layers, cfg.Steps, cfg.Window.Duration(), cfg.Tokens)
	fmt.Fprintf(w, "weight %g:%g, one move %d ms, hold %v, half-life %v\n\n",
		cfg.Weights.Skew, cfg.Weights.Cost, cfg.moveDuration(1), cfg.Horizon.Duration(), cfg.HalfLife.Duration())
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policy\tskew p50\tp99\tmean\tover bound p50\tp99\tmoves\tof always\tchanges\tmoving s\tof run\tlost s\t")
	for _, row := range append([]Row{rep.Bound}, rep.Policies...) {
		rep.writeRow(t, row)
	}
	if cfg.Sweep {
		rep.writeSection(t, "sweep of weights", rep.WeightSweep)
		rep.writeSection(t, "sweep of timers", rep.TimerSweep)
	}
	return t.Flush()
}

// always returns the row of the policy that solves the map from scratch after each step.
func (rep Report) always() Row { return rep.Policies[alwaysIndex] }

func (rep Report) writeSection(w io.Writer, name string, rows []Row) {
	const columns = 12
	fmt.Fprintln(w, name+strings.Repeat("\t", columns))
	for _, row := range rows {
		rep.writeRow(w, row)
	}
}

func (rep Report) writeRow(w io.Writer, row Row) {
	always := rep.always()
	const percent = 100
	runMillis := float64(rep.Config.Window) * float64(rep.Config.Steps)
	fmt.Fprintf(w, "%s\t%.4f\t%.4f\t%.4f\t%+.2f%%\t%+.2f%%\t%d\t%.2f%%\t%d\t%.1f\t%.2f%%\t%.1f\t\n",
		row.Name, row.SkewP50, row.SkewP99, row.SkewMean,
		percent*(row.SkewP50/rep.Bound.SkewP50-1), percent*(row.SkewP99/rep.Bound.SkewP99-1),
		row.Moves, percent*float64(row.Moves)/float64(max(1, always.Moves)), row.MapChanges,
		seconds(row), percent*float64(row.MoveTime)/runMillis, float64(row.WeightedLoss)/millisPerSecond)
}

func seconds(row Row) float64 { return float64(row.MoveTime) / millisPerSecond }
