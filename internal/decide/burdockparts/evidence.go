package burdockparts

import (
	"cmp"
	"math"
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

const (
	// correlationWindow is the time within which crashes may have a common cause, such as a
	// power cut, and reportDelay the time that entries take to hear of each other's.
	correlationWindow burdockclock.Millis = 500
	reportDelay       burdockclock.Millis = 100
	// minBitsPerWindow is the least evidence that crashes give unless most of the upstreams
	// crashed at the same time, and more than smallService of them. In a small service, chance
	// explains everything.
	minBitsPerWindow = 2.5
	smallService     = 3
)

// DecideAfter is how long after AddCrash Decide has to be called: when all crashes with a
// common cause are known.
const DecideAfter = correlationWindow + reportDelay

// evidence is what crashes tell about a part.
type evidence struct {
	// bits tells how unlikely it is that requests placed at random were pending at all the
	// crashes, as the negative logarithm of the probability.
	bits float64
	// windows is the number of groups of crashes that may have a common cause, and firstAt the
	// time of the first crash.
	windows int
	firstAt burdockclock.Millis
	// most is the number of counted crashes in groups that are complete and have few others.
	most int
}

// evidenceOf returns what the counted crashes tell, given all crashes of the service.
//
// Each group of crashes that may have a common cause is taken by itself. If m of n upstreams
// crash, the requests with a harmless part meet k of them with the probability of drawing k
// marked balls in a row. After a power cut of all upstreams that is 1, so it is no evidence.
// While a group may still grow, it gives little.
func evidenceOf(windows [][]*crash, counted []*crash, now burdockclock.Millis) evidence {
	var sum evidence
	for _, window := range windows {
		crashed, pending, members := len(window), 0, 0
		for _, c := range window {
			members = max(members, c.members)
			if slices.Contains(counted, c) {
				pending++
			}
		}
		if pending == 0 {
			continue
		}
		bits := windowBits(crashed, pending, max(members, crashed))
		switch {
		case now-window[0].at < DecideAfter:
			bits = min(bits, minBitsPerWindow)
		case float64(pending) >= mostShare*float64(crashed):
			sum.most += pending
		}
		if sum.windows == 0 {
			sum.firstAt = window[0].at
		}
		sum.bits += bits
		sum.windows++
	}
	return sum
}

// windowBits returns the evidence of crashes that may have a common cause: of the upstreams,
// some crashed, and the part was pending at some of those.
func windowBits(crashed, pending, upstreams int) float64 {
	bits := 0.0
	for i := range pending {
		bits += math.Log2(float64(upstreams-i) / float64(crashed-i))
	}
	if crashed <= max(smallService, upstreams/2) {
		return max(bits, minBitsPerWindow)
	}
	return bits
}

// windows returns the crashes of a service in groups that may have a common cause each.
func (s *service) windows() [][]*crash {
	all := make([]*crash, 0, len(s.crashes))
	for _, c := range s.crashes {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b *crash) int { return cmp.Compare(a.at, b.at) })
	var windows [][]*crash
	for _, c := range all {
		last := len(windows) - 1
		if last < 0 || c.at-windows[last][0].at > correlationWindow {
			windows = append(windows, []*crash{c})
			continue
		}
		windows[last] = append(windows[last], c)
	}
	return windows
}
