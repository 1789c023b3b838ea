package burdockagent

import (
	"context"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockledger"
	"burdockbend.example/burdockbend/internal/state/burdockhome"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"connectrpc.com/connect"
)

const handedKey = "handed over"

func handedAsk() burdockledger.KeyedRequest {
	return keyedRequestOf(&burdockwire.RunRequest{RequestId: "repeat", Customer: historyCustomer, IdempotencyKey: handedKey})
}

// handOver is the memory of the key's slot, from a home that ran the key or
// from one that did not.
func handOver(from burdockid.Incarnation, ran bool) *burdockwire.TakeKeysRequest {
	ask := handedAsk()
	offer := &burdockwire.TakeKeysRequest{FromIncarnation: string(from), Slot: int32(burdockledger.SlotOf(ask.Key))}
	if ran {
		offer.Lines = []*burdockwire.KeyLine{{
			KeyHigh: ask.Key[0], KeyLow: ask.Key[1], RequestId: "first",
			Fingerprint: uint64(ask.Fingerprint), Fate: uint32(burdockledger.OutcomeAnswered),
		}}
	}
	return offer
}

func (r *rig) takeKeys(t *testing.T, offer *burdockwire.TakeKeysRequest) {
	t.Helper()
	res, err := r.agent.TakeKeys(context.Background(), connect.NewRequest(offer))
	if err != nil || !res.Msg.GetTaken() {
		t.Fatalf("TakeKeys: got %v, %v; want it taken", res, err)
	}
}

// follow tells the agent that it is the home of the key's slot.
func (r *rig) follow(version burdockid.Version, from burdockid.Incarnation) {
	r.agent.mu.Lock()
	defer r.agent.mu.Unlock()
	home := burdockhome.Home{Upstream: "u-1", Incarnation: r.agent.incarnation, From: from}
	homes := burdockhome.Homes{burdockledger.SlotOf(handedAsk().Key): {Home: home, Version: version}}
	r.agent.keys.applyOwners(homes, "u-1", r.agent.incarnation)
}

// decide asks the ledger for the key.
func (r *rig) decide() burdockledger.Decision {
	r.agent.mu.Lock()
	defer r.agent.mu.Unlock()
	if !r.agent.keys.ledger.OwnsSlot(burdockledger.SlotOf(handedAsk().Key)) {
		return nil
	}
	return r.agent.keys.ledger.Decide(r.clock.Clock().Now(), handedAsk())
}

// A caller repeats a key at its new home and gets no second run. The old home
// offered its memory twice, since the first offer got no answer, and ran the
// key in between. The first offer arrives after the second.
func TestLateMemoryReplacesNothing(t *testing.T) {
	r := newRig(t, 0)
	r.takeKeys(t, handOver("old", true))
	r.takeKeys(t, handOver("old", false))
	r.follow(1, "old")
	want := burdockledger.Attach{Request: "first", Outcome: burdockledger.OutcomeAnswered}
	if got := r.decide(); got != want {
		t.Errorf("repeat: got %#v, want %#v", got, want)
	}
}

// A caller's key goes on to have a home. An offer of an earlier home arrives
// after that of the last one, whose memory is the one that counts.
func TestLateMemoryOfAnotherHome(t *testing.T) {
	r := newRig(t, 0)
	r.takeKeys(t, handOver("last", true))
	r.takeKeys(t, handOver("earlier", false))
	r.follow(1, "last")
	want := burdockledger.Attach{Request: "first", Outcome: burdockledger.OutcomeAnswered}
	if got := r.decide(); got != want {
		t.Errorf("repeat: got %#v, want %#v", got, want)
	}
}

// A caller repeats a key at a home that gave the slot away and got it back.
// The home was held up meanwhile and sees only the last of the two changes,
// so it never saw itself without the slot. The key ran in between elsewhere.
func TestSlotGivenAwayAndBack(t *testing.T) {
	r := newRig(t, 0)
	r.follow(1, "")
	r.takeKeys(t, handOver("between", true))
	r.follow(3, "between")
	want := burdockledger.Attach{Request: "first", Outcome: burdockledger.OutcomeAnswered}
	if got := r.decide(); got != want {
		t.Errorf("repeat: got %#v, want %#v", got, want)
	}
}

// The same, without the memory from in between: nothing of the slot runs.
func TestSlotGivenAwayAndBackWithoutMemory(t *testing.T) {
	r := newRig(t, 0)
	r.follow(1, "")
	r.follow(3, "between")
	if got := r.decide(); got != nil {
		t.Errorf("repeat: got %#v, want a slot that is not held", got)
	}
}
