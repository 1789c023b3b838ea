package burdockexpertlab

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockfinding"
	"burdockbend.example/burdockbend/internal/decide/burdockexpert"
)

// Command returns the command "experts", which simulates one drift and writes its
// report to w.
func Command(w io.Writer) *ffcli.Command {
	o := options{cfg: DefaultConfig()}
	fs := flag.NewFlagSet("experts", flag.ContinueOnError)
	fs.SetOutput(w)
	o.registerFlags(fs)
	return &ffcli.Command{
		Name:       "experts",
		ShortUsage: "burdock measure experts --drift NAME --weight SKEW:COST --seed N [--plot FILE.svg]",
		ShortHelp:  "measure step-time skew and time spent moving experts",
		FlagSet:    fs,
		Exec:       func(context.Context, []string) error { return o.exec(w) },
	}
}

// options are the command's flags.
type options struct {
	cfg  Config
	plot string
}

func (o *options) registerFlags(fs *flag.FlagSet) {
	cfg := &o.cfg
	fs.Func("drift", "steady, slow, swap, quarter or noise (default slow)", func(s string) (err error) {
		cfg.Drift, err = parseDrift(s)
		return err
	})
	fs.Func("weight", "worth of time lost to skew against time spent moving, SKEW:COST (default 4:1)", func(s string) (err error) {
		cfg.Weights, err = parseWeights(s)
		return err
	})
	fs.Uint64Var(&cfg.Seed, "seed", cfg.Seed, "seed of all randomness")
	fs.IntVar(&cfg.Ranks, "ranks", cfg.Ranks, "ranks of the group")
	fs.IntVar(&cfg.Experts, "experts", cfg.Experts, "experts of a layer")
	fs.IntVar(&cfg.Layers, "layers", cfg.Layers, "layers")
	fs.IntVar(&cfg.Slots, "slots", cfg.Slots, "experts that a rank has memory for in a layer")
	fs.IntVar(&cfg.Steps, "steps", cfg.Steps, "steps, each with one decision")
	fs.IntVar(&cfg.TimerSteps, "timer", cfg.TimerSteps, "steps between solving afresh, for the fixed timer")
	fs.Int64Var((*int64)(&cfg.Tokens), "tokens", int64(cfg.Tokens), "tokens routed in a layer in one step")
	fs.Int64Var((*int64)(&cfg.ExpertBytes), "expert-bytes", int64(cfg.ExpertBytes), "bytes of one expert of one layer")
	fs.Int64Var((*int64)(&cfg.StoreRate), "store-rate", int64(cfg.StoreRate), "bytes a second that the weight store gives")
	millisVar(fs, &cfg.Window, "window", "time that a step stands for")
	millisVar(fs, &cfg.HalfLife, "half-life", "half-life of counts")
	millisVar(fs, &cfg.Horizon, "hold", "time for which popularity is expected to hold")
	fs.BoolVar(&cfg.Sweep, "sweep", cfg.Sweep, "also play a sweep of weights and one of timers")
	fs.StringVar(&o.plot, "plot", "", "file for the plot of skew against time spent moving, SVG")
}

func millisVar(fs *flag.FlagSet, m *burdockclock.Millis, name, usage string) {
	fs.Func(name, fmt.Sprintf("%s (default %v)", usage, m.Duration()), func(s string) error {
		d, err := time.ParseDuration(s)
		*m = burdockclock.FromDuration(d)
		return err
	})
}

func parseWeights(s string) (burdockexpert.Weights, error) {
	skew, cost, ok := strings.Cut(s, ":")
	w := burdockexpert.Weights{}
	var skewErr, costErr error
	w.Skew, skewErr = strconv.ParseFloat(skew, 64)
	w.Cost, costErr = strconv.ParseFloat(cost, 64)
	if !ok || skewErr != nil || costErr != nil || !positive(w.Skew) || !positive(w.Cost) {
		return burdockexpert.Weights{}, fmt.Errorf("weight %q, want two numbers above 0 as SKEW:COST", s)
	}
	return w, nil
}

func positive(f float64) bool { return f > 0 && !math.IsInf(f, 0) }

func (o *options) exec(w io.Writer) error {
	list := o.cfg.Check()
	if err := list.Err(); err != nil {
		return err
	}
	rep := Run(o.cfg)
	if err := rep.Write(w); err != nil {
		return err
	}
	if o.plot == "" {
		return nil
	}
	return os.WriteFile(o.plot, rep.Plot(), 0o644)
}

// Check returns findings for the settings that are out of range.
func (cfg Config) Check() burdockfinding.List {
	var list burdockfinding.List
	for _, c := range []struct {
		key   string
		value int64
	}{
		{"ranks", int64(cfg.Ranks)}, {"experts", int64(cfg.Experts)}, {"layers", int64(cfg.Layers)},
		{"slots", int64(cfg.Slots)}, {"steps", int64(cfg.Steps)}, {"timer", int64(cfg.TimerSteps)},
		{"tokens", int64(cfg.Tokens)}, {"expert-bytes", int64(cfg.ExpertBytes)}, {"store-rate", int64(cfg.StoreRate)},
		{"window", int64(cfg.Window)}, {"half-life", int64(cfg.HalfLife)}, {"hold", int64(cfg.Horizon)},
	} {
		if c.value <= 0 {
			list.Add(burdockfinding.Finding{Key: c.key, What: fmt.Sprintf("is %d", c.value), Want: "above 0"})
		}
	}
	if list.Err() != nil {
		return list
	}
	in := burdockexpert.Input{
		Popularity:  burdockexpert.NewPopularity(cfg.Layers, cfg.Experts, cfg.HalfLife).Snapshot(),
		Ranks:       cfg.ranks(),
		Weights:     cfg.Weights,
		ExpertBytes: cfg.ExpertBytes,
		StoreRate:   cfg.StoreRate,
		Horizon:     cfg.Horizon,
	}
	list.Merge(in.Check())
	return list
}
