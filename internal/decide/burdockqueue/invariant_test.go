package burdockqueue

import (
	"errors"
	"math/rand/v2"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// An accounting error must stop the program with the violated invariant instead of
// leading to wrong decisions. Each case corrupts a queue with two classes, one running
// and three queued requests in one way.
func TestInvariantViolationsPanic(t *testing.T) {
	tests := []struct {
		name    string
		corrupt func(q *Queue)
		want    Invariant
	}{
		{"lost", func(q *Queue) { delete(q.items, "w1") }, InvariantCounts},
		{"sum of the classes", func(q *Queue) { q.classes[1].queued++ }, InvariantCounts},
		{"sum of the costs", func(q *Queue) { q.queuedCost++ }, InvariantCounts},
		{"ended twice", func(q *Queue) { q.counts.finished++ }, InvariantCounts},
		{"flow's sum", func(q *Queue) { q.items["w1"].flow.queuedCost++ }, InvariantCounts},
		{"wrong phase", func(q *Queue) { q.items["w1"].phase = phaseRunning }, InvariantMembership},
		{"other class", func(q *Queue) { q.items["w1"].req.Class = 0 }, InvariantMembership},
		{"never expires", func(q *Queue) { q.items["w1"].expiryIndex = notInHeap }, InvariantMembership},
		{"rechecked too late", func(q *Queue) { q.items["w1"].expiresAt = 0 }, InvariantMembership},
		{"running and expiring", func(q *Queue) { q.items["run"].expiryIndex = 0 }, InvariantMembership},
		{"share", func(q *Queue) { q.items["w1"].flow.virtualTime += 1e6 }, InvariantShare},
		{"free slot", func(q *Queue) { q.cfg.Slots++; q.checkWorkConserving() }, InvariantWorkConserving},
		{"expired", func(q *Queue) { q.now += burdockclock.Hour; q.checkWorkConserving() }, InvariantWorkConserving},
		{"inversion", func(q *Queue) { q.cfg.Slots++; q.checkOrder(1) }, InvariantOrder},
		{"no slot", func(q *Queue) { q.checkOrder(0) }, InvariantOrder},
		{"beyond MaxRunning", func(q *Queue) { q.cfg.Slots++; q.classes[0].cfg.MaxRunning = 1; q.checkOrder(0) }, InvariantOrder},
		{"newer first", func(q *Queue) { q.checkFlowOrder(q.items["w2"]) }, InvariantOrder},
		{"older first", func(q *Queue) { q.classes[1].cfg.NewestFirst = true; q.checkFlowOrder(q.items["w1"]) }, InvariantOrder},
		{"out of order", func(q *Queue) { q.items["w2"].costOffset = 0 }, InvariantOrder},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q := New(Config{Slots: 1, MaxQueued: 9, Classes: []ClassConfig{{}, {MaxWait: 1000}}}, rand.New(rand.NewPCG(1, 1)))
			for _, req := range []Request{
				{ID: "run", Customer: "a", Class: 1, Cost: 10},
				{ID: "w0", Customer: "a", Class: 0, Cost: 10},
				{ID: "w1", Customer: "a", Class: 1, Cost: 10},
				{ID: "w2", Customer: "a", Class: 1, Cost: 10},
			} {
				q.Offer(1000, req)
			}
			q.CheckInvariants()
			defer func() {
				var got *InvariantError
				err, _ := recover().(error)
				if !errors.As(err, &got) || got.Invariant != test.want {
					t.Errorf("panic = %v, want a violation of %q", err, test.want)
				}
			}()
			test.corrupt(q)
			q.CheckInvariants()
		})
	}
}

// The cost of a decision must not grow with the backlog; otherwise a long queue slows down
// a saturated agent. The number of allocations stands for that cost.
func TestAllocationsDoNotGrowWithTheQueue(t *testing.T) {
	short, long := allocationsPerStep(16), allocationsPerStep(16384)
	if long > short+1 {
		t.Errorf("allocations with 16384 queued = %.1f, want at most %.1f as with 16", long, short+1)
	}
}

func allocationsPerStep(length int) float64 {
	c := newSteadyQueue(length, 10)
	return testing.AllocsPerRun(200, c.step)
}
