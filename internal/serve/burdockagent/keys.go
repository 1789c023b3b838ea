package burdockagent

import (
	"context"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockledger"
	"burdockbend.example/burdockbend/internal/state/burdockhome"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
)

const (
	// keepAnswers is how long the answer to a request with a key is kept for a
	// caller that asks again.
	keepAnswers = 10 * burdockclock.Minute
	// keepAnswerBytes bounds the answers kept in all. Beyond it the oldest go,
	// and a caller that asks again is told that its request ran.
	keepAnswerBytes = 8 << 20
	// homeRetry is when a caller may come back whose key has no home just now.
	homeRetry = burdockclock.Second
)

// keyed is what an agent holds as the home of idempotency keys. The agent's
// lock guards it.
type keyed struct {
	ledger *burdockledger.Ledger
	homes  burdockhome.Homes
	// heldAt is the version of the home that made each held slot this agent's.
	heldAt map[burdockledger.Slot]burdockid.Version
	// offered holds memories that other agents hand over. Each takes effect
	// when the configuration names this agent the home.
	offered map[burdockledger.Slot]offers
	// moving holds slots that are being handed over: nothing new runs there.
	moving map[burdockledger.Slot]bool
}

func newKeyed() *keyed {
	return &keyed{
		ledger:  burdockledger.New(),
		homes:   burdockhome.Homes{},
		heldAt:  map[burdockledger.Slot]burdockid.Version{},
		offered: map[burdockledger.Slot]offers{},
		moving:  map[burdockledger.Slot]bool{},
	}
}

// follow takes up the homes that the configuration names. Only the
// configuration makes an agent a home.
//
// Failure: an agent is held up while it gives a slot away and gets it back,
// and sees only the last change. Symptom: it goes on with the memory from
// before, and runs a key again that ran at the home in between. The version of
// the home tells: a slot that is held from another version is taken anew.
func (k *keyed) follow(homes burdockhome.Homes, self burdockid.Upstream, inc burdockid.Incarnation) {
	k.homes = homes
	for slot := range burdockledger.Slot(burdockledger.SlotCount) {
		home, known := homes[slot]
		own := known && home.Upstream == self && home.Incarnation == inc
		switch {
		case own && (!k.ledger.OwnsSlot(slot) || k.heldAt[slot] != home.Version):
			k.hold(slot, home)
		case !own && k.ledger.OwnsSlot(slot):
			k.drop(slot)
		}
	}
}

func (k *keyed) drop(slot burdockledger.Slot) {
	k.ledger.ReleaseSlot(slot)
	delete(k.moving, slot)
	delete(k.heldAt, slot)
}

// hold takes a slot, with the memory that was handed over if there is one. What
// the ledger knows already of the slot stays.
func (k *keyed) hold(slot burdockledger.Slot, home burdockhome.Versioned) {
	offer := k.offered[slot][home.From]
	delete(k.offered, slot)
	delete(k.moving, slot)
	switch {
	case home.From == "":
		k.ledger.AcquireSlot(slot, home.SinceMillis)
	case offer == nil:
		// The configuration speaks of a handover that this process never got. It
		// is named by incarnation, so this can't be; running nothing is safe.
		k.drop(slot)
		return
	default:
		k.ledger.ImportSlot(slot, home.SinceMillis, linesOf(offer))
	}
	k.heldAt[slot] = home.Version
}

func linesOf(offer *burdockwire.TakeKeysRequest) []burdockledger.HandoverRecord {
	lines := make([]burdockledger.HandoverRecord, len(offer.GetLines()))
	for i, l := range offer.GetLines() {
		lines[i] = burdockledger.HandoverRecord{
			Key:         burdockledger.Key{l.GetKeyHigh(), l.GetKeyLow()},
			Request:     burdockid.Request(l.GetRequestId()),
			Fingerprint: burdockledger.Fingerprint(l.GetFingerprint()),
			Outcome:     burdockledger.Outcome(l.GetFate()),
			ReceivedAt:  burdockclock.Millis(l.GetAtMillis()),
		}
	}
	return lines
}

// keyOf returns the key of a request that has one.
func keyOf(req *burdockwire.RunRequest) burdockledger.Key {
	return burdockledger.KeyOf(burdockid.Customer(req.GetCustomer()), burdockid.IdempotencyKey(req.GetIdempotencyKey()))
}

