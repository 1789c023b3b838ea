package burdockqueuelab

import (
	"math"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// engine models continuous batching: all running requests get tokens at the same
// rate, and the total rate grows with their number up to the knee. speed returns the
// factor of rate at a time.
type engine struct {
	rate          float64 // tokens per millisecond at the knee and beyond
	knee          float64 // number of requests from which the full rate is reached
	speed         func(at burdockclock.Millis) float64
	measuredUntil burdockclock.Millis // end of the measured time
	running       []*request
	now           burdockclock.Millis
}

// ratePerRequest returns the tokens per millisecond that each request gets.
func (e *engine) ratePerRequest() float64 {
	n := float64(len(e.running))
	return e.rate * e.speed(e.now) * math.Min(1, n/e.knee) / n
}

// advance serves all running requests up to now. It removes and returns those that
// have finished, in the order in which they started.
func (e *engine) advance(now burdockclock.Millis) []*request {
	if len(e.running) == 0 || now <= e.now {
		e.now = max(e.now, now)
		return nil
	}
	amountEach := e.ratePerRequest() * float64(now-e.now)
	var done []*request
	unfinished := e.running[:0]
	for _, r := range e.running {
		amount := math.Min(amountEach, r.actualTokens-r.served)
		r.served += amount
		if now <= e.measuredUntil {
			r.measuredTokens += amount
		}
		if r.served >= r.actualTokens-tokenTolerance {
			done = append(done, r)
			continue
		}
		unfinished = append(unfinished, r)
	}
	e.running = unfinished
	e.now = now
	return done
}

// tokenTolerance is far below one token and far above rounding errors.
const tokenTolerance = 1e-6

// nextCompletion returns the time at which the next request finishes if no other
// event occurs before, or never if no request is running.
func (e *engine) nextCompletion() burdockclock.Millis {
	if len(e.running) == 0 {
		return never
	}
	minRemaining := math.Inf(1)
	for _, r := range e.running {
		minRemaining = math.Min(minRemaining, r.actualTokens-r.served)
	}
	return e.now + max(1, burdockclock.Millis(math.Ceil((minRemaining-tokenTolerance)/e.ratePerRequest())))
}

func (e *engine) start(r *request) { e.running = append(e.running, r) }

func (e *engine) stop(r *request) {
	for i, other := range e.running {
		if other == r {
			e.running = append(e.running[:i], e.running[i+1:]...)
			return
		}
	}
}
