package burdockrank

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
)

// leaseTerm is the lease of a group as its controller knows it.
//
// The lease may be extended for a while without the store. A store can be out for seconds
// while the popularity of experts shifts every few seconds. A group without a controller
// would keep a map that no longer fits, and its steps would take two to three times as
// long until the store is back.
//
// This is safe: while the store is out for everybody, nobody else can get the lease. If
// it is out for this VM alone, another agent gets the lease and reads all ranks with its
// higher fencing number, which voids every order of this controller. The fencing numbers
// that the ranks check keep two controllers apart; the lease only makes it rare that
// there are two. An expired lease is never extended, so a VM that was frozen is no
// controller when it resumes.
type leaseTerm struct {
	ttl            burdockclock.Millis // of the lease
	maxStoreOutage burdockclock.Millis // how long the lease is extended without the store

	fence       burdockid.Fence
	requestedAt burdockclock.Millis // when the last request that the store confirmed was sent
	until       burdockclock.Millis // end of the lease; 0: not held
}

// confirm records that the store confirmed the lease in answer to a request sent at the
// given time.
func (t *leaseTerm) confirm(requestedAt burdockclock.Millis, fence burdockid.Fence) burdockgroup.Lease {
	t.fence, t.requestedAt, t.until = fence, requestedAt, requestedAt+t.ttl
	return t.lease()
}

// extend extends the lease although the store did not answer. It returns false if the
// lease has expired or the store has been out for too long.
func (t *leaseTerm) extend(now burdockclock.Millis) (burdockgroup.Lease, bool) {
	if now >= t.until || now-t.requestedAt >= t.maxStoreOutage {
		return burdockgroup.Lease{}, false
	}
	t.until = min(now+t.ttl, t.requestedAt+max(t.maxStoreOutage, t.ttl))
	return t.lease(), true
}

// confirmedByStore reports whether the lease is as the store confirmed it, not extended.
func (t *leaseTerm) confirmedByStore() bool { return t.until == t.requestedAt+t.ttl }

// heldAt reports whether the lease is held at a time, as confirmed or extended.
func (t *leaseTerm) heldAt(now burdockclock.Millis) bool { return now < t.until }

// drop drops the lease.
func (t *leaseTerm) drop() { t.until = 0 }

func (t *leaseTerm) lease() burdockgroup.Lease {
	return burdockgroup.Lease{Fence: t.fence, Until: t.until}
}
