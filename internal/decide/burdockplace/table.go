package burdockplace

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"burdockbend.example/burdockbend/internal/base/burdockid"
)

const (
	tableBits = 16
	// tableSlots doesn't depend on the number of members. If it did, two entries
	// whose member lists differ by one could disagree on every prefix. 65,536
	// slots give each of 3,800 members 17.
	tableSlots = 1 << tableBits
	// maxMembers is the number of members that fits the table's 16-bit indices.
	maxMembers = 1<<16 - 1
)

// table maps each slot to the index of the member that owns it. It is nil
// when there are no members.
//
// Members bid for slots in rounds. In each round every member bids for one slot,
// which depends only on its name and the round. A slot goes to the bid of the
// earliest round and, within a round, to the highest bid. As in rendezvous hashing
// the bids don't depend on each other: a member that leaves gives up only its own
// slots, and one that joins takes only the slots that it wins. Building the table
// takes about tableSlots*ln(tableSlots) bids for any number of members, while
// plain rendezvous hashing computes one for each pair of slot and member.
type table []uint16

// newTable returns the table for members with these names. The order of names
// affects only the indices.
func newTable(names []burdockid.Upstream) table {
	if len(names) == 0 {
		return nil
	}
	seeds := make([]uint64, len(names))
	for i, name := range names {
		seeds[i] = xxhash.Sum64String(string(name))
	}
	owners := make(table, tableSlots)
	rounds := make([]uint32, tableSlots) // of the winning bid; 0 while the slot is free
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

// owner returns the index of the member at a position of the order that key
// determines. Several positions may return the same member.
func (t table) owner(key uint64, position int) int32 {
	hash := mix(key + uint64(position)*goldenRatio)
	return int32(t[hash>>(64-tableBits)])
}

// goldenRatio is 2^64 divided by the golden ratio, the usual increment between
// inputs of a mixing function.
const goldenRatio = 0x9e3779b97f4a7c15

// mix is a 64-bit hash of x. Twice it multiplies to 128 bits and XORs the halves.
func mix(x uint64) uint64 {
	hi, lo := bits.Mul64(x^0xa0761d6478bd642f, 0xe7037ed1a0b428db)
	x = hi ^ lo
	hi, lo = bits.Mul64(x^0x8ebc6af09c88c6e3, 0x589965cc75374cc3)
	return hi ^ lo
}
