package burdockplace

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockBytes is the length of one block of a prompt, about 64 tokens.
	BlockBytes = 256
	// maxBlocks bounds the work for a long prompt: what tells one prompt from
	// another lies within its first 8 KB.
	maxBlocks = 32
	// affinityBlocks is the depth that names the homes of a prefix: 1 KB, so
	// that a conversation keeps its homes as it grows.
	affinityBlocks = 4
)

// PrefixBlocks returns a hash for each leading prefix of whole blocks,
// shortest first. Each hash covers all the blocks before its own too, as the
// keys of an engine's prefix cache do. A prompt of less than a block has none:
// computing it again costs less than the detour to a certain upstream.
func PrefixBlocks(prompt string) []uint64 {
	n := min(len(prompt)/BlockBytes, maxBlocks)
	if n == 0 {
		return nil
	}
	hashes := make([]uint64, n)
	var digest xxhash.Digest
	digest.Reset()
	var previous [8]byte
	for i := range hashes {
		block := prompt[i*BlockBytes : (i+1)*BlockBytes]
		digest.Reset()
		// Write and WriteString of a digest never return an error.
		_, _ = digest.Write(previous[:])
		_, _ = digest.WriteString(block)
		hashes[i] = digest.Sum64()
		binary.LittleEndian.PutUint64(previous[:], hashes[i])
	}
	return hashes
}

// affinityKey returns the hash that names the homes of a prefix.
func affinityKey(prefix []uint64) uint64 {
	return prefix[min(len(prefix), affinityBlocks)-1]
}

// spreadKey returns the hash that picks one of the upstreams that a hot prefix
// is spread over, or false when nothing follows the prefix. It is taken at a
// power of two of further blocks, so that the turns of one conversation, each
// longer than the last, seldom change their place.
func spreadKey(prefix []uint64) (uint64, bool) {
	further := len(prefix) - affinityBlocks
	if further <= 0 {
		return 0, false
	}
	depth := 1
	for depth*2 <= further {
		depth *= 2
	}
	return prefix[affinityBlocks+depth-1], true
}
