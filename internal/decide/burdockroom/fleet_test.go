package burdockroom

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

const (
	tick     burdockclock.Millis = 10 // also how long a part takes to arrive
	patience                     = burdockclock.Second
)

// fleetEntry is an entry that obeys its part and queues requests by priority.
type fleetEntry struct {
	Report
	load            [Priorities]float64 // mean number of streams that its callers want
	queues          [Priorities][]burdockclock.Millis
	ends            [Priorities][]burdockclock.Millis
	running         int
	limits          []int
	arriving        *Part
	reportAt        burdockclock.Millis
	served, refused [Priorities]int
}

// fleet is entries that report to one Divider, under seeded random demand. A stream takes a
// second on average.
type fleet struct {
	t       *testing.T
	divider *Divider
	rng     *rand.Rand
	now     burdockclock.Millis
	entries []*fleetEntry
	running int
}

// newFleet returns entries whose demand differs tenfold and adds up to load by priority.
func newFleet(t *testing.T, n, room int, load map[int]float64) *fleet {
	f := &fleet{t: t, divider: New(Config{}), rng: rand.New(rand.NewPCG(1, uint64(n)))}
	total := 0.0
	for i := range n {
		r := Report{Entry: burdockid.VM(fmt.Sprint("e", i)), Process: 1, Capacity: float64(room)}
		f.entries = append(f.entries, &fleetEntry{Report: r, reportAt: burdockclock.Millis(f.rng.IntN(100))})
		total += weightOf(i)
	}
	for i, e := range f.entries {
		for p, l := range load {
			e.load[p] = l * weightOf(i) / total
		}
	}
	return f
}

// weightOf gives entries of four sizes.
func weightOf(i int) float64 { return []float64{1, 2, 5, 10}[i%4] }

// run plays a span, in which it counts anew, and returns the greatest number of streams that ran at once.
func (f *fleet) run(span burdockclock.Millis) (most int) {
	for _, e := range f.entries {
		e.served, e.refused = [Priorities]int{}, [Priorities]int{}
	}
	for end := f.now + span; f.now < end; f.now += tick {
		for _, e := range f.entries {
			f.play(e)
		}
		most = max(most, f.running)
	}
	return most
}

func (f *fleet) play(e *fleetEntry) {
	f.running -= e.running
	defer func() { f.running += e.running }()
	if e.arriving != nil && !e.arriving.Learning {
		e.limits = e.arriving.Limits
	}
	e.arriving, e.running = nil, 0
	for p := range e.ends {
		e.ends[p] = after(e.ends[p], f.now)
		e.running += len(e.ends[p])
		waiting := after(e.queues[p], f.now-patience)
		e.refused[p] += len(e.queues[p]) - len(waiting)
		e.queues[p] = waiting
		for f.rng.Float64() < e.load[p]*float64(tick)/float64(burdockclock.Second)-float64(len(e.queues[p])-len(waiting)) {
			e.queues[p] = append(e.queues[p], f.now)
		}
	}
	f.start(e)
	if f.now >= e.reportAt {
		f.report(e)
	}
}

// after keeps the times after now, in order.
func after(times []burdockclock.Millis, now burdockclock.Millis) []burdockclock.Millis {
	return slices.DeleteFunc(slices.Clone(times), func(at burdockclock.Millis) bool { return at <= now })
}

func (f *fleet) start(e *fleetEntry) {
	for p, limit := range e.limits {
		for e.running < limit && len(e.queues[p]) > 0 {
			e.queues[p] = e.queues[p][1:]
			length := float64(burdockclock.Second) * (0.5 + f.rng.Float64())
			e.ends[p] = append(e.ends[p], f.now+burdockclock.Millis(length))
			e.running++
			e.served[p]++
		}
	}
}

func (f *fleet) report(e *fleetEntry) {
	e.Sequence++
	e.Demands = nil
	for p := range Priorities {
		e.Demands = append(e.Demands, Demand{Priority: p, Running: len(e.ends[p]), Waiting: len(e.queues[p])})
	}
	part, err := f.divider.Handle(f.now, e.Report)
	if err != nil {
		f.t.Fatalf("Handle: got error %v, want none", err)
	}
	e.arriving = &part
	e.reportAt = f.now + max(part.NextReport, 100)
}

// servedShare returns the fraction of the requests of a priority that were served.
func (f *fleet) servedShare(p int) float64 {
	served, refused := 0, 0
	for _, e := range f.entries {
		served += e.served[p]
		refused += e.refused[p]
	}
	return float64(served) / float64(max(served+refused, 1))
}
