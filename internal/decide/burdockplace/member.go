package burdockplace

import (
	"math"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// member is what the placer keeps for an upstream. There are thousands, so
// that the small types matter: an entry has 32 MB for all of control.
type member struct {
	upstream   burdockid.Upstream
	dataCentre burdockid.DataCentre
	reportedAt burdockclock.Millis
	weight     float32
	load       float32 // as reported
	wait       int32   // as reported, in milliseconds
	slots      int32   // 0: never reported
	unreported int32   // own requests sent, less those done, since the report
	inFlight   int32   // own requests sent and not done
}

// fleetLoad is a moving mean over the reports of all upstreams.
//
// Made for: an entry that sees 18 answers a second of 3,800 upstreams. It
// hears of each upstream every few minutes, far too seldom to know any; but 64
// reports, three and a half seconds of answers, tell the mean within a few per
// cent, and the mean is what a bound needs.
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

// Sent tells that a request of this cost has been offered to u.
func (p *Placer) Sent(_ burdockclock.Millis, u burdockid.Upstream, _ burdockid.Tokens) {
	m := p.lookup(u)
	if m == nil {
		return
	}
	m.inFlight++
	m.unreported++
}

// Done tells that a request that was offered to u has ended there, by its
// answer, a refusal or a failure.
func (p *Placer) Done(_ burdockclock.Millis, u burdockid.Upstream, _ burdockid.Tokens) {
	m := p.lookup(u)
	// An upstream that left and came back has forgotten what was sent before.
	if m == nil || m.inFlight == 0 {
		return
	}
	m.inFlight--
	m.unreported--
	m.verify()
}

// Report tells the load that u reported. Where one message both ends a request
// and carries a report, Done comes first: the report no longer counts it.
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

// SetWeight changes the weight of one member, as ejection does by degrees. It
// moves no prefix: a member that returns finds its own again.
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

// estimate returns the load that m is believed to have now.
//
// The report counts less the older it is, and the mean of the fleet takes its
// place; own requests since the report are added in full, since the report
// cannot know them. Without that, all requests between two reports would go
// to whichever upstream was reported idle.
func (p *Placer) estimate(now burdockclock.Millis, m *member) float64 {
	if m.slots == 0 {
		return p.fleet.mean + float64(max(m.unreported, 0))/max(p.fleet.slots, 1)
	}
	trust := p.trust(now, m)
	own := float64(m.unreported) / float64(m.slots)
	return p.fleet.mean + trust*(float64(m.load)-p.fleet.mean) + own
}

func (p *Placer) trust(now burdockclock.Millis, m *member) float64 {
	age := max(now-m.reportedAt, 0)
	return math.Exp2(-float64(age) / float64(p.cfg.ReportHalfLife))
}

// verify panics when the counts of m contradict each other.
func (m *member) verify() {
	if m.inFlight < 0 || m.unreported > m.inFlight {
		panic("burdockplace: counts of " + string(m.upstream) + " contradict each other")
	}
}

func clampWeight(weight float64) float32 {
	return float32(min(max(weight, 0), 1))
}
