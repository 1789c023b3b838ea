package burdockagent

import (
	"context"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockledger"
	"burdockbend.example/burdockbend/internal/state/burdockowner"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
)

const (
	// answerRetention is how long the answer to a request with a key is kept for callers
	// that repeat the key.
	answerRetention = 10 * burdockclock.Minute
	// maxRetainedBytes limits the total size of these answers. Beyond it the oldest ones
	// are deleted, and a caller that repeats such a key only learns that its request ran.
	maxRetainedBytes = 8 << 20
	// ownerRetryAfter is the delay suggested to a caller while this agent does not own
	// the slot of its key.
	ownerRetryAfter = burdockclock.Second
)

// keySlots is the state of the slots of idempotency keys that an agent owns. All keys of
// a slot have the same owner. The agent's lock guards it.
type keySlots struct {
	ledger *burdockledger.Ledger
	owners burdockowner.Owners
	// ownerVersion contains, for each slot that the agent owns, the version of the
	// configuration entry that made it the owner.
	ownerVersion map[burdockledger.Slot]burdockid.Version
	// offers contains the key records that other agents have sent for a handover. They
	// take effect when the configuration makes this agent the owner of the slot.
	offers map[burdockledger.Slot]slotOffers
	// handingOver contains the slots that are being handed over. None of their keys
	// starts to run.
	handingOver map[burdockledger.Slot]bool
}

func newKeySlots() *keySlots {
	return &keySlots{
		ledger:       burdockledger.New(),
		owners:       burdockowner.Owners{},
		ownerVersion: map[burdockledger.Slot]burdockid.Version{},
		offers:       map[burdockledger.Slot]slotOffers{},
		handingOver:  map[burdockledger.Slot]bool{},
	}
}

// applyOwners acquires and releases slots as the configuration demands. Only the
// configuration makes an agent the owner of a slot.
//
// An agent that was delayed may miss that a slot went to another owner and came back, and
// see only the last of the two changes. If it then continued with its old records, it
// would run a key again that the other owner ran. A slot whose version has changed is
// therefore acquired again.
func (k *keySlots) applyOwners(owners burdockowner.Owners, self burdockid.Upstream, inc burdockid.Incarnation) {
	k.owners = owners
	for slot := range burdockledger.Slot(burdockledger.SlotCount) {
		owner, known := owners[slot]
		owned := known && owner.Upstream == self && owner.Incarnation == inc
		switch {
		case owned && (!k.ledger.OwnsSlot(slot) || k.ownerVersion[slot] != owner.Version):
			k.acquire(slot, owner)
		case !owned && k.ledger.OwnsSlot(slot):
			k.release(slot)
		}
	}
}

func (k *keySlots) release(slot burdockledger.Slot) {
	k.ledger.ReleaseSlot(slot)
	delete(k.handingOver, slot)
	delete(k.ownerVersion, slot)
}

// acquire makes the agent the owner of a slot, and imports the records that the previous
// owner handed over, if any. Records of the slot that the ledger already has stay.
func (k *keySlots) acquire(slot burdockledger.Slot, owner burdockowner.VersionedOwner) {
	offer := k.offers[slot][owner.HandedOverBy]
	delete(k.offers, slot)
	delete(k.handingOver, slot)
	switch {
	case owner.HandedOverBy == "":
		k.ledger.AcquireSlot(slot, owner.CompleteSince)
	case offer == nil:
		// The configuration names a handover that this process never received. This
		// can't happen, because an owner is named by incarnation. Not running any key of
		// the slot is safe.
		k.release(slot)
		return
	default:
		k.ledger.ImportSlot(slot, owner.CompleteSince, recordsOf(offer))
	}
	k.ownerVersion[slot] = owner.Version
}

func recordsOf(offer *burdockwire.TakeKeysRequest) []burdockledger.HandoverRecord {
	records := make([]burdockledger.HandoverRecord, len(offer.GetLines()))
	for i, l := range offer.GetLines() {
		records[i] = burdockledger.HandoverRecord{
			Key:         burdockledger.Key{l.GetKeyHigh(), l.GetKeyLow()},
			Request:     burdockid.Request(l.GetRequestId()),
			Fingerprint: burdockledger.Fingerprint(l.GetFingerprint()),
			Outcome:     burdockledger.Outcome(l.GetFate()),
			ReceivedAt:  burdockclock.Millis(l.GetAtMillis()),
		}
	}
	return records
}

// keyOf returns the ledger key of a request that has an idempotency key.
func keyOf(req *burdockwire.RunRequest) burdockledger.Key {
	return burdockledger.KeyOf(burdockid.Customer(req.GetCustomer()), burdockid.IdempotencyKey(req.GetIdempotencyKey()))
}

// keyedRequestOf converts a request with a key for the ledger's decision. It hashes the
// whole body; keyOf is cheaper where only the key is needed.
func keyedRequestOf(req *burdockwire.RunRequest) burdockledger.KeyedRequest {
	key := burdockid.IdempotencyKey(req.GetIdempotencyKey())
	createdAt, _ := burdockledger.CreationTime(key)
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range []string{req.GetMethod(), req.GetPath(), req.GetQuery()} {
		_, _ = digest.WriteString(part + "\x00")
	}
	_, _ = digest.Write(req.GetBody())
	return burdockledger.KeyedRequest{
		Key:         keyOf(req),
		Request:     burdockid.Request(req.GetRequestId()),
		Fingerprint: burdockledger.Fingerprint(digest.Sum64()),
		CreatedAt:   createdAt,
	}
}

