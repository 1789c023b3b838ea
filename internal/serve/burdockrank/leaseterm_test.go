package burdockrank

import (
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

const (
	testTTL          = 1500 * burdockclock.Millis(1)
	testEvery        = 400 * burdockclock.Millis(1)
	testFence        = burdockid.Fence(7)
	testOutage       = 20 * burdockclock.Second
	testStart        = burdockclock.Minute
	testMinExtension = testStart + 19*burdockclock.Second
)

// Guards against an agent that was frozen past the end of its lease and goes on to answer
// as its holder when it resumes, and against one that stops to answer while the lease is
// extended during an outage of the store.
func TestLeaseIsHeldUntilItsEnd(t *testing.T) {
	term := leaseTerm{ttl: testTTL, maxStoreOutage: testOutage}
	check := func(what string, at burdockclock.Millis, want bool) {
		t.Helper()
		if got := term.heldAt(at); got != want {
			t.Errorf("%s: got held %t, want %t", what, got, want)
		}
	}
	check("never acquired", testStart, false)
	term.confirm(testStart, testFence)
	check("confirmed", testStart+testTTL-1, true)
	check("frozen until its end", testStart+testTTL, false)
	term.extend(testStart + testEvery)
	check("extended", testStart+testTTL, true)
	check("frozen until the end of the extension", testStart+testEvery+testTTL, false)
	term.drop()
	check("lost to another agent", testStart, false)
}

// Guards against a host that answers by a lease of another group, or by one that ended while
// its VM was suspended: the clock that the lease follows keeps running then.
func TestHostHoldsLeaseOfItsGroupOnly(t *testing.T) {
	clock := burdockclock.NewManual(testStart)
	h := NewHost("u", Deps{Clock: clock.Clock(), Tuning: Tuning{LeaseTTL: testTTL}})
	check := func(what, group string, wantFence burdockid.Fence, want bool) {
		t.Helper()
		if fence, held := h.HeldLease(group); held != want || held && fence != wantFence {
			t.Errorf("%s: got fence %d, held %t, want %d, %t", what, fence, held, wantFence, want)
		}
	}
	check("in no group", "g@1", 0, false)
	m := &member{assignment: Assignment{Group: "g@1"}, deps: h.deps}
	m.leadership = &leadership{lease: newLeaseKeeper(m, nil)}
	h.current = m
	check("before the lease", "g@1", 0, false)
	m.leadership.lease.confirm(testStart, testFence)
	check("held", "g@1", testFence, true)
	check("another group", "g@2", 0, false)
	clock.Advance(testTTL)
	check("suspended until its end", "g@1", 0, false)
}

// If the store is out and the lease expires, the group has no controller that follows the
// popularity, and streams are late for seconds. The controller must extend its lease for
// the maximum store outage, and no longer.
func TestLeaseIsExtendedDuringStoreOutage(t *testing.T) {
	held := leaseTerm{ttl: testTTL, maxStoreOutage: testOutage}
	held.confirm(testStart, testFence)
	now := testStart
	for ; ; now += testEvery {
		lease, ok := held.extend(now)
		if !ok {
			break
		}
		if lease.Fence != testFence || lease.Until <= now {
			t.Fatalf("%d ms after the last confirmation: got %+v", now-testStart, lease)
		}
	}
	if now < testMinExtension || held.until > testStart+testOutage {
		t.Errorf("store outage: got a lease until %d ms after the last confirmation, not extended from %d ms on; want about %d",
			held.until-testStart, now-testStart, testOutage)
	}
}

// A VM freezes while the store is out and resumes after its lease has expired. Another
// agent may hold the lease by then, so this one must not go on.
func TestExpiredLeaseIsNotExtended(t *testing.T) {
	held := leaseTerm{ttl: testTTL, maxStoreOutage: testOutage}
	held.confirm(testStart, testFence)
	if lease, ok := held.extend(testStart + testTTL); ok {
		t.Errorf("after the lease expired: got %+v, want none", lease)
	}
}

// A rank reports a newer controller. A store that doesn't answer must not reinstate the
// old one.
func TestDroppedLeaseIsNotExtended(t *testing.T) {
	held := leaseTerm{ttl: testTTL, maxStoreOutage: testOutage}
	held.confirm(testStart, testFence)
	held.drop()
	if lease, ok := held.extend(testStart + 1); ok {
		t.Errorf("after drop: got %+v, want none", lease)
	}
}

// Without a maximum store outage, a lease expires by itself.
func TestLeaseExpiresWithoutExtension(t *testing.T) {
	held := leaseTerm{ttl: testTTL}
	held.confirm(testStart, testFence)
	if lease, ok := held.extend(testStart + testEvery); ok {
		t.Errorf("store outage: got %+v, want none", lease)
	}
}
