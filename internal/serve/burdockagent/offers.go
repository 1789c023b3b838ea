package burdockagent

import (
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockledger"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
)

// maxOffers bounds how many agents' memories of one slot are held. A slot has
// one home at a time, so more than one is left over only from handovers that
// came to nothing.
const maxOffers = 8

// offers are the memories of one slot that were offered, by who offered them.
type offers map[burdockid.Incarnation]*burdockwire.TakeKeysRequest

// take keeps an offered memory, and reports whether it did.
//
// Failure: a home offers its memory, hears nothing, runs more keys and offers
// it again; then the first message arrives, after the second. Symptom: the old
// memory in place of the new one, and a second run of a key. What one home
// offers is therefore only added to. That is enough, since a slot is offered
// while none of its keys waits or runs: each key in an offer has had its run.
func (k *keyed) take(slot burdockledger.Slot, offer *burdockwire.TakeKeysRequest) bool {
	if k.offered[slot] == nil {
		k.offered[slot] = offers{}
	}
	held, from := k.offered[slot], burdockid.Incarnation(offer.GetFromIncarnation())
	before, again := held[from]
	if !again && len(held) == maxOffers {
		return false
	}
	if again {
		offer.Lines = union(offer.GetLines(), before.GetLines())
	}
	held[from] = offer
	return true
}

// union returns lines, and those of before whose keys are not among them.
func union(lines, before []*burdockwire.KeyLine) []*burdockwire.KeyLine {
	known := map[burdockledger.Key]bool{}
	for _, l := range lines {
		known[burdockledger.Key{l.GetKeyHigh(), l.GetKeyLow()}] = true
	}
	for _, l := range before {
		if !known[burdockledger.Key{l.GetKeyHigh(), l.GetKeyLow()}] {
			lines = append(lines, l)
		}
	}
	return lines
}
