package burdockqueuelab

import (
	"math"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// engine models continuous batching: all running requests advance together,
// and the token rate grows with their number up to the knee.
type engine struct {
	rate    float64 // tokens a millisecond at the knee and beyond
	knee    float64 // the number of requests at which the rate is reached
	speed   func(at burdockclock.Millis) float64
	window  burdockclock.Millis // the end of the measured time
	running []*request
	now     burdockclock.Millis
}

// perRequest returns the tokens a millisecond that each request gets.
func (e *engine) perRequest() float64 {
	n := float64(len(e.running))
	return e.rate * e.speed(e.now) * math.Min(1, n/e.knee) / n
}

// advance serves all running requests up to now, and returns those that are
// done, the ones that ran longest first.
func (e *engine) advance(now burdockclock.Millis) []*request {
	if len(e.running) == 0 || now <= e.now {
		e.now = max(e.now, now)
		return nil
	}
	each := e.perRequest() * float64(now-e.now)
	var done []*request
	kept := e.running[:0]
	for _, r := range e.running {
		part := math.Min(each, r.tokens-r.served)
		r.served += part
		if now <= e.window {
			r.inWindow += part
		}
		if r.served >= r.tokens-tokenSlack {
			done = append(done, r)
			continue
		}
		kept = append(kept, r)
	}
	e.running = kept
	e.now = now
	return done
}

// tokenSlack is far below a token and far above rounding.
const tokenSlack = 1e-6

// nextDone returns the instant at which the next request is done if nothing
// else happens.
func (e *engine) nextDone() burdockclock.Millis {
	if len(e.running) == 0 {
		return never
	}
	least := math.Inf(1)
	for _, r := range e.running {
		least = math.Min(least, r.tokens-r.served)
	}
	return e.now + max(1, burdockclock.Millis(math.Ceil((least-tokenSlack)/e.perRequest())))
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
