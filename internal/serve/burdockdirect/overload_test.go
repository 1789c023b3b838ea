package burdockdirect

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockqueue"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
)

// Figures of the simulated service.
const (
	simService   burdockclock.Millis = 1000
	simObjective burdockclock.Millis = 800
	simPatience  burdockclock.Millis = 6000
	simLength    burdockclock.Millis = 10000
	simWindow    burdockclock.Millis = 2000
	simMaxWait   burdockclock.Millis = simPatience * 7 / 10                                       // maxWaitFraction
	simCapacity                      = testGateSlots * int(burdockclock.Second) / int(simService) // requests per second
	simCost                          = 100
)

// simulation runs callers against a gate in simulated time. A caller that is refused
// retries once, after the Retry-After, with the time that it has left.
type simulation struct {
	gate  *gate
	clock burdockclock.Clock
	start burdockclock.Millis

	mu      sync.Mutex
	inTime  [simLength / simWindow]int // first events in time, by window
	longest burdockclock.Millis        // wait for a decision
}

func newSimulation() *simulation {
	g := newTestGate(true)
	return &simulation{gate: g, clock: g.clock, start: g.clock.Boot()}
}

// call is one caller: its first attempt, and a retry if that is refused.
func (s *simulation) call(n int, patience burdockclock.Millis) {
	route := &burdocksite.Route{Name: "stream", Stream: true, Objective: simObjective}
	began := s.clock.Boot()
	for attempt := range 2 {
		now := s.clock.Boot()
		left := began + patience - now
		if left <= 0 {
			return
		}
		req := &request{
			CallerHeaders: CallerHeaders{TimeBudget: left}, route: route, cost: simCost, arrived: now, deadline: now + left,
			customer: burdockid.Customer(fmt.Sprint("c", n%5)),
		}
		refuse, err := s.attempt(req, fmt.Sprint(n, ".", attempt), began)
		if refuse == nil || err != nil {
			return
		}
		time.Sleep(s.gate.retryAfter(req, refuse.RetryAfter).Duration())
	}
}

func (s *simulation) attempt(req *request, id string, began burdockclock.Millis) (*burdockqueue.Refuse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), (req.deadline - req.arrived).Duration())
	defer cancel()
	refuse, err := s.gate.admit(ctx, req, burdockid.Request(id))
	firstEvent := burdockclock.Millis(50 + rand.New(rand.NewPCG(uint64(req.arrived), 1)).IntN(300))
	s.record(req, began, firstEvent, refuse == nil && err == nil)
	if refuse != nil || err != nil {
		return refuse, err
	}
	time.Sleep(firstEvent.Duration())
	s.gate.observeFirstEvent("u", firstEvent)
	time.Sleep((simService - firstEvent).Duration())
	s.gate.finish(burdockid.Request(id), simCost)
	return nil, nil
}

// record counts a decision on a request whose caller began at a time.
func (s *simulation) record(req *request, began, firstEvent burdockclock.Millis, started bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Boot()
	s.longest = max(s.longest, now-req.arrived)
	first := now + firstEvent
	if window := (first - s.start) / simWindow; started && first <= began+simObjective && int(window) < len(s.inTime) {
		s.inTime[window]++
	}
}

// run sends requests at a multiple of what fits, with random gaps, and waits for the end of
// all callers.
func (s *simulation) run(factor float64) {
	rnd := rand.New(rand.NewPCG(3, 4))
	var callers sync.WaitGroup
	for n := 0; s.clock.Boot() < s.start+simLength; n++ {
		patience := burdockclock.Millis(float64(simPatience) * (0.85 + 0.3*rnd.Float64()))
		callers.Go(func() { s.call(n, patience) })
		time.Sleep(time.Duration(rnd.ExpFloat64() / (factor * float64(simCapacity)) * float64(time.Second)))
	}
	callers.Wait()
}

// At one and a half and three times what the engines serve, with callers that retry, nearly
// all of the room has to go to requests that are in time, in each window but the first.
// Without shared admission, 39 to 71 of 80 were in time in one run. No request may wait for
// an answer for longer than callers accept.
func TestOverloadServesRequestsInTime(t *testing.T) {
	for _, factor := range []float64{1.5, 3} {
		synctest.Test(t, func(t *testing.T) {
			s := newSimulation()
			s.run(factor)
			minWant := int(0.85 * float64(simCapacity) * float64(simWindow) / float64(burdockclock.Second))
			for window, got := range s.inTime[1:] {
				if got < minWant {
					t.Errorf("%v times the room, window %d: got %d in time, want at least %d", factor, window+1, got, minWant)
				}
			}
			if s.longest > simMaxWait {
				t.Errorf("%v times the room: a request waited %d ms for an answer, want at most %d", factor, s.longest, simMaxWait)
			}
			t.Logf("%v times the room: in time by window %v, longest wait %d ms", factor, s.inTime, s.longest)
		})
	}
}
