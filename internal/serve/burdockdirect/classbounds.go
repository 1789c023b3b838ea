package burdockdirect

import (
	"slices"

	"burdockbend.example/burdockbend/internal/decide/burdockqueue"
)

// classBounds is what bounds the classes of the queue besides its slots.
type classBounds struct {
	// closed reports that no group advances. A request of any class may then probe one.
	closed bool
	limits []int // of the part of the room; nil if the entry decides alone
	stuck  int   // streams of stalled groups, which run besides
}

func (b classBounds) equal(other classBounds) bool {
	return b.closed == other.closed && b.stuck == other.stuck && slices.Equal(b.limits, other.limits)
}

// limit bounds a queue class by the part of the room, if there is one. A class always may
// start the entry's first stream: a bound of 0 would mean none.
func (b classBounds) limit(class *burdockqueue.ClassConfig, index int) {
	if priority := index / queueClassesPerPriority; priority < len(b.limits) {
		class.MaxRunning = max(b.limits[priority]+b.stuck, 1)
	}
}

// boundClasses applies bounds to the queue if they have changed. The lock must be held.
func (g *gate) boundClasses(b classBounds) {
	if b.equal(g.bounds) {
		return
	}
	g.bounds = b
	g.queue.Reconfigure(g.clock.Boot(), g.queueConfig())
}
