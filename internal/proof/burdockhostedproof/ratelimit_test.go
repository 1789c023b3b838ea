package burdockhostedproof

import (
	"slices"
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
		checkRateLimit(t, s.replicas[i], "replica-"+strconv.Itoa(i), rate, namedAt, replies, nil)
	}
}

// Guards against rate limits that are exceeded while entries are slow, freeze, are killed and
// stopped, and the configuration changes.
func TestFaultsKeepRateLimits(t *testing.T) {
	s := startSite(t, 4, 4, nil)
	l := s.startLoad(12, *seedFlag)
	f := newFaults(t, s)
	limits := map[int]float64{}
	for _, i := range f.random.Perm(len(s.replicas))[:2] {
		limits[i] = soakRates[f.random.IntN(len(soakRates))]
		s.replicas[i].NameRateLimit(strconv.FormatFloat(limits[i], 'g', -1, 64))
	}
	namedAt := time.Now()
	f.injectFor(*timeFlag)
	replies := l.stop()
	check(t, *seedFlag, replies)
	t.Logf("faults: %v", f.counts)
	for i, rate := range limits {
		checkRateLimit(t, s.replicas[i], "replica-"+strconv.Itoa(i), rate, namedAt, replies, f.disturbed)
	}
}

// soakRates are the limits, in requests per second, that upstreams name under faults.
var soakRates = []float64{0.2, 0.5, 1, 3, 20, 100}

// checkRateLimit fails the test if a replica got more than its limit allows. An entry that
// was disturbed counts again once it has passed on another response that names the limit.
func checkRateLimit(t *testing.T, replica *burdockfakeplatform.Replica, id string, rate float64, namedAt time.Time, replies []reply, disturbed map[string][]time.Time) {
	t.Helper()
	entryOf := map[string]string{}
	toldAt := map[string][]time.Time{}
	for _, r := range replies {
		entryOf[r.id] = r.entry
		if r.isFrom(id) && r.names(rate) {
			toldAt[r.entry] = append(toldAt[r.entry], r.endAt)
		}
	}
	var counted []time.Time
	for _, a := range replica.Arrivals() {
		entry := entryOf[a.ID]
		since := namedAt
		for _, at := range disturbed[entry] {
			if at.Before(a.At) {
				since = at
			}
		}
		told := slices.ContainsFunc(toldAt[entry], func(at time.Time) bool { return at.After(since) && at.Before(a.At.Add(-toldBefore)) })
		if told && a.At.After(namedAt.Add(settleBefore)) {
			counted = append(counted, a.At)
		}
	}
	allowed := int(limitFactor*rate*limitWindow.Seconds()) + limitSlack
	got := most(counted, limitWindow)
	t.Logf("%s with limit %v: %d requests, at most %d in %v, allowed %d", id, rate, len(counted), got, limitWindow, allowed)
	if got > allowed {
		t.Errorf("seed %d: requests to %s in %v: got %d, want %d at most at %v a second", *seedFlag, id, limitWindow, got, allowed, rate)
	}
}

// isFrom reports whether the reply is the answer of a replica.
func (r reply) isFrom(replica string) bool { return strings.HasPrefix(r.stamp, replica+".") }

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
