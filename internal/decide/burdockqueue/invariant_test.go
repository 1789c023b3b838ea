package burdockqueue

import (
	"errors"
	"math/rand/v2"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// A mistake in the accounts must stop the program with the invariant's name
// and not go on deciding on wrong numbers. Each row does one kind of damage to
// a queue with two classes, one running and three queued.
func TestDamageIsFound(t *testing.T) {
	tests := []struct {
		name   string
		damage func(q *Queue)
		want   Invariant
	}{
		{"lost", func(q *Queue) { delete(q.items, "w1") }, InvariantCounts},
		{"sum of the classes", func(q *Queue) { q.classes[1].queued++ }, InvariantCounts},
		{"sum of the costs", func(q *Queue) { q.queuedCost++ }, InvariantCounts},
		{"ended twice", func(q *Queue) { q.counts.finished++ }, InvariantCounts},
		{"flow's sum", func(q *Queue) { q.items["w1"].flow.queuedCost++ }, InvariantCounts},
		{"two places", func(q *Queue) { q.items["w1"].place = placeRunning }, InvariantMembership},
		{"other class", func(q *Queue) { q.items["w1"].work.Class = 0 }, InvariantMembership},
		{"never expires", func(q *Queue) { q.items["w1"].expiryIndex = notInHeap }, InvariantMembership},
		{"judged too late", func(q *Queue) { q.items["w1"].expires = 0 }, InvariantMembership},
		{"running and expiring", func(q *Queue) { q.items["run"].expiryIndex = 0 }, InvariantMembership},
		{"share", func(q *Queue) { q.items["w1"].flow.virtual += 1e6 }, InvariantShare},
		{"free slot", func(q *Queue) { q.cfg.Slots++; q.checkNothingDue() }, InvariantWorkConserving},
		{"expired", func(q *Queue) { q.now += burdockclock.Hour; q.checkNothingDue() }, InvariantWorkConserving},
		{"inversion", func(q *Queue) { q.cfg.Slots++; q.checkOrder(1) }, InvariantOrder},
		{"no slot", func(q *Queue) { q.checkOrder(0) }, InvariantOrder},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q := New(Config{Slots: 1, MaxQueued: 9, Classes: []ClassConfig{{}, {MaxWait: 1000}}}, rand.New(rand.NewPCG(1, 1)))
			for _, w := range []Request{
				{ID: "run", Customer: "a", Class: 1, Cost: 10},
				{ID: "w0", Customer: "a", Class: 0, Cost: 10},
				{ID: "w1", Customer: "a", Class: 1, Cost: 10},
				{ID: "w2", Customer: "a", Class: 1, Cost: 10},
			} {
				q.Offer(1000, w)
			}
			q.CheckInvariants()
			defer func() {
				var got *InvariantError
				err, _ := recover().(error)
				if !errors.As(err, &got) || got.Invariant != test.want {
					t.Errorf("panic = %v, want the invariant %q", err, test.want)
				}
			}()
			test.damage(q)
			q.CheckInvariants()
		})
	}
}

// The cost of a decision must not grow with the backlog, or a long queue would
// slow down the agent just when it is needed: no memory for each queued request.
func TestAllocationsDoNotGrowWithTheQueue(t *testing.T) {
	short, long := cycleAllocations(16), cycleAllocations(16384)
	if long > short+1 {
		t.Errorf("allocations with 16384 queued = %.1f, want at most %.1f as with 16", long, short+1)
	}
}

func cycleAllocations(length int) float64 {
	c := newCycle(length, 10)
	return testing.AllocsPerRun(200, c.step)
}
