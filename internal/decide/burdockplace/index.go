package burdockplace

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// nameIndex finds a member by its name: a hash table with linear probing that
// holds only places among the members, and no names. A map would take 87 bytes
// for each member, more than the member itself; this takes 8 to 16.
type nameIndex []uint32

const noMember = 0 // others are one more than the member's place

func newNameIndex(names []burdockid.Upstream) nameIndex {
	// At most half of the places are taken, so that a search ends soon.
	x := make(nameIndex, 2<<bits.Len(uint(len(names))))
	for i, name := range names {
		place := x.home(name)
		for x[place] != noMember {
			place = x.after(place)
		}
		x[place] = uint32(i) + 1
	}
	return x
}

func (x nameIndex) home(u burdockid.Upstream) uint64 {
	return xxhash.Sum64String(string(u)) & uint64(len(x)-1)
}

func (x nameIndex) after(place uint64) uint64 {
	return (place + 1) & uint64(len(x)-1)
}

// find returns the place of u among the members.
func (p *Placer) find(u burdockid.Upstream) (int, bool) {
	if len(p.index) == 0 {
		return 0, false
	}
	for place := p.index.home(u); p.index[place] != noMember; place = p.index.after(place) {
		found := int(p.index[place] - 1)
		if p.members[found].upstream == u {
			return found, true
		}
	}
	return 0, false
}
