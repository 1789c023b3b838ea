package burdockhostedproof

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"burdockbend.example/burdockbend/platform/burdockfakeplatform"
)

// The bound on the requests that an upstream with a rate limit may get in limitWindow, from
// the entries that passed on a response naming it at least toldBefore earlier, once it has
// named it for settleBefore.
const (
	limitWindow  = 4 * time.Second
	limitFactor  = 1.5
	limitSlack   = 5
	toldBefore   = 500 * time.Millisecond
	settleBefore = 3 * time.Second
)

// Guards against entries that each send their usual share to an upstream that names a limit
// for all of them together.
func TestRateLimitHoldsForAllEntriesTogether(t *testing.T) {
	s := startSite(t, 4, 4, nil)
	l := s.startLoad(16, *seedFlag)
	limits := map[int]float64{0: 1, 1: 20}
	for i, rate := range limits {
		s.replicas[i].NameRateLimit(strconv.FormatFloat(rate, 'g', -1, 64))
	}
	namedAt := time.Now()
	time.Sleep(3 * limitWindow)
	replies := l.stop()
	check(t, *seedFlag, replies)
	for i, rate := range limits {
		checkRateLimit(t, s.replicas[i], "replica-"+strconv.Itoa(i), rate, namedAt, replies)
	}
}

// checkRateLimit fails the test if a replica got more than its limit allows.
func checkRateLimit(t *testing.T, replica *burdockfakeplatform.Replica, id string, rate float64, namedAt time.Time, replies []reply) {
	t.Helper()
	toldAt := map[string]time.Time{}
	entryOf := map[string]string{}
	for _, r := range replies {
		entryOf[r.id] = r.entry
		if told, ok := toldAt[r.entry]; strings.HasPrefix(r.stamp, id+".") && r.names(rate) && (!ok || r.endAt.Before(told)) {
			toldAt[r.entry] = r.endAt
		}
	}
	var counted []time.Time
	for _, a := range replica.Arrivals() {
		if told, ok := toldAt[entryOf[a.ID]]; ok && a.At.After(told.Add(toldBefore)) && a.At.After(namedAt.Add(settleBefore)) {
			counted = append(counted, a.At)
		}
	}
	allowed := int(limitFactor*rate*limitWindow.Seconds()) + limitSlack
	got := most(counted, limitWindow)
	t.Logf("%s with limit %v: %d requests, at most %d in %v, allowed %d", id, rate, len(counted), got, limitWindow, allowed)
	if got > allowed {
		t.Errorf("requests to %s in %v: got %d, want %d at most at %v a second", id, limitWindow, got, allowed, rate)
	}
}

// names reports whether the reply names a rate limit.
func (r reply) names(rate float64) bool {
	named, err := strconv.ParseFloat(r.header.Get("Server-Limit"), 64)
	return err == nil && named == rate
}

// most returns the largest number of times that lie within one window. The times are in
// order.
func most(times []time.Time, window time.Duration) int {
	best, from := 0, 0
	for to, at := range times {
		for at.Sub(times[from]) >= window {
			from++
		}
		best = max(best, to-from+1)
	}
	return best
}
