// Package burdockestimate estimates the number of output tokens of a request from its
// caller's hint.
//
// Most callers state a maximum that their answers don't reach, so the maximum overstates
// the cost of a request. A hint is exact at the median, but single ones are far off, and
// those of a route may be off by a common factor. The factor is learned from the requests
// that have ended: it is the median ratio of actual to hinted tokens over the recent ones.
// It handles the load of one entry, some hundred answers a second.
//
// The package is pure. An Estimator is not safe for concurrent use.
package burdockestimate

import (
	"math"
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockid"
)

const (
	// windowSamples is the number of ratios kept by route, of which maxPerCustomer may be
	// of one customer. A customer whose hints are wrong moves the median by a few ranks.
	windowSamples  = 64
	maxPerCustomer = 8
	// priorSamples is the number of ratios of 1 that are counted along. They exceed
	// maxPerCustomer, so that hints count as exact until two customers show otherwise.
	priorSamples = maxPerCustomer + 1
	// maxRoutes bounds the memory. Configurations have some tens of routes.
	maxRoutes = 256
)

// Ended is a request that has been answered completely.
type Ended struct {
	Customer burdockid.Customer
	// Hint is the caller's hint, Maximum the maximum that the request stated, Actual the
	// number of tokens in the answer.
	Hint, Maximum, Actual burdockid.Tokens
}

// Estimator is the estimator for the requests of one service at one entry.
type Estimator struct {
	routes map[string]*window
}

// window holds the latest ratios of a route, oldest first.
type window struct {
	samples []sample
	median  float64
}

type sample struct {
	customer burdockid.Customer
	ratio    float64
}

// New returns an estimator that takes hints to be exact.
func New() *Estimator { return &Estimator{routes: map[string]*window{}} }

// usable reports whether a hint says anything. One above the maximum doesn't: the answer
// ends at the maximum.
func usable(hint, maximum burdockid.Tokens) bool { return hint > 0 && hint <= maximum }

// Estimate returns the number of output tokens that a request is expected to have, never
// more than its maximum. Without a usable hint it returns the maximum.
func (e *Estimator) Estimate(route string, hint, maximum burdockid.Tokens) burdockid.Tokens {
	if !usable(hint, maximum) {
		return maximum
	}
	expected := math.Round(float64(hint) * e.Ratio(route))
	return burdockid.Tokens(min(max(expected, 1), float64(maximum)))
}

// Ratio returns the learned ratio of actual to hinted tokens of a route.
func (e *Estimator) Ratio(route string) float64 {
	if w := e.routes[route]; w != nil {
		return w.median
	}
	return 1
}

// Observe learns from a request that has ended.
func (e *Estimator) Observe(route string, r Ended) {
	if !usable(r.Hint, r.Maximum) || r.Actual <= 0 {
		return
	}
	w := e.routes[route]
	if w == nil {
		if len(e.routes) >= maxRoutes {
			clear(e.routes)
		}
		w = &window{}
		e.routes[route] = w
	}
	w.add(sample{customer: r.Customer, ratio: float64(r.Actual) / float64(r.Hint)})
}

func (w *window) add(s sample) {
	oldest, ofCustomer := 0, 0
	for i := len(w.samples) - 1; i >= 0; i-- {
		if w.samples[i].customer == s.customer {
			oldest = i
			ofCustomer++
		}
	}
	// Requests without a customer can't be told apart.
	switch {
	case s.customer != "" && ofCustomer >= maxPerCustomer:
		w.samples = slices.Delete(w.samples, oldest, oldest+1)
	case len(w.samples) >= windowSamples:
		w.samples = slices.Delete(w.samples, 0, 1)
	}
	w.samples = append(w.samples, s)
	ratios := make([]float64, 0, windowSamples+priorSamples)
	for _, kept := range w.samples {
		ratios = append(ratios, kept.ratio)
	}
	for range priorSamples {
		ratios = append(ratios, 1)
	}
	slices.Sort(ratios)
	w.median = ratios[len(ratios)/2]
}
