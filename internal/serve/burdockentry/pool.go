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

// lastDecisions is how many choices a dump shows for each service.
const lastDecisions = 16

// askLeavingEvery is how often an entry asks a leaving upstream whether a new
// process has taken its place. At 350 entries that is 70 calls a second for
// an agent that serves nothing else.
const askLeavingEvery = 5 * burdockclock.Second

const (
	// askLeavingSoon takes its place while every leavingShare-th upstream leaves.
	//
	// Failure: the upstreams of a small service are restarted one after the
	// other, each within the time between two questions. Symptom: an entry
	// believes that all are leaving, and refuses every request though most are
	// back. A service in which a third leave has few members, or is restarted
	// whole; some calls a second to each are nothing against its traffic.
	askLeavingSoon = burdockclock.Second / 4
	leavingShare   = 3
)

// pool is what an entry knows of the upstreams of one service. It puts a lock
// around the pure decisions.
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
	// incarnations holds which run of its agent each upstream was last heard of.
	incarnations map[burdockid.Upstream]burdockid.Incarnation
	// leaving holds the upstreams that stop, by the incarnation that does.
	leaving      map[burdockid.Upstream]burdockid.Incarnation
	askedLeaving burdockclock.Millis
	last         []decision
}

// decision is one choice, for the dump.
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
		placer:     burdockplace.New(burdockplace.Config{}, derive(random)),
		health:     newHealth(),
		tracker:    burdockeject.New(burdockeject.Config{}, derive(random)),
		budget:     burdockretry.New(burdockretry.Config{}, derive(random)),
		leaving:    map[burdockid.Upstream]burdockid.Incarnation{},

		incarnations: map[burdockid.Upstream]burdockid.Incarnation{},
	}
}

func derive(random *rand.Rand) *rand.Rand {
	return rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
}

// follow takes up new members and a new profile.
func (p *pool) follow(now burdockclock.Millis, fleet *burdockfleet.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.members != nil && p.digest == fleet.Digest {
		return
	}
	p.digest = fleet.Digest
	if retry := fleet.Profile(p.service).Retry; retry != p.retry {
		p.retry = retry
		p.budget = burdockretry.New(burdockretry.Config{RetryRatio: retry.BudgetRatio, MaxOffers: retry.MaxAttempts}, derive(p.random))
	}
	p.members = map[burdockid.Upstream]burdockmember.Upstream{}
	names := []burdockid.Upstream{}
	for _, u := range fleet.Members[p.service] {
		p.members[u.Name] = u
		names = append(names, u.Name)
	}
	p.tracker.SetMembers(now, names)
	p.health.keep(now, func(u burdockid.Upstream) bool { _, ok := p.members[u]; return ok })
	members := make([]burdockplace.Member, len(names))
	for i, name := range names {
		members[i] = burdockplace.Member{Upstream: name, DataCentre: p.members[name].DataCentre, Weight: p.tracker.Weight(name)}
	}
	p.placer.SetMembers(now, members)
}

// choose places one offer of a request.
func (p *pool) choose(now burdockclock.Millis, o *offers) (burdockmember.Upstream, burdockplace.Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	choice, ok := p.placer.Choose(now, burdockplace.Request{
		Prefix:     o.req.prefix,
		DataCentre: p.dataCentre,
		Cost:       o.req.cost,
		Attempt:    o.overBound,
		Exclude:    o.excluded,
	})
	if !ok {
		return burdockmember.Upstream{}, choice, false
	}
	p.begin(now, o, choice)
	return p.members[choice.Upstream], choice, true
}

// sent records an offer that was not placed by choice.
func (p *pool) sent(now burdockclock.Millis, o *offers, choice burdockplace.Choice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.begin(now, o, choice)
}

func (p *pool) begin(now burdockclock.Millis, o *offers, choice burdockplace.Choice) {
	p.placer.Sent(now, choice.Upstream, o.req.cost)
	p.note(decision{
		At: now, Request: o.req.id, Upstream: choice.Upstream,
		Reason: string(choice.Reason), Candidates: choice.Candidates, Offer: o.made + 1,
	})
}

