package burdockplace

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// nameIndex finds a member by its name. It is a hash table with linear probing
// that stores indices of members and no names, which takes 8 to 16 bytes for each
// member. A map takes 87, more than the member itself.
type nameIndex []uint32

const noMember = 0 // marks a free slot; other slots hold the index of a member plus 1

func newNameIndex(names []burdockid.Upstream) nameIndex {
	// At most half of the slots are used, which keeps probing short.
	x := make(nameIndex, 2<<bits.Len(uint(len(names))))
	for i, name := range names {
		slot := x.firstSlot(name)
		for x[slot] != noMember {
			slot = x.nextSlot(slot)
		}
		x[slot] = uint32(i) + 1
	}
	return x
}

func (x nameIndex) firstSlot(u burdockid.Upstream) uint64 {
	return xxhash.Sum64String(string(u)) & uint64(len(x)-1)
}

func (x nameIndex) nextSlot(slot uint64) uint64 {
	return (slot + 1) & uint64(len(x)-1)
}

// find returns the index of u among the members.
func (p *Placer) find(u burdockid.Upstream) (int, bool) {
	if len(p.index) == 0 {
		return 0, false
	}
	for slot := p.index.firstSlot(u); p.index[slot] != noMember; slot = p.index.nextSlot(slot) {
		found := int(p.index[slot] - 1)
		if p.members[found].upstream == u {
			return found, true
		}
	}
	return 0, false
}
