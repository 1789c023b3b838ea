package burdockgrouplab

import (
	"context"
	"flag"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockfinding"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// leads are the fixed switch leads that the command compares, in steps.
var leads = []burdockid.Step{1, 2, 3, 4, 6, 8, 16}

// Bounds of the switch lead that doubles whenever it proves too small.
const (
	growingMinLead burdockid.Step = 4
	growingMaxLead burdockid.Step = 64
)

// loadPoll is the interval at which the controller asks whether a map is loaded.
const loadPoll burdockclock.Millis = 250

// settings are the command's flags.
type settings struct {
	ranks   int
	step    float64
	delay   float64
	tail    float64
	load    float64
	changes int
	seed    uint64
}

// Command returns "mapchange", which measures what a change of the expert map
// costs a group, and writes the figures to w.
func Command(w io.Writer) *ffcli.Command {
	var s settings
	fs := flag.NewFlagSet("mapchange", flag.ContinueOnError)
	fs.IntVar(&s.ranks, "ranks", 32, "ranks in the group")
	fs.Float64Var(&s.step, "step-millis", 4.5, "time of a step; a step may take a tenth more")
	fs.Float64Var(&s.delay, "delay-millis", 0.3, "shortest one-way delay of a message")
	fs.Float64Var(&s.tail, "tail-millis", 0.3, "mean of what a message takes longer, exponentially")
	fs.Float64Var(&s.load, "load-millis", 2000, "shortest time to load a map; up to twice as long")
	fs.IntVar(&s.changes, "changes", 100, "changes to measure for each way")
	fs.Uint64Var(&s.seed, "seed", 1, "seed of the random source")
	return &ffcli.Command{
		Name:       "mapchange",
		ShortUsage: "burdock measure mapchange [flags]",
		ShortHelp:  "steps lost by a change of the expert map, arming ahead against pausing",
		FlagSet:    fs,
		Exec: func(context.Context, []string) error {
			if err := s.check(); err != nil {
				return err
			}
			return s.measure(w)
		},
	}
}

func (s settings) check() error {
	var findings burdockfinding.List
	atLeast := func(key string, got, least float64) {
		if got < least {
			findings.Add(burdockfinding.Finding{Key: "--" + key, What: fmt.Sprintf("is %v", got), Want: fmt.Sprintf("%v or more", least)})
		}
	}
	const shortest = 0.001 // a microsecond, the unit of simulated time
	atLeast("ranks", float64(s.ranks), 1)
	atLeast("step-millis", s.step, shortest)
	atLeast("delay-millis", s.delay, 0)
	atLeast("tail-millis", s.tail, 0)
	atLeast("load-millis", s.load, 0)
	atLeast("changes", float64(s.changes), 1)
	return findings.Err()
}

func (s settings) config() Config {
	micros := func(millis float64) int64 { return int64(millis * float64(millisecond)) }
	return Config{
		Ranks:       s.ranks,
		Seed:        s.seed,
		StepMicros:  micros(s.step),
		DelayMicros: micros(s.delay),
		TailMicros:  micros(s.tail),
		LoadMicros:  micros(s.load),
		LoadPoll:    loadPoll,
	}
}

func (s settings) measure(w io.Writer) error {
	cfg := s.config()
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "way\tlead\tsteps lost, mean\tp50\tp99\tms to force\torders\t")
	row := func(way, lead string, c Cost) {
		fmt.Fprintf(table, "%s\t%s\t%.2f\t%.2f\t%.2f\t%.0f\t%.0f\t\n",
			way, lead, c.Mean(), c.Quantile(0.5), c.Quantile(0.99), c.Millis, c.Orders)
	}
	row("pause, then load", "-", MeasurePausing(cfg, s.changes, false))
	row("load, then pause", "-", MeasurePausing(cfg, s.changes, true))
	armAhead := func(way, label string, lead, maxLead burdockid.Step) {
		cost, err := MeasureArmAhead(cfg, s.changes, lead, maxLead)
		if err != nil {
			fmt.Fprintf(table, "%s\t%s\t%v\t\t\t\t\t\n", way, label, err)
			return
		}
		row(way, label, cost)
	}
	for _, lead := range leads {
		armAhead("arm ahead", fmt.Sprint(lead), lead, lead)
	}
	armAhead("arm ahead, growing", fmt.Sprintf("%d to %d", growingMinLead, growingMaxLead), growingMinLead, growingMaxLead)
	return table.Flush()
}
