// Package burdocktimeliness decides which requests of a service can still get their first
// event within their objective, and when the newest of them should start first.
//
// It is meant for demand of one and a half to three times what the engines serve, for
// seconds to minutes, with callers that retry after a refusal.
//
// The package does no I/O: time is passed in. A Tracker is not safe for concurrent use.
package burdocktimeliness

import (
	"cmp"
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// Config configures a Tracker. A field that is not positive takes its default.
type Config struct {
	// RetryFraction is the fraction of a route's usual time budget below which a request
	// is a retry. Budgets of first attempts spread by 15 in 100.
	RetryFraction float64
	// InitialFirstEvent is the assumed time to a stream's first event until enough have
	// been observed.
	InitialFirstEvent burdockclock.Millis
}

const (
	defaultRetryFraction                         = 0.8
	defaultInitialFirstEvent burdockclock.Millis = 200
	// firstEventSamples is the number of streams whose times to the first event count:
	// with a few streams per second at one entry, those of the last seconds.
	firstEventSamples = 32
	// firstEventQuantile leaves one stream in ten late that started at the last moment.
	firstEventQuantile = 0.9
	// retryMargin lowers the budget that a retry should have left, as the usual budget that
	// is learned varies by some hundredths of itself.
	retryMargin = 0.95
	// maxRoutes bounds the memory if configurations with other routes follow each other.
	maxRoutes = 1024
)

// Verdict states whether a request can be in time.
type Verdict int

// The verdicts.
const (
	// InTime means that the request can still meet its objective.
	InTime Verdict = iota
	// Late means that requests that can be in time go first.
	Late
)

// Reason is why a request is late, for logs.
type Reason int

// The reasons.
const (
	ReasonNone Reason = iota
	// ReasonRetry means that the caller was refused or cut off before: it states much less
	// time than is usual on the route.
	ReasonRetry
	// ReasonObjective means that a first event would come after the objective.
	ReasonObjective
)

var reasonNames = [...]string{
	ReasonNone:      "none",
	ReasonRetry:     "retry",
	ReasonObjective: "objective cannot be met",
}

// String returns the text that logs have.
func (r Reason) String() string {
	if r < 0 || int(r) >= len(reasonNames) {
		return "unknown"
	}
	return reasonNames[r]
}

// Request is what the rank of a request depends on.
type Request struct {
	Route   string
	Arrived burdockclock.Millis
	// Budget is how long the caller says that it will wait; 0 if it says nothing. Such a
	// request counts as a first attempt.
	Budget burdockclock.Millis
	// Objective is the time from the first attempt within which the first event should
	// come; 0 means that no time is late.
	Objective burdockclock.Millis
}

// Rank is the verdict on a request.
type Rank struct {
	Verdict Verdict
	Reason  Reason // ReasonNone unless late
	// LateAt is the time from which the request is late if it has not started; 0 if it
	// never is.
	LateAt burdockclock.Millis
}

// Tracker learns the usual budgets of routes and the time to the first event.
type Tracker struct {
	cfg    Config
	routes map[string]*budgets
	// firstEvents holds the latest times to a first event, the oldest at next.
	firstEvents [firstEventSamples]burdockclock.Millis
	next        int
	firstEvent  burdockclock.Millis // the quantile of firstEvents
}

// New returns a tracker that has observed nothing.
func New(cfg Config) *Tracker {
	if !(cfg.RetryFraction > 0) {
		cfg.RetryFraction = defaultRetryFraction
	}
	cfg.InitialFirstEvent = cmp.Or(max(cfg.InitialFirstEvent, 0), defaultInitialFirstEvent)
	t := &Tracker{cfg: cfg, routes: map[string]*budgets{}, firstEvent: cfg.InitialFirstEvent}
	for i := range t.firstEvents {
		t.firstEvents[i] = cfg.InitialFirstEvent
	}
	return t
}

// ObserveFirstEvent records the time from a stream's start to its first event.
func (t *Tracker) ObserveFirstEvent(took burdockclock.Millis) {
	t.firstEvents[t.next] = max(took, 0)
	t.next = (t.next + 1) % firstEventSamples
	sorted := t.firstEvents
	slices.Sort(sorted[:])
	t.firstEvent = quantile(sorted[:], firstEventQuantile)
}

// FirstEvent returns the 90th percentile of the time to a stream's first event.
func (t *Tracker) FirstEvent() burdockclock.Millis { return t.firstEvent }

// quantile returns the element of a sorted list at a fraction of its length.
func quantile(sorted []burdockclock.Millis, fraction float64) burdockclock.Millis {
	return sorted[min(int(fraction*float64(len(sorted))), len(sorted)-1)]
}

// ObserveBudget records the time budget of a request that has arrived.
func (t *Tracker) ObserveBudget(route string, budget burdockclock.Millis) {
	if budget <= 0 {
		return
	}
	b, ok := t.routes[route]
	if !ok {
		if len(t.routes) >= maxRoutes {
			clear(t.routes)
		}
		b = &budgets{}
		t.routes[route] = b
	}
	b.observe(budget)
}

// IsRetry reports whether a request with this budget was tried before.
func (t *Tracker) IsRetry(route string, budget burdockclock.Millis) bool {
	usual := t.UsualBudget(route)
	return budget > 0 && float64(budget) < t.cfg.RetryFraction*float64(usual)
}

// UsualBudget returns the budget that first attempts on a route usually state; 0 if it is
// not known yet.
func (t *Tracker) UsualBudget(route string) burdockclock.Millis {
	if b, ok := t.routes[route]; ok {
		return b.usual
	}
	return 0
}

// RetryFrom returns the time from which a retry of a first attempt is known as one, because
// the caller has used up enough of its budget by then; its arrival if that is at once.
func (t *Tracker) RetryFrom(req Request) burdockclock.Millis {
	least := burdockclock.Millis(retryMargin * t.cfg.RetryFraction * float64(t.UsualBudget(req.Route)))
	if least <= 0 {
		return req.Arrived
	}
	return req.Arrived + max(req.Budget-least+1, 0)
}

// firstAttempt returns when the caller first sent a request.
func (t *Tracker) firstAttempt(req Request) burdockclock.Millis {
	if !t.IsRetry(req.Route, req.Budget) {
		return req.Arrived
	}
	return req.Arrived - (t.UsualBudget(req.Route) - req.Budget)
}

// Rank decides whether a request that has not started can be in time. A retry never goes
// before first attempts: its caller gives up first, and with the oldest callers in front
// all others become late too.
func (t *Tracker) Rank(now burdockclock.Millis, req Request) Rank {
	if req.Objective <= 0 {
		return Rank{}
	}
	rank := Rank{LateAt: t.firstAttempt(req) + req.Objective - t.firstEvent}
	switch {
	case t.IsRetry(req.Route, req.Budget):
		rank.Verdict, rank.Reason = Late, ReasonRetry
	case now >= rank.LateAt:
		rank.Verdict, rank.Reason = Late, ReasonObjective
	}
	return rank
}
