package burdockplace

import "burdockbend.example/burdockbend/internal/base/burdockclock"

// recent holds the upstreams of the latest reports.
//
// Made for: an entry that hears of each of 3,800 upstreams every few minutes.
// Of upstreams drawn at random it knows nothing; of those that reported within
// the last seconds it knows nearly all, and the least loaded of a few of them
// has room. Each entry remembers others, so that they do not herd.
type recent struct {
	upstreams [recentReports]int32
	n         int
}

// recentReports is about a second of answers and refusals.
const recentReports = 32

func (r *recent) add(index int32) {
	r.upstreams[r.n%recentReports] = index
	r.n++
}

// collectRecent adds up to n candidates that reported lately.
func (c *chooser) collectRecent(n int) {
	r := &c.p.recent
	known := min(r.n, recentReports)
	if known == 0 {
		return
	}
	for range n {
		index := r.upstreams[c.p.rnd.IntN(known)]
		if c.seen.n == maxCandidates || c.seen.has(index) || !c.fresh(index) || !c.eligible(index) {
			continue
		}
		c.seen.add(c.measure(index))
	}
}

// fresh reports whether the latest report of the member still counts for half.
func (c *chooser) fresh(index int32) bool {
	age := c.now - c.p.members[index].reportedAt
	return age <= burdockclock.Millis(c.p.cfg.ReportHalfLife)
}
