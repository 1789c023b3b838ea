package burdockrank

import (
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

const (
	testTTL               = 1500 * burdockclock.Millis(1)
	testEvery             = 400 * burdockclock.Millis(1)
	testFence             = burdockid.Fence(7)
	testOutage            = 20 * burdockclock.Second
	testStart             = burdockclock.Minute
	testTenureEndsEarlier = testStart + 19*burdockclock.Second
)

// Callers' streams come late for seconds: the store goes out, the lease lapses,
// and the group has no controller that would follow its popularity. The
// controller goes on for as long as it is told to, and no longer.
func TestTenureOutlastsTheStore(t *testing.T) {
	held := tenure{ttl: testTTL, outage: testOutage}
	held.confirm(testStart, testFence)
	now := testStart
	for ; ; now += testEvery {
		lease, ok := held.believe(now)
		if !ok {
			break
		}
		if lease.Fence != testFence || lease.Until <= now {
			t.Fatalf("%d ms after the store's last word: got %+v", now-testStart, lease)
		}
	}
	if now < testTenureEndsEarlier || held.until > testStart+testOutage {
		t.Errorf("without the store: got a lease until %d ms after its last word, believed for the last time after %d; want about %d",
			held.until-testStart, now-testStart, testOutage)
	}
}

// A VM freezes while the store is out and wakes when its lease has lapsed.
// Another agent may have the lease by then, so this one must not go on.
func TestTenureThatLapsedIsOver(t *testing.T) {
	held := tenure{ttl: testTTL, outage: testOutage}
	held.confirm(testStart, testFence)
	if lease, ok := held.believe(testStart + testTTL); ok {
		t.Errorf("after the lease lapsed: got %+v, want none", lease)
	}
}

// A rank tells of a newer controller. The store's silence must not bring the
// old one back.
func TestTenureThatEndedIsOver(t *testing.T) {
	held := tenure{ttl: testTTL, outage: testOutage}
	held.confirm(testStart, testFence)
	held.end()
	if lease, ok := held.believe(testStart + 1); ok {
		t.Errorf("after its end: got %+v, want none", lease)
	}
}

// Where no time without the store is set, a lease lapses by itself.
func TestTenureWithoutOutageLapses(t *testing.T) {
	held := tenure{ttl: testTTL}
	held.confirm(testStart, testFence)
	if lease, ok := held.believe(testStart + testEvery); ok {
		t.Errorf("without the store: got %+v, want none", lease)
	}
}
