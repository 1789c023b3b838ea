package burdockqueue

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// BenchmarkCycle measures the handling of one request by a queue of constant length: an
// offer that is queued, the end of the oldest running request, and the start of another.
func BenchmarkCycle(b *testing.B) {
	for _, length := range []int{16, 256, 4096, 65536} {
		for _, customers := range []int{10, 3800} {
			b.Run(fmt.Sprintf("queued=%d/customers=%d", length, customers), func(b *testing.B) {
				c := newSteadyQueue(length, customers)
				b.ReportAllocs()
				for b.Loop() {
					c.step()
				}
			})
		}
	}
}

// steadyQueue keeps the length of a queue constant.
type steadyQueue struct {
	q         *Queue
	rnd       *rand.Rand
	customers []burdockid.Customer
	running   []burdockid.Request
	now       burdockclock.Millis
	n         int
}

func newSteadyQueue(length, customers int) *steadyQueue {
	const slots = 16
	c := &steadyQueue{
		q: New(Config{
			Slots: slots, MaxQueued: 2 * length,
			Classes: []ClassConfig{{ReservedSlots: 2}, {MaxStarvation: 5 * burdockclock.Second}, {MaxStarvation: 5 * burdockclock.Second}},
		}, rand.New(rand.NewPCG(1, 1))),
		rnd: rand.New(rand.NewPCG(1, 2)),
		now: 1000,
	}
	for i := range customers {
		c.customers = append(c.customers, burdockid.Customer("customer-"+strconv.Itoa(i)))
	}
	for c.q.Load().Queued < length {
		c.offer()
		c.recordStarts(c.q.Dispatch(c.now))
	}
	return c
}

func (c *steadyQueue) offer() {
	c.n++
	req := Request{
		ID:       burdockid.Request(strconv.Itoa(c.n)),
		Customer: c.customers[c.rnd.IntN(len(c.customers))],
		Class:    Class(c.rnd.IntN(3)),
		Cost:     burdockid.Tokens(1 + c.rnd.IntN(4000)),
		Deadline: c.now + 24*burdockclock.Hour,
	}
	if _, ok := c.q.Offer(c.now, req).(Start); ok {
		c.running = append(c.running, req.ID)
	}
}

func (c *steadyQueue) recordStarts(events []Event) {
	for _, e := range events {
		if started, ok := e.(Started); ok {
			c.running = append(c.running, started.ID)
		}
	}
}

func (c *steadyQueue) step() {
	c.now++
	c.offer()
	c.q.Finish(c.now, c.running[0], 1000)
	c.running = c.running[1:]
	c.recordStarts(c.q.Dispatch(c.now))
}
