package burdockagent

import (
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockledger"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
)

// maxOffersPerSlot limits from how many agents the records of one slot are kept. A slot
// has one owner at a time, so offers from several agents only remain after handovers that
// were not completed.
const maxOffersPerSlot = 8

// slotOffers contains the offered records of one slot by the incarnation that sent them.
type slotOffers map[burdockid.Incarnation]*burdockwire.TakeKeysRequest

// addOffer stores the records of a slot that its owner offers, and reports whether it
// did.
//
// An owner that gets no reply to an offer may run more keys and then offer the slot
// again, and the first message may arrive after the second. If it replaced the newer
// records, a key could run twice. Records of the same sender are therefore merged and
// never removed. This is sufficient because a slot is only offered while none of its keys
// is queued or running, so each key in an offer has a final outcome.
func (k *keySlots) addOffer(slot burdockledger.Slot, offer *burdockwire.TakeKeysRequest) bool {
	if k.offers[slot] == nil {
		k.offers[slot] = slotOffers{}
	}
	senders, from := k.offers[slot], burdockid.Incarnation(offer.GetFromIncarnation())
	previous, repeated := senders[from]
	if !repeated && len(senders) == maxOffersPerSlot {
		return false
	}
	if repeated {
		offer.Lines = mergeLines(offer.GetLines(), previous.GetLines())
	}
	senders[from] = offer
	return true
}

// mergeLines returns lines, and the lines of previous whose keys are not among them.
func mergeLines(lines, previous []*burdockwire.KeyLine) []*burdockwire.KeyLine {
	known := map[burdockledger.Key]bool{}
	for _, l := range lines {
		known[burdockledger.Key{l.GetKeyHigh(), l.GetKeyLow()}] = true
	}
	for _, l := range previous {
		if !known[burdockledger.Key{l.GetKeyHigh(), l.GetKeyLow()}] {
			lines = append(lines, l)
		}
	}
	return lines
}
