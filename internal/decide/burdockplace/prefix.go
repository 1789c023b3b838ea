package burdockplace

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockBytes is the length of one block of a prompt, about 64 tokens.
	BlockBytes = 256
	// maxBlocks limits the hashing of a long prompt to its first 8 KB, within which
	// prompts differ.
	maxBlocks = 32
	// affinityBlocks is the number of leading blocks that determine the owners of
	// a prefix. It is only 1 KB, so that a conversation keeps its owners as it
	// grows.
	affinityBlocks = 4
)

// PrefixBlocks returns a hash for each leading prefix of whole blocks, shortest
// first. Like the keys of an engine's prefix cache, each hash covers its block and
// all blocks before it. A prompt shorter than a block has no hashes, because
// computing it again costs less than being tied to certain upstreams.
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

// affinityKey returns the hash that determines the owners of a prefix.
func affinityKey(prefix []uint64) uint64 {
	return prefix[min(len(prefix), affinityBlocks)-1]
}

// spreadKey returns the hash that selects one of the upstreams that a hot prefix
// is spread over, or false when nothing follows the prefix. It covers the largest
// power of two of the blocks after the prefix. The turns of one conversation, each
// longer than the previous one, therefore rarely change their upstream.
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
