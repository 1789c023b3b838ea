package burdockroom

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// obedient is an entry that runs at most its limit, whatever else it does.
type obedient struct {
	Report
	limit, running int
	at             burdockclock.Millis // of its last report
}

// holds returns how many streams the entry may run. One that is silent starts none, and its
// streams have ended when it is forgotten.
func (o *obedient) holds(now burdockclock.Millis) int {
	switch silent := now - o.at; {
	case silent > defaultForgetAfter:
		return 0
	case silent > defaultValidFor:
		return o.running
	}
	return max(o.limit, o.running)
}

// Guards against limits that add up to more than the room, whatever entries ask for, while
// they fall silent, return and restart.
func TestLimitsAddUpToTheRoom(t *testing.T) {
	for seed := range uint64(60) {
		d, rng := New(Config{}), rand.New(rand.NewPCG(seed, 1))
		n, room := []int{2, 4, 16, 64, 350}[seed%5], 1+rng.IntN(1000)
		entries := make([]*obedient, n)
		for i := range entries {
			entries[i] = &obedient{Report: Report{Entry: burdockid.VM(fmt.Sprint("e", i)), Capacity: float64(room)}}
		}
		now := burdockclock.Millis(0)
		for range 4000 {
			now += burdockclock.Millis(rng.IntN(1 + 600/n))
			e := entries[min(rng.IntN(n), rng.IntN(n))] // the last ones fall silent for long
			e.reportRandom(t, d, now, rng)
			sum := 0
			for _, other := range entries {
				sum += other.holds(now)
			}
			if sum > room {
				t.Fatalf("seed %d, %d entries: got limits and streams of %d, want the room of %d at most", seed, n, sum, room)
			}
		}
	}
}

// reportRandom runs anything within the limit, then reports it.
func (o *obedient) reportRandom(t *testing.T, d *Divider, now burdockclock.Millis, rng *rand.Rand) {
	o.running = rng.IntN(o.holds(now) + 1)
	if rng.IntN(50) == 0 {
		o.Process, o.running = o.Process+1, 0
	}
	o.Sequence++
	left := o.running
	o.Demands = o.Demands[:0]
	for _, p := range rng.Perm(Priorities)[:rng.IntN(Priorities)] {
		runs := rng.IntN(left + 1)
		left -= runs
		o.Demands = append(o.Demands, Demand{Priority: p, Running: runs, Waiting: rng.IntN(1 << rng.IntN(8))})
	}
	o.running -= left
	part, err := d.Handle(now, o.Report)
	if err != nil {
		t.Fatalf("Handle: got error %v, want none", err)
	}
	o.at, o.limit = now, 0
	if !part.Learning {
		o.limit = part.Limits[0]
	}
	if !slices.IsSortedFunc(append(part.Limits, 0), func(a, b int) int { return b - a }) {
		t.Fatalf("limits: got %v, want them not to rise or be negative", part.Limits)
	}
}
