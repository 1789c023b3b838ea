package burdockqueuelab

import (
	"sort"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// result holds the requests of one run with their outcomes.
type result struct {
	policy   policy
	lab      *lab
	requests []*request
}

// summary aggregates the outcomes of a subset of the requests.
type summary struct {
	requests    int
	inTime      int
	refused     int
	unanswered  int // the caller hung up while the request was queued
	interrupted int // the caller hung up during the answer
	attempts    int
	// waits holds the times from arrival to start of the requests that were started.
	waits []burdockclock.Millis
	// timeToRefusal holds the times from the last attempt to its refusal, of the
	// refused requests.
	timeToRefusal []burdockclock.Millis
	// goodTokens and wastedTokens count the tokens served within the measured time
	// for answers that finished in time and for answers that were interrupted.
	goodTokens, wastedTokens float64
}

// summarise aggregates the requests that filter selects.
func (r *result) summarise(filter func(*request) bool) *summary {
	s := &summary{}
	for _, req := range r.requests {
		if filter(req) {
			s.add(req)
		}
	}
	sortMillis(s.waits)
	sortMillis(s.timeToRefusal)
	return s
}

func (s *summary) add(r *request) {
	s.requests++
	s.attempts += r.attempts
	if r.everStarted {
		s.waits = append(s.waits, r.startedAt-r.work.Arrived)
	}
	switch r.outcome {
	case outcomeInTime:
		s.inTime++
		s.goodTokens += r.measuredTokens
	case outcomeInterrupted:
		s.interrupted++
		s.wastedTokens += r.measuredTokens
	case outcomeUnanswered:
		s.unanswered++
	case outcomeRefused:
		s.refused++
		s.timeToRefusal = append(s.timeToRefusal, r.timeToRefusal)
	case outcomePending:
		panic("burdockqueuelab: request " + string(r.work.ID) + " has no outcome")
	}
}

func allRequests(*request) bool { return true }

func ofClass(class int) func(*request) bool {
	return func(r *request) bool { return int(r.work.Class) == class }
}

func ofCustomer(customer burdockid.Customer) func(*request) bool {
	return func(r *request) bool { return r.work.Customer == customer }
}

// percentOf returns n as a percentage of the summary's requests.
func (s *summary) percentOf(n int) float64 {
	if s.requests == 0 {
		return 0
	}
	return 100 * float64(n) / float64(s.requests)
}

// percentRefusedAtOnce returns the percentage of the refused requests whose last
// attempt was refused on arrival instead of after a wait in the queue.
func (s *summary) percentRefusedAtOnce() float64 {
	n := sort.Search(len(s.timeToRefusal), func(i int) bool { return s.timeToRefusal[i] > 0 })
	if n == 0 {
		return 0
	}
	return 100 * float64(n) / float64(len(s.timeToRefusal))
}

// percentOfCapacity returns tokens as a percentage of the engine's capacity in the
// measured time.
func (r *result) percentOfCapacity(tokens float64) float64 {
	return 100 * tokens / r.lab.capacityTokens()
}

func sortMillis(m []burdockclock.Millis) {
	sort.Slice(m, func(i, j int) bool { return m[i] < m[j] })
}

// quantile returns the value at the given fraction of the sorted values.
func quantile(sorted []burdockclock.Millis, fraction float64) burdockclock.Millis {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(fraction*float64(len(sorted)-1))]
}
