package burdockentry

import (
	"math/rand/v2"
	"sync"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/config/burdockmember"
	"burdockbend.example/burdockbend/internal/config/burdockprofile"
	"burdockbend.example/burdockbend/internal/decide/burdockeject"
	"burdockbend.example/burdockbend/internal/decide/burdockplace"
	"burdockbend.example/burdockbend/internal/decide/burdockretry"
	"burdockbend.example/burdockbend/internal/state/burdockcharts"
	"burdockbend.example/burdockbend/internal/state/burdockconfig"
	"burdockbend.example/burdockbend/internal/state/burdockfleet"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
)

// maxRecentDecisions is the number of decisions per service in the state dump.
const maxRecentDecisions = 16

// leavingProbeInterval is how often an entry asks leaving upstreams whether a new
// process has replaced them. With 350 entries an agent gets 70 of these calls a second,
// at a time when it serves nothing else.
const leavingProbeInterval = 5 * burdockclock.Second

const (
	// shortLeavingProbeInterval replaces leavingProbeInterval while at least one in
	// leavingShareDivisor upstreams is leaving.
	//
	// When the upstreams of a small service restart one after the other, each within
	// leavingProbeInterval, an entry that uses the long interval sees all of them as
	// leaving and refuses every request although most are back. A service of which a
	// third is leaving has few members or restarts as a whole, so a few calls a second
	// to each are negligible compared with its traffic.
	shortLeavingProbeInterval = burdockclock.Second / 4
	leavingShareDivisor       = 3
)

// pool holds what an entry knows about the upstreams of one service. Its lock guards
// the placer, the ejection tracker and the retry budget.
type pool struct {
	service    burdockid.Service
	dataCentre burdockid.DataCentre

	mu      sync.Mutex
	digest  burdockconfig.Digest
	placer  *burdockplace.Placer
	tracker *burdockeject.Tracker
	health  *health
	budget  *burdockretry.Budget
	retry   burdockprofile.Retry
	random  *rand.Rand
	members map[burdockid.Upstream]burdockmember.Upstream
	// incarnations holds the incarnation that each upstream's agent last reported.
	incarnations map[burdockid.Upstream]burdockid.Incarnation
	// leaving maps each leaving upstream to the incarnation that is stopping.
	leaving         map[burdockid.Upstream]burdockid.Incarnation
	leavingProbedAt burdockclock.Millis
	recentDecisions []decision
}

// decision is one choice of an upstream, for the state dump.
type decision struct {
	At         burdockclock.Millis `json:"at"`
	Request    burdockid.Request   `json:"request"`
	Upstream   burdockid.Upstream  `json:"upstream"`
	Reason     string              `json:"reason"`
	Candidates int                 `json:"candidates"`
	Offer      int                 `json:"offer"`
}

func newPool(service burdockid.Service, dc burdockid.DataCentre, source rand.Source) *pool {
	random := rand.New(source)
	return &pool{
		service:    service,
		dataCentre: dc,
		random:     random,
		placer:     burdockplace.New(burdockplace.Config{}, deriveRand(random)),
		health:     newHealth(),
		tracker:    burdockeject.New(burdockeject.Config{}, deriveRand(random)),
		budget:     burdockretry.New(burdockretry.Config{}, deriveRand(random)),
		leaving:    map[burdockid.Upstream]burdockid.Incarnation{},

		incarnations: map[burdockid.Upstream]burdockid.Incarnation{},
	}
}

func deriveRand(random *rand.Rand) *rand.Rand {
	return rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
}

// applySnapshot applies the members and the retry settings of a fleet snapshot.
func (p *pool) applySnapshot(now burdockclock.Millis, fleet *burdockfleet.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.members != nil && p.digest == fleet.Digest {
		return
	}
	p.digest = fleet.Digest
	if retry := fleet.Profile(p.service).Retry; retry != p.retry {
		p.retry = retry
		p.budget = burdockretry.New(burdockretry.Config{RetryRatio: retry.BudgetRatio, MaxOffers: retry.MaxAttempts}, deriveRand(p.random))
	}
	p.members = map[burdockid.Upstream]burdockmember.Upstream{}
	names := []burdockid.Upstream{}
	for _, u := range fleet.Members[p.service] {
		p.members[u.Name] = u
		names = append(names, u.Name)
	}
	p.tracker.SetMembers(now, names)
	p.health.removeNonMembers(now, func(u burdockid.Upstream) bool { _, ok := p.members[u]; return ok })
	members := make([]burdockplace.Member, len(names))
	for i, name := range names {
		members[i] = burdockplace.Member{Upstream: name, DataCentre: p.members[name].DataCentre, Weight: p.tracker.Weight(name)}
	}
	p.placer.SetMembers(now, members)
}

// choose selects the upstream for an offer and records the offer.
func (p *pool) choose(now burdockclock.Millis, d *dispatcher) (burdockmember.Upstream, burdockplace.Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	choice, ok := p.placer.Choose(now, burdockplace.Request{
		Prefix:     d.req.prefix,
		DataCentre: p.dataCentre,
		Cost:       d.req.cost,
		Attempt:    d.overLoadBound,
		Exclude:    d.excluded,
	})
	if !ok {
		return burdockmember.Upstream{}, choice, false
	}
	p.recordOfferLocked(now, d, choice)
	return p.members[choice.Upstream], choice, true
}

