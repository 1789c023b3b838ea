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

// A home of keys that is handed over is back within the time that an edit
// takes to reach its agent. A caller waits that long at most; with a shorter
// deadline, until that.
const (
	homePause    = 250 * burdockclock.Millis(1)
	homeTriesMax = 20
)

// reasonKeyHome says that the request's key allows only this upstream.
const reasonKeyHome burdockplace.Reason = "keyHome"

// reasonHomeRefuses says that the only upstream that may run the key refused.
const reasonHomeRefuses burdockretry.Reason = "homeRefuses"

// home returns the one upstream that may run the request's key.
func (o *offers) home() (burdockmember.Upstream, burdockplace.Choice, bool) {
	fleet := o.entry.deps.Fleet.Now()
	slot := burdockledger.SlotOf(burdockledger.KeyOf(o.req.customer, o.req.key))
	home, ok := fleet.Homes[o.req.service][slot]
	if !ok {
		return burdockmember.Upstream{}, burdockplace.Choice{}, false
	}
	target, ok := fleet.Upstreams[home.Upstream]
	if !ok {
		return burdockmember.Upstream{}, burdockplace.Choice{}, false
	}
	choice := burdockplace.Choice{Upstream: target.Name, Reason: reasonKeyHome, Candidates: 1}
	o.pool.sent(o.now(), o, choice)
	return target, choice, true
}

// waitForHome waits for a home of the request's key. It reports false when the
// request has been given up instead.
func (o *offers) waitForHome(ctx context.Context) bool {
	o.homeTries++
	if o.homeTries > homeTriesMax || o.now()+homePause > o.req.deadline {
		o.giveUp(o.pool.noUpstream(o.now()), notRun{refusal: &burdockwire.Refused{
			Reason:      burdockwire.RefusedReason_REFUSED_REASON_KEY_NOT_HERE,
			Explanation: "the key has no home that answers now",
		}})
		return false
	}
	return o.pause(ctx, homePause)
}

// againAtHome decides about a request with a key that its home refused. No
// other upstream may run it, so it is only worth another try when the home is
// about to change.
func (o *offers) againAtHome(ctx context.Context, res notRun) bool {
	switch res.refusal.GetReason() {
	case burdockwire.RefusedReason_REFUSED_REASON_KEY_NOT_HERE, burdockwire.RefusedReason_REFUSED_REASON_LEAVING:
		return !o.waitForHome(ctx)
	}
	after := burdockclock.Millis(res.refusal.GetRetryAfterMillis())
	o.giveUp(burdockretry.GiveUp{Reason: reasonHomeRefuses, RetryAfter: max(after, burdockclock.Second)}, res)
	return true
}
