package burdockplace

import "burdockbend.example/burdockbend/internal/base/burdockclock"

// recent is a ring buffer of the upstreams that sent the latest reports.
//
// An entry receives a report of each of 3,800 upstreams only every few minutes, so
// it doesn't know the load of upstreams drawn at random. It does know the load of
// those that reported within the last seconds, and the least loaded of a few of
// them has free slots. Every entry remembers different ones, which keeps entries
// from all choosing the same upstream.
type recent struct {
	upstreams [recentReports]int32
	n         int
}

// recentReports is the size of the buffer, about a second of answers and refusals.
const recentReports = 32

func (r *recent) add(index int32) {
	r.upstreams[r.n%recentReports] = index
	r.n++
}

// collectRecent adds up to n candidates that reported recently.
func (c *chooser) collectRecent(n int) {
	r := &c.p.recent
	known := min(r.n, recentReports)
	if known == 0 {
		return
	}
	for range n {
		index := r.upstreams[c.p.rnd.IntN(known)]
		if c.seen.n == maxCandidates || c.seen.has(index) || !c.hasFreshReport(index) || !c.eligible(index) {
			continue
		}
		c.seen.add(c.newCandidate(index))
	}
}

// hasFreshReport reports whether the member's last report is at most one half-life
// old.
func (c *chooser) hasFreshReport(index int32) bool {
	age := c.now - c.p.members[index].reportedAt
	return age <= burdockclock.Millis(c.p.cfg.ReportHalfLife)
}
