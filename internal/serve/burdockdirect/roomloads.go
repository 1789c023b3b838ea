package burdockdirect

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockplace"
	"burdockbend.example/burdockbend/internal/decide/burdockroom"
)

const (
	// maxComparedEngines is how many random engines are compared if their loads are known.
	// Entries that compare more agree more often on the same engine before they hear of each
	// other's streams.
	maxComparedEngines = 6
	// sharedLoadsFreshFor is how long the streams at each engine over all entries are known
	// well enough to compare many engines: as long as a part is usually valid. With older
	// counts, all entries would send to the same engines.
	sharedLoadsFreshFor burdockclock.Millis = 600
	// failedWeight is how many streams a failed offer counts as: two of them within the time
	// of an answer fill an engine with the usual number of slots.
	failedWeight = 5
)

// takeEngineLoads returns the streams by engine for a report, the largest ones if there are
// more than it may list, and records them as reported.
func (p *pool) takeEngineLoads() []burdockroom.EngineLoad {
	p.mu.Lock()
	loads := make([]burdockroom.EngineLoad, 0, len(p.inFlight))
	p.reportedInFlight = p.engineStreams()
	for u, n := range p.reportedInFlight {
		loads = append(loads, burdockroom.EngineLoad{Engine: u, Streams: n})
	}
	p.mu.Unlock()
	slices.SortFunc(loads, func(a, b burdockroom.EngineLoad) int {
		return cmp.Or(cmp.Compare(b.Streams, a.Streams), cmp.Compare(a.Engine, b.Engine))
	})
	return loads[:min(len(loads), burdockroom.MaxEngines)]
}

// engineStreams returns this entry's offers in flight and those that failed lately, by engine.
// The lock must be held.
func (p *pool) engineStreams() map[burdockid.Upstream]int {
	streams := maps.Clone(p.inFlight)
	for u, n := range p.failedLately {
		streams[u] += n
	}
	return streams
}

// holdFailed lets an offer that failed count as streams for as long as an answer takes.
//
// An engine that cuts off every request at once looks idle. Where the least loaded engine is
// chosen, it would get most of all requests and fail them.
func (p *pool) holdFailed(u burdockid.Upstream) {
	hold := p.typicalAnswerTime().Duration()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failedLately[u] += failedWeight
	time.AfterFunc(hold, func() { p.releaseFailed(u) })
}

func (p *pool) releaseFailed(u burdockid.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failedLately[u] -= failedWeight; p.failedLately[u] <= 0 {
		delete(p.failedLately, u)
	}
}

// setRoomLoads passes the streams at each engine over all entries to the placer.
//
// An entry hears of one engine in a response every few seconds. Near the limit, one stream in
// four then begins at an engine that has no free slot, although others have some, and waits
// there for several times as long as a first event takes.
func (p *pool) setRoomLoads(now burdockclock.Millis, loads []burdockroom.EngineLoad) {
	if len(loads) == 0 || len(loads) >= burdockroom.MaxEngines {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make(map[burdockid.Upstream]int, len(loads))
	for _, l := range loads {
		all[l.Engine] = l.Streams
	}
	own := p.engineStreams()
	for u, member := range p.members {
		others := max(all[u]-p.reportedInFlight[u], 0)
		p.placer.Report(now, u, burdockplace.Report{Running: others + own[u], Slots: member.Slots})
	}
	p.loadsKnownUntil = now + sharedLoadsFreshFor
}

// comparedEngines returns how many engines a choice compares; 0 for the placer's usual
// choice. The lock must be held.
func (p *pool) comparedEngines(now burdockclock.Millis) int {
	if now >= p.loadsKnownUntil {
		return 0
	}
	return maxComparedEngines
}
