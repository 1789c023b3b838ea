package burdockhostedproof

import (
	"strconv"
	"testing"
	"time"

	"burdockbend.example/burdockbend/platform/burdockfakeplatform"
)

// drainTime is how long after an entry has passed on a response in which an upstream says that
// it is leaving the entry may still send it requests.
const drainTime = 2 * time.Second

// Guards against requests to an upstream that says in its responses that it is leaving, while
// the platform's list still shows it as ready.
func TestUpstreamThatLeavesGetsNoRequests(t *testing.T) {
	s := startSite(t, 3, 4, nil)
	l := s.startLoad(12, *seedFlag)
	for i := range 2 {
		s.replicas[i].Leave()
	}
	time.Sleep(2 * drainTime)
	replies := l.stop()
	check(t, *seedFlag, replies)
	for i := range 2 {
		checkLeaving(t, s.replicas[i], "replica-"+strconv.Itoa(i), replies, nil)
	}
}

// checkLeaving fails the test if a replica got a request that was sent later than drainTime
// after its entry had passed on that the replica is leaving. An entry that was disturbed since
// then doesn't count.
func checkLeaving(t *testing.T, replica *burdockfakeplatform.Replica, id string, replies []reply, disturbed map[string][]time.Time) {
	t.Helper()
	byID := map[string]reply{}
	toldAt := map[string][]time.Time{}
	for _, r := range replies {
		byID[r.id] = r
		if r.header.Get("Server-Leaving") != "" && r.isFrom(id) {
			toldAt[r.entry] = append(toldAt[r.entry], r.endAt)
		}
	}
	late := 0
	for _, a := range replica.Arrivals() {
		r := byID[a.ID]
		for _, told := range toldAt[r.entry] {
			if r.sentAt.After(told.Add(drainTime)) && !anyBetween(disturbed[r.entry], told, a.At) {
				late++
				break
			}
		}
	}
	t.Logf("%s: %d requests, %d late", id, len(replica.Arrivals()), late)
	if late > 0 {
		t.Errorf("seed %d: requests to %s after it had said that it leaves: got %d, want none", *seedFlag, id, late)
	}
}