// recordOffer records an offer to an upstream that the placer did not choose.
func (p *pool) recordOffer(now burdockclock.Millis, d *dispatcher, choice burdockplace.Choice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordOfferLocked(now, d, choice)
}

func (p *pool) recordOfferLocked(now burdockclock.Millis, d *dispatcher, choice burdockplace.Choice) {
	p.placer.Sent(now, choice.Upstream, d.req.cost)
	p.addDecision(decision{
		At: now, Request: d.req.id, Upstream: choice.Upstream,
		Reason: string(choice.Reason), Candidates: choice.Candidates, Offer: d.offersMade + 1,
	})
}

func (p *pool) addDecision(d decision) {
	p.recentDecisions = append(p.recentDecisions, d)
	if len(p.recentDecisions) > maxRecentDecisions {
		p.recentDecisions = p.recentDecisions[1:]
	}
}

// offerEnded records the end of an offer.
func (p *pool) offerEnded(now burdockclock.Millis, u burdockid.Upstream, cost burdockid.Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placer.Done(now, u, cost)
}

// reportLoad applies the load that an agent reported. A nil load is ignored.
func (p *pool) reportLoad(now burdockclock.Millis, u burdockid.Upstream, load *burdockwire.Load) {
	if load == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placer.Report(now, u, burdockplace.Report{
		Running:      int(load.GetRunning()),
		Queued:       int(load.GetQueued()),
		Slots:        int(load.GetSlots()),
		QueuedCost:   burdockid.Tokens(load.GetQueuedCostTokens()),
		ExpectedWait: burdockclock.Millis(load.GetExpectedWaitMillis()),
	})
	p.observeIncarnation(now, u, burdockid.Incarnation(load.GetIncarnation()), load.GetLeaving())
}

// observeHealth passes what an offer or a probe showed about an upstream to the
// ejection tracker.
func (p *pool) observeHealth(now burdockclock.Millis, u burdockid.Upstream, o burdockeject.Observation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, changed := p.tracker.Observe(now, u, o)
	p.applyChange(now, c, changed)
}

// observeIncarnation records the incarnation of an agent and whether it is leaving. A
// new incarnation is not judged by the failures of the one before.
//
// The agent is authoritative: the platform's membership list shows a stop up to half a
// minute late.
func (p *pool) observeIncarnation(now burdockclock.Millis, u burdockid.Upstream, inc burdockid.Incarnation, leaving bool) {
	p.incarnations[u] = inc
	leavingInc, wasLeaving := p.leaving[u]
	switch {
	case leaving && !wasLeaving:
		p.leaving[u] = inc
		c, changed := p.tracker.MarkLeaving(now, u)
		p.applyChange(now, c, changed)
	case !leaving && wasLeaving && leavingInc != inc:
		delete(p.leaving, u)
		c, changed := p.tracker.Reset(now, u)
		p.applyChange(now, c, changed)
	}
}

// markLeavingFromList marks an upstream as leaving because the platform's membership
// list no longer shows its VM as live.
//
// A VM may be removed while its agent is frozen or cut off and can't report it. The
// list lags and may describe an earlier incarnation, so a new incarnation that reports
// later overrides it.
func (p *pool) markLeavingFromList(now burdockclock.Millis, u burdockid.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, wasLeaving := p.leaving[u]; wasLeaving {
		return
	}
	if _, isMember := p.members[u]; isMember {
		p.leaving[u] = p.incarnations[u]
		c, changed := p.tracker.MarkLeaving(now, u)
		p.applyChange(now, c, changed)
	}
}

func (p *pool) applyChange(now burdockclock.Millis, c burdockeject.Change, changed bool) {
	if changed {
		p.placer.SetWeight(c.Upstream, c.Weight)
		p.health.applyChange(now, c)
	}
}

// probeFailed records that a probe of an upstream failed.
func (p *pool) probeFailed(now burdockclock.Millis, u burdockid.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.health.fire(now, u, burdockcharts.UpstreamEventProbeFailed, "can't be reached")
}

// dueProbes returns the upstreams to probe now: ejected ones whose probe is due, and
// from time to time those that are leaving.
func (p *pool) dueProbes(now burdockclock.Millis) []burdockmember.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	var dueProbes []burdockmember.Upstream
	for {
		u, ok := p.tracker.NextProbe(now)
		if !ok {
			break
		}
		p.health.fire(now, u, burdockcharts.UpstreamEventProbe, "")
		dueProbes = append(dueProbes, p.members[u])
	}
	interval := leavingProbeInterval
	if len(p.leaving)*leavingShareDivisor >= len(p.members) {
		interval = shortLeavingProbeInterval
	}
	if now-p.leavingProbedAt < interval {
		return dueProbes
	}
	p.leavingProbedAt = now
	for u := range p.leaving {
		if member, ok := p.members[u]; ok {
			dueProbes = append(dueProbes, member)
		}
	}
	return dueProbes
}

func (p *pool) recordSuccess(now burdockclock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.RecordSuccess(now)
}

func (p *pool) decide(now burdockclock.Millis, a burdockretry.Attempt) burdockretry.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Decide(now, a)
}

func (p *pool) giveUpNoUpstream(now burdockclock.Millis) burdockretry.GiveUp {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.GiveUpNoUpstream(now, 0)
}
