// Package burdocksharedrate divides a rate of requests to an upstream among the entries that
// send to it. The entries don't talk about single requests.
//
// If each of many entries could save up a single request, all of them together could still
// send far more at once than a low rate allows. So only as many entries as the rate bears
// have a part in it, chosen by rendezvous hashing. In any span of T seconds they send at
// most T·rate + rate/2 + 3.5 requests together, however the requests arrive. The others send
// nothing, or take turns to send one each, to hear whether the limit still holds: 2 in any
// 4 s.
//
// This supposes that the entries know the same set of entries, and that their clocks
// differed by 5 s at most when they started.
//
// The package is pure: time is passed in. A Bucket is not safe for concurrent use.
package burdocksharedrate

import (
	"hash/fnv"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Rate is a number of requests per second.
type Rate float64

const (
	// partsPerRate and minParts give how many entries have a part in a rate. Each of them may
	// save up one request, so this is also how many requests come at once at most.
	partsPerRate = 0.5
	minParts     = 3.5
	// minDividedRate is the lowest rate that is divided. Below it, an entry would not hear
	// for minutes whether the limit still holds, so all entries take turns.
	minDividedRate Rate = 0.05
)

// Others is what the entries without a part in a rate do.
type Others string

const (
	// OthersTakeTurns: each sends a request at times, for a limit whose end only a response
	// tells.
	OthersTakeTurns Others = "takeTurns"
	// OthersSendNothing is for a limit whose end is known.
	OthersSendNothing Others = "sendNothing"
)

// share is one entry's part of a rate.
type share struct {
	rate Rate // 0 for an entry without a part
	// turn numbers the entries that take turns, from 0; turns is their number, 0 if this
	// entry takes none. A turn lasts for turnLength.
	turn, turns int
	turnLength  burdockclock.Millis
}

// shareOf returns the part of an entry in the rate of an upstream. all must contain self.
func shareOf(u burdockid.Upstream, rate Rate, others Others, self burdockid.VM, all []burdockid.VM) share {
	position, n := positionOf(u, self, all), len(all)
	length := turnLength(rate)
	if others == OthersTakeTurns && rate < minDividedRate {
		return share{turn: position, turns: n, turnLength: length}
	}
	parts := min(n, int(partsPerRate*rate+minParts))
	switch {
	case position < parts && parts < n && others == OthersTakeTurns:
		rate -= perSecond(length)
	case position >= parts && others == OthersTakeTurns:
		return share{turn: position - parts, turns: n - parts, turnLength: length}
	case position >= parts:
		return share{}
	}
	return share{rate: rate / Rate(parts)}
}

// positionOf returns the position of an entry in the order of all for an upstream.
func positionOf(u burdockid.Upstream, self burdockid.VM, all []burdockid.VM) int {
	own, position := weight(u, self), 0
	for _, other := range all {
		if w := weight(u, other); w > own || w == own && other < self {
			position++
		}
	}
	return position
}

// weight is the weight of an entry in the rendezvous hash for an upstream.
func weight(u burdockid.Upstream, entry burdockid.VM) uint64 {
	h := fnv.New64a()
	// A hash returns no error.
	_, _ = h.Write([]byte(u))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(entry))
	return mix(h.Sum64())
}

// fraction returns a number from 0 to 1, exclusive, that differs by upstream and entry.
func fraction(u burdockid.Upstream, entry burdockid.VM) float64 {
	const bits = 53
	return float64(mix(weight(u, entry))>>(64-bits)) / (1 << bits)
}

// mix spreads the differences of similar names over all bits, as in SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// perSecond returns the rate of one request in a span.
func perSecond(span burdockclock.Millis) Rate {
	return Rate(burdockclock.Second) / Rate(span)
}
