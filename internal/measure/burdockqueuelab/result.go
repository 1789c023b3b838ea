package burdockqueuelab

import (
	"sort"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// result is what one policy did with one seed's arrivals.
type result struct {
	policy   policy
	lab      *lab
	requests []*request
}

// summary counts the outcomes of some of the requests.
type summary struct {
	requests int
	inTime   int
	refused  int
	untold   int // hung up without having been told anything
	cut      int // hung up in the middle of the answer
	attempts int
	// waits are from arrival to start, of those that were started.
	waits []burdockclock.Millis
	// toldAfter are from the last offer to its refusal, of the refused.
	toldAfter []burdockclock.Millis
	// goodTokens and wastedTokens were served within the measured time, for
	// answers that came in time and for nobody.
	goodTokens, wastedTokens float64
}

// summarise counts the requests that keep selects.
func (r *result) summarise(keep func(*request) bool) *summary {
	s := &summary{}
	for _, req := range r.requests {
		if keep(req) {
			s.add(req)
		}
	}
	sortMillis(s.waits)
	sortMillis(s.toldAfter)
	return s
}

func (s *summary) add(r *request) {
	s.requests++
	s.attempts += r.attempts
	if r.running {
		s.waits = append(s.waits, r.started-r.work.Arrived)
	}
	switch r.outcome {
	case outcomeInTime:
		s.inTime++
		s.goodTokens += r.inWindow
	case outcomeCut:
		s.cut++
		s.wastedTokens += r.inWindow
	case outcomeUntold:
		s.untold++
	case outcomeRefused:
		s.refused++
		s.toldAfter = append(s.toldAfter, r.toldAfter)
	case outcomeOpen:
		panic("burdockqueuelab: request " + string(r.work.ID) + " has no outcome")
	}
}

func everyone(*request) bool { return true }

func ofClass(class int) func(*request) bool {
	return func(r *request) bool { return int(r.work.Class) == class }
}

func ofCustomer(customer burdockid.Customer) func(*request) bool {
	return func(r *request) bool { return r.work.Customer == customer }
}

// part returns n as a percentage of the requests.
func (s *summary) part(n int) float64 {
	if s.requests == 0 {
		return 0
	}
	return 100 * float64(n) / float64(s.requests)
}

// atOnce returns the percentage of the refused that were told with the answer
// to their offer.
func (s *summary) atOnce() float64 {
	n := sort.Search(len(s.toldAfter), func(i int) bool { return s.toldAfter[i] > 0 })
	if n == 0 {
		return 0
	}
	return 100 * float64(n) / float64(len(s.toldAfter))
}

// ofCapacity returns tokens as a percentage of what the engine could serve.
func (r *result) ofCapacity(tokens float64) float64 {
	return 100 * tokens / r.lab.capacityTokens()
}

func sortMillis(m []burdockclock.Millis) {
	sort.Slice(m, func(i, j int) bool { return m[i] < m[j] })
}

// quantile returns the value below which a part of the sorted values lie.
func quantile(sorted []burdockclock.Millis, part float64) burdockclock.Millis {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(part*float64(len(sorted)-1))]
}
