package burdockqueuelab

import (
	"context"
	"errors"
	"flag"
	"io"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// Command returns the command "queue", which writes its report to w.
func Command(w io.Writer) *ffcli.Command {
	var cfg config
	var duration, starvation time.Duration
	fs := flag.NewFlagSet("burdock measure queue", flag.ContinueOnError)
	fs.StringVar(&cfg.scenario, "scenario", "saturation", "one of "+scenarioNames()+", or all")
	fs.Uint64Var(&cfg.seed, "seed", 1, "seed of the arrivals")
	fs.IntVar(&cfg.slots, "slots", 16, "requests that the engine runs beside each other")
	fs.Float64Var(&cfg.rate, "capacity", 3556, "tokens a second with all slots in use (16 slots at 4.5 ms a step)")
	fs.Float64Var(&cfg.knee, "knee", 1, "part of the slots with which the full rate is reached")
	fs.Float64Var(&cfg.load, "load", 0, "offered tokens as a part of capacity; 0 takes the scenario's")
	fs.DurationVar(&duration, "duration", 10*time.Minute, "time in which requests arrive, and that is measured")
	fs.IntVar(&cfg.maxQueued, "max-queued", 256, "bound on queued requests")
	fs.Float64Var(&cfg.estimateError, "estimate-error", 0.3, "sigma of the logarithm of estimated over true tokens")
	fs.IntVar(&cfg.reservedSlots, "kept", 2, "slots kept for the most urgent class; fewer in proportion where the scenario has fewer slots")
	fs.DurationVar(&starvation, "starvation", 5*time.Second, "bound on starvation of the other classes")
	fs.IntVar(&cfg.maxAttempts, "attempts", 4, "offers of one request at the most")
	return &ffcli.Command{
		Name:       "queue",
		ShortUsage: "burdock measure queue [--scenario NAME] [--seed N] [flags]",
		ShortHelp:  "measure admission and queueing against a model of one engine",
		FlagSet:    fs,
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return errors.New("unexpected argument " + args[0])
			}
			cfg.duration = burdockclock.FromDuration(duration)
			cfg.starvation = burdockclock.FromDuration(starvation)
			return measure(w, cfg)
		},
	}
}

func scenarioNames() string {
	var names []string
	for _, s := range scenarios {
		names = append(names, s.name)
	}
	return strings.Join(names, ", ")
}

// measure simulates every policy under the chosen scenario, or under all scenarios.
func measure(w io.Writer, cfg config) error {
	if cfg.scenario != "all" {
		return measureScenario(w, cfg)
	}
	for _, s := range scenarios {
		cfg.scenario = s.name
		if err := measureScenario(w, cfg); err != nil {
			return err
		}
		if _, err := io.WriteString(w, "\n"); err != nil {
			return err
		}
	}
	return nil
}

func measureScenario(w io.Writer, cfg config) error {
	if cfg.slots < 1 || cfg.rate <= 0 || cfg.knee <= 0 || cfg.duration < burdockclock.Second {
		return errors.New("slots, capacity and knee must be above 0, duration a second or more")
	}
	l, err := newLab(cfg)
	if err != nil {
		return err
	}
	r := &report{lab: l}
	for _, p := range policies {
		r.results = append(r.results, l.run(p))
	}
	return r.write(w)
}