// askOf converts a request with a key. It hashes the whole body, so it is for
// the one moment in which the ledger decides; elsewhere keyOf is enough.
func askOf(req *burdockwire.RunRequest) burdockledger.KeyedRequest {
	key := burdockid.IdempotencyKey(req.GetIdempotencyKey())
	birth, _ := burdockledger.CreationTime(key)
	var print xxhash.Digest
	print.Reset()
	for _, part := range []string{req.GetMethod(), req.GetPath(), req.GetQuery()} {
		_, _ = print.WriteString(part + "\x00")
	}
	_, _ = print.Write(req.GetBody())
	return burdockledger.KeyedRequest{
		Key:         keyOf(req),
		Request:     burdockid.Request(req.GetRequestId()),
		Fingerprint: burdockledger.Fingerprint(print.Sum64()),
		CreatedAt:   birth,
	}
}

// verdict is what the ledger says of a request with a key: at most one of its
// fields is set. With none, the request may go on to the queue.
type verdict struct {
	job     *job // the first request with the key, whose answer this one gets
	refused *refused
	cut     *cut
}

// checkKey asks the ledger. The agent's lock is held.
//
// Failure: a caller loses its answer, or an entry dies, and the caller asks
// again with the same key, through any entry. Symptom without this: a second
// run, and two letters. Only the home of a key runs it, and it remembers, so
// the repeat gets the first answer, or is told that nobody can know it.
func (a *Agent) checkKey(req *burdockwire.RunRequest) verdict {
	ask := askOf(req)
	slot := burdockledger.SlotOf(ask.Key)
	if !a.keyed.ledger.OwnsSlot(slot) || a.keyed.moving[slot] || !a.deps.Verified() {
		return verdict{refused: &refused{
			reason:      burdockwire.RefusedReason_REFUSED_REASON_KEY_NOT_HERE,
			retryAfter:  homeRetry,
			explanation: "this agent is not the home of the key now",
		}}
	}
	switch d := a.keyed.ledger.Decide(a.deps.Clock.Now(), ask).(type) {
	case burdockledger.Attach:
		return a.attachKey(d)
	case burdockledger.MayHaveRun:
		return verdict{cut: &cut{
			reason:      burdockwire.CutReason_CUT_REASON_KEY_MAY_HAVE_RUN,
			explanation: "the key may have run before its present home took over",
		}}
	case burdockledger.Reused:
		return verdict{refused: &refused{
			reason:      burdockwire.RefusedReason_REFUSED_REASON_KEY_REUSED,
			explanation: "the idempotency key came before, with another request",
		}}
	}
	return verdict{}
}

func (a *Agent) attachKey(d burdockledger.Attach) verdict {
	if j, ok := a.jobs[d.Request]; ok {
		return verdict{job: j}
	}
	if d.Outcome == burdockledger.OutcomeAnswered {
		return verdict{cut: &cut{
			reason:      burdockwire.CutReason_CUT_REASON_ANSWER_GONE,
			explanation: "the key's request ran to its end, and its answer is no longer kept",
		}}
	}
	return verdict{cut: &cut{
		reason:      burdockwire.CutReason_CUT_REASON_KEY_MAY_HAVE_RUN,
		explanation: "the key's request was begun, and its outcome is unknown",
	}}
}

// forgetKey lets the key of a request that was not run come again.
func (a *Agent) forgetKey(req *burdockwire.RunRequest) {
	if req.GetIdempotencyKey() != "" {
		a.keyed.ledger.RecordNotRun(keyOf(req), burdockid.Request(req.GetRequestId()))
	}
}

// endKey records what became of a key's request.
func (a *Agent) endKey(j *job, o outcome) {
	if j.request.GetIdempotencyKey() == "" {
		return
	}
	key := keyOf(j.request)
	switch o.(type) {
	case ended:
		a.keyed.ledger.RecordOutcome(key, j.id, burdockledger.OutcomeAnswered)
	case refused:
		a.keyed.ledger.RecordNotRun(key, j.id)
	case cut:
		a.keyed.ledger.RecordOutcome(key, j.id, burdockledger.OutcomeUnknown)
	}
}

// trimAnswers drops the oldest answers that are kept for repeats, beyond the
// bound on their bytes.
func (a *Agent) trimAnswers() {
	for a.keptBytes() > keepAnswerBytes {
		oldest := a.oldestKept()
		if oldest == nil {
			return
		}
		delete(a.jobs, oldest.id)
	}
}

func (a *Agent) keptBytes() int64 {
	var total int64
	for _, j := range a.jobs {
		if j.isKept() {
			total += j.bytes()
		}
	}
	return total
}

func (a *Agent) oldestKept() *job {
	var oldest *job
	for _, j := range a.jobs {
		if j.isKept() && (oldest == nil || j.arrived < oldest.arrived) {
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
	taken := !a.draining && slot >= 0 && slot < burdockledger.SlotCount && a.keyed.take(slot, req.Msg)
	return connect.NewResponse(&burdockwire.TakeKeysResponse{Taken: taken, Incarnation: string(a.incarnation)}), nil
}
