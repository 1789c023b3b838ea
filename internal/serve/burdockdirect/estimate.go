package burdockdirect

import (
	"fmt"
	"sync"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockestimate"
	"go.uber.org/zap"
)

// ratioLogFactor is the factor by which the learned ratio of a route changes between two log
// lines about it.
const ratioLogFactor = 1.25

// lengths estimates the lengths of the answers of one service.
type lengths struct {
	mu        sync.Mutex
	estimator *burdockestimate.Estimator
	logged    map[string]float64 // ratio by route, as logged last
}

func newLengths() *lengths {
	return &lengths{estimator: burdockestimate.New(), logged: map[string]float64{}}
}

// outputTokens returns the number of output tokens by which a request's cost is computed:
// the estimate, or its maximum where admission is not shared.
func (e *Entry) outputTokens(req *request) burdockid.Tokens {
	if !req.sharedAdmission() {
		return req.MaxOutputTokens
	}
	l := e.pool(req.service).lengths
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.estimator.Estimate(req.route.Name, req.LengthHint, req.MaxOutputTokens)
}

// servedCost returns the cost of the request that has been answered, and learns from its
// length. The queue corrects the customer's charge to it, so a caller gains nothing by a
// hint that is too small.
func (o *offers) servedCost() burdockid.Tokens {
	actual, ok := o.answerTokens()
	if !ok {
		return o.req.cost
	}
	o.learnLength(actual)
	return costOf(o.req.PromptTokens, actual)
}

// answerTokens returns the number of tokens in the answer; false if it isn't known or
// not needed. A stream that the caller resumed is only the end of an answer.
func (o *offers) answerTokens() (burdockid.Tokens, bool) {
	req := o.req
	if !req.sharedAdmission() || !req.route.Stream || req.LastEventID != "" || o.eventCount == 0 || req.MaxOutputTokens <= 0 {
		return 0, false
	}
	perEvent := o.pool.stepsPerEvent()
	if perEvent <= 0 {
		return 0, false
	}
	// The last event may hold fewer tokens than the others.
	return min(burdockid.Tokens(o.eventCount*perEvent), req.MaxOutputTokens), true
}

func (p *pool) stepsPerEvent() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.config == nil || p.config.Services[p.service].Engine == nil {
		return 0
	}
	return p.config.Services[p.service].Engine.StepsPerEvent
}

func (o *offers) learnLength(actual burdockid.Tokens) {
	req, l := o.req, o.pool.lengths
	l.mu.Lock()
	defer l.mu.Unlock()
	o.entry.meters.recordLength(req, actual)
	l.estimator.Observe(req.route.Name, burdockestimate.Ended{
		Customer: req.customer, Hint: req.LengthHint, Maximum: req.MaxOutputTokens, Actual: actual,
	})
	before, ok := l.logged[req.route.Name]
	if !ok {
		before = 1
	}
	ratio := l.estimator.Ratio(req.route.Name)
	if ratio > before*ratioLogFactor || ratio*ratioLogFactor < before {
		l.logged[req.route.Name] = ratio
		o.entry.deps.Log.Info("length hints learned", zap.String("service", string(req.service)), zap.String("route", req.route.Name),
			zap.Float64("from", before), zap.Float64("to", ratio))
	}
}

// recordLength records the length of an answer as a multiple of what it was estimated to be.
func (m *meters) recordLength(req *request, actual burdockid.Tokens) {
	by := "maximum"
	if req.LengthHint > 0 && req.LengthHint <= req.MaxOutputTokens {
		by = "hint"
	}
	labels := fmt.Sprintf("{service=%q,by=%q}", req.service, by)
	m.set.GetOrCreateHistogram("burdock_direct_answer_length_ratio" + labels).Update(float64(actual) / float64(max(req.outputTokens, 1)))
}
