package burdockagent

import (
	"context"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockledger"
	"burdockbend.example/burdockbend/internal/state/burdockowner"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"connectrpc.com/connect"
)

const testKey = "handed over"

func testKeyRequest() burdockledger.KeyedRequest {
	return keyedRequestOf(&burdockwire.RunRequest{RequestId: "repeat", Customer: historyCustomer, IdempotencyKey: testKey})
}

// newOffer returns the records of the key's slot, from an owner that ran the key or from
// one that did not.
func newOffer(from burdockid.Incarnation, ran bool) *burdockwire.TakeKeysRequest {
	keyed := testKeyRequest()
	offer := &burdockwire.TakeKeysRequest{FromIncarnation: string(from), Slot: int32(burdockledger.SlotOf(keyed.Key))}
	if ran {
		offer.Lines = []*burdockwire.KeyLine{{
			KeyHigh: keyed.Key[0], KeyLow: keyed.Key[1], RequestId: "first",
			Fingerprint: uint64(keyed.Fingerprint), Fate: uint32(burdockledger.OutcomeAnswered),
		}}
	}
	return offer
}

func (e *testEnv) takeKeys(t *testing.T, offer *burdockwire.TakeKeysRequest) {
	t.Helper()
	res, err := e.agent.TakeKeys(context.Background(), connect.NewRequest(offer))
	if err != nil || !res.Msg.GetTaken() {
		t.Fatalf("TakeKeys: got %v, %v; want the offer taken", res, err)
	}
}

// setOwner makes the agent the owner of the key's slot.
func (e *testEnv) setOwner(version burdockid.Version, from burdockid.Incarnation) {
	e.agent.mu.Lock()
	defer e.agent.mu.Unlock()
	owner := burdockowner.Owner{Upstream: "u-1", Incarnation: e.agent.incarnation, HandedOverBy: from}
	owners := burdockowner.Owners{burdockledger.SlotOf(testKeyRequest().Key): {Owner: owner, Version: version}}
	e.agent.keys.applyOwners(owners, "u-1", e.agent.incarnation)
}

// decide returns the ledger's decision about a repeat of the key; nil if the agent does
// not own its slot.
func (e *testEnv) decide() burdockledger.Decision {
	e.agent.mu.Lock()
	defer e.agent.mu.Unlock()
	if !e.agent.keys.ledger.OwnsSlot(burdockledger.SlotOf(testKeyRequest().Key)) {
		return nil
	}
	return e.agent.keys.ledger.Decide(e.clock.Clock().Now(), testKeyRequest())
}

// Checks that a key does not run again at the new owner of its slot. The old owner got no
// reply to its first offer, ran the key and offered the slot again, and the first offer
// arrives after the second.
func TestDelayedOfferKeepsNewerRecords(t *testing.T) {
	e := newTestEnv(t, 0)
	e.takeKeys(t, newOffer("old", true))
	e.takeKeys(t, newOffer("old", false))
	e.setOwner(1, "old")
	want := burdockledger.Attach{Request: "first", Outcome: burdockledger.OutcomeAnswered}
	if got := e.decide(); got != want {
		t.Errorf("repeat: got %#v, want %#v", got, want)
	}
}

// An offer of an earlier owner arrives after the offer of the last one. Checks that the
// records of the last owner are used.
func TestDelayedOfferOfEarlierOwner(t *testing.T) {
	e := newTestEnv(t, 0)
	e.takeKeys(t, newOffer("last", true))
	e.takeKeys(t, newOffer("earlier", false))
	e.setOwner(1, "last")
	want := burdockledger.Attach{Request: "first", Outcome: burdockledger.OutcomeAnswered}
	if got := e.decide(); got != want {
		t.Errorf("repeat: got %#v, want %#v", got, want)
	}
}

// Checks that a key does not run again at an owner that handed its slot over and got it
// back. The owner was delayed and sees only the last of the two changes, so it never saw
// itself without the slot. The key ran at the other owner in between.
func TestSlotReacquired(t *testing.T) {
	e := newTestEnv(t, 0)
	e.setOwner(1, "")
	e.takeKeys(t, newOffer("between", true))
	e.setOwner(3, "between")
	want := burdockledger.Attach{Request: "first", Outcome: burdockledger.OutcomeAnswered}
	if got := e.decide(); got != want {
		t.Errorf("repeat: got %#v, want %#v", got, want)
	}
}

// As above, but the records of the other owner are missing: no key of the slot may run.
func TestSlotReacquiredWithoutRecords(t *testing.T) {
	e := newTestEnv(t, 0)
	e.setOwner(1, "")
	e.setOwner(3, "between")
	if got := e.decide(); got != nil {
		t.Errorf("repeat: got %#v, want a slot that the agent does not own", got)
	}
}
