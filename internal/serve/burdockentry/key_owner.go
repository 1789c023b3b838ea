package burdockentry

import (
	"context"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/config/burdockmember"
	"burdockbend.example/burdockbend/internal/decide/burdockledger"
	"burdockbend.example/burdockbend/internal/decide/burdockplace"
	"burdockbend.example/burdockbend/internal/decide/burdockretry"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
)

// Keys that are handed over have an owner again as soon as the configuration change
// reaches the new owner's agent. A caller waits at most five seconds for that, and not
// beyond its deadline.
const (
	ownerRetryDelay = 250 * burdockclock.Millis(1)
	maxOwnerTries   = 20
)

// reasonKeyOwner says that this upstream owns the request's idempotency key and no
// other may run it.
const reasonKeyOwner burdockplace.Reason = "keyHome"

// reasonOwnerRefused says that the owner of the key refused, and no other upstream may
// run the request.
const reasonOwnerRefused burdockretry.Reason = "homeRefuses"

// owner returns the upstream that owns the request's idempotency key, and records an
// offer to it.
func (d *dispatcher) owner() (burdockmember.Upstream, burdockplace.Choice, bool) {
	fleet := d.entry.deps.Fleet.Now()
	slot := burdockledger.SlotOf(burdockledger.KeyOf(d.req.customer, d.req.idempotencyKey))
	owner, ok := fleet.KeyOwners[d.req.service][slot]
	if !ok {
		return burdockmember.Upstream{}, burdockplace.Choice{}, false
	}
	target, ok := fleet.Upstreams[owner.Upstream]
	if !ok {
		return burdockmember.Upstream{}, burdockplace.Choice{}, false
	}
	choice := burdockplace.Choice{Upstream: target.Name, Reason: reasonKeyOwner, Candidates: 1}
	d.pool.recordOffer(d.now(), d, choice)
	return target, choice, true
}

// waitForOwner waits before the owner of the request's key is looked up again. It
// reports false when the request has ended instead.
func (d *dispatcher) waitForOwner(ctx context.Context) bool {
	d.ownerTries++
	if d.ownerTries > maxOwnerTries || d.now()+ownerRetryDelay > d.req.deadline {
		d.giveUp(d.pool.giveUpNoUpstream(d.now()), refused{refusal: &burdockwire.Refused{
			Reason:      burdockwire.RefusedReason_REFUSED_REASON_KEY_NOT_HERE,
			Explanation: "the key has no home that answers now",
		}})
		return false
	}
	return d.pause(ctx, ownerRetryDelay)
}

// retryAtOwner handles a refusal by the owner of the request's key, and reports whether
// the request has ended. No other upstream may run it, so a retry makes sense only when
// the owner is about to change.
func (d *dispatcher) retryAtOwner(ctx context.Context, res refused) bool {
	switch res.refusal.GetReason() {
	case burdockwire.RefusedReason_REFUSED_REASON_KEY_NOT_HERE, burdockwire.RefusedReason_REFUSED_REASON_LEAVING:
		return !d.waitForOwner(ctx)
	}
	retryAfter := burdockclock.Millis(res.refusal.GetRetryAfterMillis())
	d.giveUp(burdockretry.GiveUp{Reason: reasonOwnerRefused, RetryAfter: max(retryAfter, burdockclock.Second)}, res)
	return true
}
