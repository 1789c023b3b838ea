package burdockrank

import (
	"math/rand/v2"
	"sync"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/external/burdockengine"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
)

// countsReporter stores the counts that an agent last reported, so that the next report
// can contain only the difference.
//
// A controller may request thousands of counts from each rank of a sample many times a
// second. Full counts grow for as long as the engine runs, and the longer they take on
// the controller's link, the later it sees a shift of popularity. A controller that
// doesn't have the last report gets the full counts.
type countsReporter struct {
	mu       sync.Mutex
	reportID uint64
	counts   burdockengine.GroupCounts
}

// report returns the counts to send, the ID of this report, and whether the counts are
// the difference from the report with the ID since, which is the last one that the
// controller received (0 for none).
func (c *countsReporter) report(now burdockengine.GroupCounts, since uint64) (burdockengine.GroupCounts, uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before, reported := c.counts, now
	difference := since != 0 && since == c.reportID && before.Incarnation == now.Incarnation && sameShapeNotLower(before, now)
	if difference {
		reported.Tokens = addTokensSince(nil, before.Tokens, now.Tokens)
	}
	c.reportID, c.counts = rand.Uint64()|1, now
	return reported, c.reportID, difference
}

// sameShapeNotLower reports whether two counts have the same shape and no later count is
// lower than the earlier one.
func sameShapeNotLower(before, now burdockengine.GroupCounts) bool {
	if len(before.Tokens) != len(now.Tokens) {
		return false
	}
	for l := range now.Tokens {
		if len(before.Tokens[l]) != len(now.Tokens[l]) {
			return false
		}
		for e := range now.Tokens[l] {
			if now.Tokens[l][e] < before.Tokens[l][e] {
				return false
			}
		}
	}
	return true
}

// lastReportID returns the ID of the last report of counts received from a rank.
func (p *planning) lastReportID(rank burdockid.Rank) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reportIDs[rank]
}

// fullCounts returns a rank's counts since the start of its engine.
func (p *planning) fullCounts(rank burdockid.Rank, msg *burdockwire.GroupCountsResponse) (burdockengine.GroupCounts, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := countsFromWire(msg)
	if msg.GetDifference() {
		before := p.counts[rank]
		if before.Incarnation != counts.Incarnation || len(before.Tokens) != len(counts.Tokens) {
			p.reportIDs[rank] = 0
			return counts, ErrMalformed.New("rank %d reported a difference from unknown counts", rank)
		}
		for l := range counts.Tokens {
			if len(before.Tokens[l]) != len(counts.Tokens[l]) {
				p.reportIDs[rank] = 0
				return counts, ErrMalformed.New("rank %d reported %d counts for layer %d, which has %d", rank, len(counts.Tokens[l]), l, len(before.Tokens[l]))
			}
			for e, n := range before.Tokens[l] {
				counts.Tokens[l][e] += n
			}
		}
	}
	p.reportIDs[rank] = msg.GetTelling()
	return counts, nil
}