func (p *pool) note(d decision) {
	p.last = append(p.last, d)
	if len(p.last) > lastDecisions {
		p.last = p.last[1:]
	}
}

// done ends an offer.
func (p *pool) done(now burdockclock.Millis, u burdockid.Upstream, cost burdockid.Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placer.Done(now, u, cost)
}

// report takes in the load that an agent tells on an answer.
func (p *pool) report(now burdockclock.Millis, u burdockid.Upstream, load *burdockwire.Load) {
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
	p.presence(now, u, burdockid.Incarnation(load.GetIncarnation()), load.GetLeaving())
}

// observe takes in what an offer tells of an upstream's health.
func (p *pool) observe(now burdockclock.Millis, u burdockid.Upstream, o burdockeject.Observation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, changed := p.tracker.Observe(now, u, o)
	p.change(now, c, changed)
}

// presence takes in that a run of an agent's process is there, and whether it
// said that it stops. A new run is not judged by what the one before it did.
//
// The agent is the authority: the platform's membership list shows a stop up
// to half a minute late.
func (p *pool) presence(now burdockclock.Millis, u burdockid.Upstream, inc burdockid.Incarnation, leaving bool) {
	p.incarnations[u] = inc
	last, left := p.leaving[u]
	switch {
	case leaving && !left:
		p.leaving[u] = inc
		c, changed := p.tracker.MarkLeaving(now, u)
		p.change(now, c, changed)
	case !leaving && left && last != inc:
		delete(p.leaving, u)
		c, changed := p.tracker.Reset(now, u)
		p.change(now, c, changed)
	}
}

// listedLeaving takes in that the platform's list has come to show the VM of an
// upstream as leaving or gone.
//
// Load: a VM is taken away while its agent is frozen or cut off and can't say
// so itself. The list lags, so it may speak of a run that is over; a run that
// is heard of later is not bound by it.
func (p *pool) listedLeaving(now burdockclock.Millis, u burdockid.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, left := p.leaving[u]; left {
		return
	}
	if _, member := p.members[u]; member {
		p.leaving[u] = p.incarnations[u]
		c, changed := p.tracker.MarkLeaving(now, u)
		p.change(now, c, changed)
	}
}

func (p *pool) change(now burdockclock.Millis, c burdockeject.Change, changed bool) {
	if changed {
		p.placer.SetWeight(c.Upstream, c.Weight)
		p.health.change(now, c)
	}
}

// probeFailed takes in that a probe found an upstream as it was.
func (p *pool) probeFailed(now burdockclock.Millis, u burdockid.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.health.fire(now, u, burdockcharts.UpstreamEventProbeFailed, "can't be reached")
}

// due returns the upstreams that get no work and are to be asked how they are.
func (p *pool) due(now burdockclock.Millis) []burdockmember.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	var due []burdockmember.Upstream
	for {
		u, ok := p.tracker.NextProbe(now)
		if !ok {
			break
		}
		p.health.fire(now, u, burdockcharts.UpstreamEventProbe, "")
		due = append(due, p.members[u])
	}
	every := askLeavingEvery
	if len(p.leaving)*leavingShare >= len(p.members) {
		every = askLeavingSoon
	}
	if now-p.askedLeaving < every {
		return due
	}
	p.askedLeaving = now
	for u := range p.leaving {
		if member, ok := p.members[u]; ok {
			due = append(due, member)
		}
	}
	return due
}

func (p *pool) succeeded(now burdockclock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.RecordSuccess(now)
}

func (p *pool) decide(now burdockclock.Millis, a burdockretry.Attempt) burdockretry.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Decide(now, a)
}

func (p *pool) noUpstream(now burdockclock.Millis) burdockretry.GiveUp {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.GiveUpNoUpstream(now)
}
