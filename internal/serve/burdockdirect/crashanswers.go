package burdockdirect

import (
	"math/rand/v2"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/decide/burdockcrash"
	"go.uber.org/zap"
)

// recentKey identifies a request as its digest does, at less cost.
func (c *crashDetector) recentKey(req *request) uint64 {
	return c.recent.Key(req.service, req.method, req.target, req.customer, req.body, req.SharedParts...)
}

// answered records that a request ran to its end and was answered with success.
func (c *crashDetector) answered(req *request) {
	key := c.recentKey(req)
	suspected := !c.empty()
	var digest burdockcrash.Digest
	if suspected {
		digest = req.digest()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.now()
	c.recent.Add(now, key)
	if suspected {
		c.addAnswer(burdockcrash.Answer{Request: digest, At: now})
	}
}

// addAnswer records an answer of this entry. The lock must be held.
func (c *crashDetector) addAnswer(a burdockcrash.Answer) {
	now := c.clock.now()
	before := c.tracker.QuarantineRemaining(now, a.Request)
	c.tracker.AddAnswer(now, a)
	c.logReleased(a, before)
	c.tell(a.Request)
}

// logReleased writes a line if an answer has ended a quarantine. The lock must be held.
func (c *crashDetector) logReleased(a burdockcrash.Answer, remaining burdockclock.Millis) {
	if remaining > 0 && c.tracker.QuarantineRemaining(c.clock.now(), a.Request) == 0 {
		c.log.Warn("request released: it was answered", zap.Stringer("request", a.Request), zap.Int64("answeredAtMillis", int64(a.At)))
	}
}

// tell tells the other entries soon that a request was answered, if they need to know. The lock
// must be held.
func (c *crashDetector) tell(d burdockcrash.Digest) {
	if _, untold := c.tracker.Untold(d); !untold || c.telling[d] || c.publishAnswer == nil {
		return
	}
	c.telling[d] = true
	time.AfterFunc(rand.N(maxSettleDelay).Duration(), func() { c.tellNow(d) })
}

func (c *crashDetector) tellNow(d burdockcrash.Digest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.telling, d)
	if a, untold := c.tracker.Untold(d); untold {
		c.tracker.AddToldAnswer(c.clock.now(), a)
		c.publishAnswer(a)
	}
}

// addAnswers records the answers that other entries got.
func (c *crashDetector) addAnswers(all []burdockcrash.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.now()
	for _, a := range all {
		before := c.tracker.QuarantineRemaining(now, a.Request)
		c.tracker.AddToldAnswer(now, a)
		c.logReleased(a, before)
	}
}

// AddAnswers adds the successful answers that other entries reported.
func (e *Entry) AddAnswers(all []burdockcrash.Answer) { e.crashes.addAnswers(all) }
