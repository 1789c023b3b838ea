package burdockplace

import (
	"math"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// member is the state that the placer keeps for an upstream. There are thousands
// of them and an entry has 32 MB for its whole control plane, hence the small
// types.
type member struct {
	upstream   burdockid.Upstream
	dataCentre burdockid.DataCentre
	reportedAt burdockclock.Millis
	weight     float32
	load       float32 // as reported
	wait       int32   // as reported, in milliseconds
	slots      int32   // as reported; 0 before the first report
	unreported int32   // requests sent minus requests done since the report; may be negative
	inFlight   int32   // requests sent by this entry and not done
}

// fleetLoad is a moving mean over the reports of all upstreams.
//
// An entry that gets 18 answers a second from 3,800 upstreams receives a report of
// each only every few minutes, too seldom to know the load of any single one. The
// load bound needs only the mean, which 64 reports, 3.5 seconds of answers, give
// within a few per cent.
type fleetLoad struct {
	mean    float64
	slots   float64
	reports int
}

const fleetReports = 64

func (f *fleetLoad) add(r Report) {
	f.reports++
	share := 1 / float64(min(f.reports, fleetReports))
	f.mean += share * (r.Load() - f.mean)
	f.slots += share * (float64(r.Slots) - f.slots)
}

// Sent records that a request of this cost has been offered to u.
func (p *Placer) Sent(_ burdockclock.Millis, u burdockid.Upstream, _ burdockid.Tokens) {
	m := p.lookup(u)
	if m == nil {
		return
	}
	m.inFlight++
	m.unreported++
}

// Done records that a request that was offered to u has ended with an answer, a
// refusal or a failure.
func (p *Placer) Done(_ burdockclock.Millis, u burdockid.Upstream, _ burdockid.Tokens) {
	m := p.lookup(u)
	// A member that was removed and added again starts with no requests in flight.
	if m == nil || m.inFlight == 0 {
		return
	}
	m.inFlight--
	m.unreported--
	m.verify()
}

// Report records a load report of u. When one message both ends a request and
// carries a report, call Done first, because the report no longer counts that
// request.
func (p *Placer) Report(now burdockclock.Millis, u burdockid.Upstream, r Report) {
	p.fleet.add(r)
	index, ok := p.find(u)
	if !ok || now < p.members[index].reportedAt {
		return
	}
	m := &p.members[index]
	m.reportedAt = now
	m.load = float32(r.Load())
	m.wait = int32(min(r.ExpectedWait, math.MaxInt32))
	m.slots = int32(max(r.Slots, 1))
	m.unreported = 0
	p.recent.add(int32(index))
}

// SetWeight changes the weight of one member; ejection changes it in steps. The
// member still owns the same prefixes when its weight is raised again.
func (p *Placer) SetWeight(u burdockid.Upstream, weight float64) {
	if m := p.lookup(u); m != nil {
		m.weight = clampWeight(weight)
	}
}

func (p *Placer) lookup(u burdockid.Upstream) *member {
	index, ok := p.find(u)
	if !ok {
		return nil
	}
	return &p.members[index]
}

// estimate returns the estimated load of m.
//
// The older the last report is, the more the fleet's mean replaces it. Requests
// that this entry sent since the report are added in full, because the report
// doesn't include them. Without them, all requests between two reports go to
// whichever upstream reported idle.
func (p *Placer) estimate(now burdockclock.Millis, m *member) float64 {
	if m.slots == 0 {
		return p.fleet.mean + float64(max(m.unreported, 0))/max(p.fleet.slots, 1)
	}
	reportWeight := p.reportWeight(now, m)
	own := float64(m.unreported) / float64(m.slots)
	return p.fleet.mean + reportWeight*(float64(m.load)-p.fleet.mean) + own
}

func (p *Placer) reportWeight(now burdockclock.Millis, m *member) float64 {
	age := max(now-m.reportedAt, 0)
	return math.Exp2(-float64(age) / float64(p.cfg.ReportHalfLife))
}

// verify panics when the request counts of m are inconsistent.
func (m *member) verify() {
	if m.inFlight < 0 || m.unreported > m.inFlight {
		panic("burdockplace: counts of " + string(m.upstream) + " are inconsistent")
	}
}

func clampWeight(weight float64) float32 {
	return float32(min(max(weight, 0), 1))
}
