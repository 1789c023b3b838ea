package burdockplace

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"burdockbend.example/burdockbend/internal/base/burdockid"
)

const (
	tableBits = 16
	// tableSlots is fixed, whatever the number of members: if it followed that
	// number, two entries whose member lists differ by one could disagree on
	// every prefix. 65,536 slots give 3,800 members 17 each.
	tableSlots = 1 << tableBits
	// maxMembers is what an owner's 16 bits can number.
	maxMembers = 1<<16 - 1
)

// table maps each slot to the index of the member that owns it. It is nil
// when there are no members.
//
// Members bid for slots in rounds. In each round every member bids for one
// slot that only its name and the round determine; a slot goes to the bid of
// the earliest round, and among those of one round to the highest. An owner is
// thus the best of bids that do not depend on each other, as in rendezvous
// hashing: a member that leaves gives up its own slots and moves no other, one
// that joins takes only what it wins. Yet building takes about
// tableSlots*ln(tableSlots) bids however many members there are, where plain
// rendezvous hashing computes one for each pair of slot and member.
type table []uint16

// newTable returns the table for members with these names. The order of names
// decides nothing but the indices.
func newTable(names []burdockid.Upstream) table {
	if len(names) == 0 {
		return nil
	}
	seeds := make([]uint64, len(names))
	for i, name := range names {
		seeds[i] = xxhash.Sum64String(string(name))
	}
	owners := make(table, tableSlots)
	rounds := make([]uint32, tableSlots) // 0: the slot is free
	bids := make([]uint32, tableSlots)   // the winning bid
	free := tableSlots
	for round := uint32(1); free > 0; round++ {
		for i, seed := range seeds {
			hash := mix(seed + uint64(round)*goldenRatio)
			slot := hash >> (64 - tableBits)
			bid := uint32(hash)
			switch {
			case rounds[slot] == 0:
				free--
			case rounds[slot] < round || bids[slot] > bid:
				continue
			case bids[slot] == bid && names[owners[slot]] < names[i]:
				continue
			}
			owners[slot] = uint16(i)
			rounds[slot] = round
			bids[slot] = bid
		}
	}
	return owners
}

// owner returns the member at the given position of the prefix's own order of
// members. Positions may repeat a member.
func (t table) owner(key uint64, position int) int32 {
	hash := mix(key + uint64(position)*goldenRatio)
	return int32(t[hash>>(64-tableBits)])
}

// goldenRatio is 2^64 divided by the golden ratio, the customary step between
// inputs of mix.
const goldenRatio = 0x9e3779b97f4a7c15

// mix scatters x over 64 bits: two multiplications folded, each over the full
// 128 bits.
func mix(x uint64) uint64 {
	hi, lo := bits.Mul64(x^0xa0761d6478bd642f, 0xe7037ed1a0b428db)
	x = hi ^ lo
	hi, lo = bits.Mul64(x^0x8ebc6af09c88c6e3, 0x589965cc75374cc3)
	return hi ^ lo
}