// keyDecision is the decision about a request with a key. At most one field is set; if
// none is, the request is queued.
type keyDecision struct {
	job     *job // of the first request with the key, whose answer this one gets
	refused *refused
	cut     *cut
}

// checkKey decides about a request with a key. The agent's lock must be held.
//
// A caller that lost its answer, for example because an entry died, repeats the request
// with the same key through any entry. Without this check the request runs twice, which
// may send a letter twice. Only the owner of a key's slot runs the key, and it records
// that it did. A repeat therefore gets the first answer, or learns that the outcome is
// unknown.
func (a *Agent) checkKey(req *burdockwire.RunRequest) keyDecision {
	keyed := keyedRequestOf(req)
	slot := burdockledger.SlotOf(keyed.Key)
	if !a.keys.ledger.OwnsSlot(slot) || a.keys.handingOver[slot] || !a.deps.Verified() {
		return keyDecision{refused: &refused{
			reason:      burdockwire.RefusedReason_REFUSED_REASON_KEY_NOT_HERE,
			retryAfter:  ownerRetryAfter,
			explanation: "this agent is not the home of the key now",
		}}
	}
	switch d := a.keys.ledger.Decide(a.deps.Clock.Now(), keyed).(type) {
	case burdockledger.Attach:
		return a.attachKey(d)
	case burdockledger.MayHaveRun:
		return keyDecision{cut: &cut{
			reason:      burdockwire.CutReason_CUT_REASON_KEY_MAY_HAVE_RUN,
			explanation: "the key may have run before its present home took over",
		}}
	case burdockledger.Reused:
		return keyDecision{refused: &refused{
			reason:      burdockwire.RefusedReason_REFUSED_REASON_KEY_REUSED,
			explanation: "the idempotency key came before, with another request",
		}}
	}
	return keyDecision{}
}

func (a *Agent) attachKey(d burdockledger.Attach) keyDecision {
	if j, ok := a.jobs[d.Request]; ok {
		return keyDecision{job: j}
	}
	if d.Outcome == burdockledger.OutcomeAnswered {
		return keyDecision{cut: &cut{
			reason:      burdockwire.CutReason_CUT_REASON_ANSWER_GONE,
			explanation: "the key's request ran to its end, and its answer is no longer kept",
		}}
	}
	return keyDecision{cut: &cut{
		reason:      burdockwire.CutReason_CUT_REASON_KEY_MAY_HAVE_RUN,
		explanation: "the key's request was begun, and its outcome is unknown",
	}}
}

// recordKeyNotRun records that a request was not run, so that its key may run later.
func (a *Agent) recordKeyNotRun(req *burdockwire.RunRequest) {
	if req.GetIdempotencyKey() != "" {
		a.keys.ledger.RecordNotRun(keyOf(req), burdockid.Request(req.GetRequestId()))
	}
}

// recordKeyOutcome records the outcome of a request with a key in the ledger.
func (a *Agent) recordKeyOutcome(j *job, o outcome) {
	if j.request.GetIdempotencyKey() == "" {
		return
	}
	key := keyOf(j.request)
	switch o.(type) {
	case ended:
		a.keys.ledger.RecordOutcome(key, j.id, burdockledger.OutcomeAnswered)
	case refused:
		a.keys.ledger.RecordNotRun(key, j.id)
	case cut:
		a.keys.ledger.RecordOutcome(key, j.id, burdockledger.OutcomeUnknown)
	}
}

// evictAnswers deletes the oldest answers that are only kept for repeated keys, until the
// rest is within maxRetainedBytes.
func (a *Agent) evictAnswers() {
	for a.retainedBytes() > maxRetainedBytes {
		oldest := a.oldestRetained()
		if oldest == nil {
			return
		}
		delete(a.jobs, oldest.id)
	}
}

func (a *Agent) retainedBytes() int64 {
	var total int64
	for _, j := range a.jobs {
		if j.isRetained() {
			total += j.bufferedBytes()
		}
	}
	return total
}

func (a *Agent) oldestRetained() *job {
	var oldest *job
	for _, j := range a.jobs {
		if j.isRetained() && (oldest == nil || j.arrived < oldest.arrived) {
			oldest = j
		}
	}
	return oldest
}

// TakeKeys implements burdockwire.AgentServiceHandler.
func (a *Agent) TakeKeys(_ context.Context, req *connect.Request[burdockwire.TakeKeysRequest]) (*connect.Response[burdockwire.TakeKeysResponse], error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	slot := burdockledger.Slot(req.Msg.GetSlot())
	taken := !a.draining && slot >= 0 && slot < burdockledger.SlotCount && a.keys.addOffer(slot, req.Msg)
	return connect.NewResponse(&burdockwire.TakeKeysResponse{Taken: taken, Incarnation: string(a.incarnation)}), nil
}
