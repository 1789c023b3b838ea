package burdockdirect

import (
	"math/rand/v2"
	"sync"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockdoubt"
	"burdockbend.example/burdockbend/internal/decide/burdockeject"
	"burdockbend.example/burdockbend/internal/decide/burdockplace"
	"burdockbend.example/burdockbend/internal/decide/burdockretry"
	"burdockbend.example/burdockbend/internal/decide/burdockspeed"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
	"go.uber.org/zap"
)

const (
	// retryFraction is the number of retries for each recent success: half of
	// what the platform allows all entries together, as some see more failures
	// than others.
	retryFraction = 0.1
	// retryFloor is how many retries an entry has within the budget's ten seconds
	// whatever it sees: those of one upstream that freezes with the requests that
	// it has. Sixteen entries together stay within what the platform allows
	// beside the fraction.
	retryFloor = 8
)

// pool is what an entry knows of the upstreams of one service. It puts a lock
// around the pure decisions.
type pool struct {
	service burdockid.Service
	entry   *Entry
	gate    *gate
	random  *rand.Rand

	mu      sync.Mutex
	placer  *burdockplace.Placer
	tracker *burdockeject.Tracker
	budget  *burdockretry.Budget
	members map[burdockid.Upstream]burdocksite.Upstream
	engine  *burdocksite.Engine
	config  *burdocksite.Config        // that was taken up last
	own     map[burdockid.Upstream]int // offers in flight
	// speeds are those of slow engines, by address, and bySpeed the weights that
	// follow from them.
	speeds  map[string]burdockspeed.Speed
	bySpeed map[burdockid.Upstream]float64
	moves   moves
	// doubts holds which upstreams of a plain service failed a request of late.
	doubts *burdockdoubt.Tracker
	// usualTook is how long an answer usually takes from its offer to its end.
	usualTook burdockclock.Millis
	// heard is when each upstream with offers in flight was last heard from.
	heard map[burdockid.Upstream]heard
	// firstEvent is the usual time from an offer of a stream to its first event,
	// and patience how long callers wait for that.
	firstEvent burdockclock.Millis
	patience   burdockclock.Millis
	// progressAt is when any stream of the service last had an event, and
	// progressFrom since when they have had some without a pause.
	progressAt   burdockclock.Millis
	progressFrom burdockclock.Millis
}

// heard is when an upstream had an event, or got the first of the offers that it
// has.
type heard struct {
	at    burdockclock.Millis
	event bool
}

func newPool(service burdockid.Service, e *Entry) *pool {
	random := rand.New(rand.NewPCG(e.deps.Seed, uint64(time.Now().UnixNano())))
	p := &pool{
		service: service, entry: e, random: random, own: map[burdockid.Upstream]int{}, moves: moves{}, doubts: burdockdoubt.New(burdockdoubt.Config{}),
		heard: map[burdockid.Upstream]heard{}, firstEvent: startFirstEvent,
		placer:  burdockplace.New(burdockplace.Config{}, derive(random)),
		tracker: burdockeject.New(burdockeject.Config{}, derive(random)),
		budget:  burdockretry.New(burdockretry.Config{RetryRatio: retryFraction, MinRetries: retryFloor}, derive(random)),
	}
	snap := e.deps.Site.Now()
	p.engine = engineOf(snap, service)
	p.gate = newGate(e.deps.Clock, gateConfigOf(snap, service), p)
	p.follow(e.now(), snap)
	e.meters.follow(p)
	return p
}

func derive(random *rand.Rand) *rand.Rand {
	return rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
}

func engineOf(snap *burdocksite.Snapshot, service burdockid.Service) *burdocksite.Engine {
	if snap.Config == nil {
		return nil
	}
	return snap.Config.Services[service].Engine
}

// streamsOf returns how long callers of a service's streams wait for a first
// event, and the pause between events that they accept: the least of all routes.
func streamsOf(snap *burdocksite.Snapshot, service burdockid.Service) (patience, longest burdockclock.Millis) {
	if snap.Config == nil {
		return 0, 0
	}
	for _, route := range snap.Config.Routes {
		for _, share := range route.Shares {
			if share.Service == service && route.Stream {
				patience = leastOf(patience, route.Patience)
				longest = leastOf(longest, route.Gap)
			}
		}
	}
	return patience, longest
}

// leastOf returns the lesser of two spans, of which 0 stands for none.
func leastOf(a, b burdockclock.Millis) burdockclock.Millis {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// startModel and startPlain are how long an answer is taken to take until one
// has been seen: longer than they usually do.
const (
	startModel = 3 * burdockclock.Second
	startPlain = 200 * burdockclock.Millis(1)
)

// usualWeight makes the usual time a mean over as many answers.
const usualWeight = 16

// usual returns how long an answer usually takes.
func (p *pool) usual() burdockclock.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.usualTook > 0:
		return p.usualTook
	case p.engine != nil:
		return startModel
	}
	return startPlain
}

// follow takes up the members that the site shows now.
func (p *pool) follow(now burdockclock.Millis, snap *burdocksite.Snapshot) {
	cfg := gateConfigOf(snap, p.service)
	p.setPatience(cfg.patience)
	if p.takeUp(now, cfg.members, snap.Config, p.gate.requests()) {
		p.gate.follow(cfg)
	}
}

func (p *pool) setPatience(patience burdockclock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.patience = patience
}

// gateConfigOf returns what a service's gate depends on.
func gateConfigOf(snap *burdocksite.Snapshot, service burdockid.Service) gateConfig {
	cfg := gateConfig{engine: engineOf(snap, service), members: snap.Members(service)}
	cfg.patience, cfg.longest = streamsOf(snap, service)
	return cfg
}

// takeUp reports whether members or configuration are news.
func (p *pool) takeUp(now burdockclock.Millis, members []burdocksite.Upstream, cfg *burdocksite.Config, requests float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	news := p.config != cfg
	p.config = cfg
	if p.members != nil && p.same(members) {
		return news
	}
	p.members = map[burdockid.Upstream]burdocksite.Upstream{}
	var names []burdockid.Upstream
	for _, u := range members {
		p.members[u.ID] = u
		names = append(names, u.ID)
	}
	p.tracker.SetMembers(now, names)
	p.moves.keep(p.members)
	p.bySpeed = speedWeights(engineOf(p.entry.deps.Site.Now(), p.service), p.members, p.speeds, requests)
	placed := make([]burdockplace.Member, len(names))
	for i, name := range names {
		placed[i] = burdockplace.Member{Upstream: name, DataCentre: p.members[name].DataCentre, Weight: p.weightNow(name)}
	}
	p.placer.SetMembers(now, placed)
	return true
}

// size returns the number of upstreams.
func (p *pool) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.members)
}

func (p *pool) same(members []burdocksite.Upstream) bool {
	if len(members) != len(p.members) {
		return false
	}
	for _, u := range members {
		if p.members[u.ID] != u {
			return false
		}
	}
	return true
}

// choose places one offer, with stay if that is still a member.
func (p *pool) choose(now burdockclock.Millis, req *request, refused map[burdockid.Upstream]bool, stay burdockid.Upstream) (burdocksite.Upstream, burdockplace.Reason, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isMember(stay) {
		p.send(now, stay, req.cost)
		return p.members[stay], "stay", true
	}
	skip := func(u burdockid.Upstream) bool { return refused[u] || p.silentNow(now, u) }
	avoid := p.avoided(now, req)
	choice, ok := p.placer.Choose(now, burdockplace.Request{
		DataCentre: p.entry.cfg.DataCentre, Cost: req.cost,
		Exclude: func(u burdockid.Upstream) bool { return avoid[u] || skip(u) },
	})
	if !ok && len(avoid) > 0 {
		choice, ok = p.placer.Choose(now, burdockplace.Request{DataCentre: p.entry.cfg.DataCentre, Cost: req.cost, Exclude: skip})
	}
	// Only what may be sent again finds out about an upstream that has failed: a
	// probe that is due and not made would be missed for long.
	if req.route.Repeatable() {
		if probe, due := p.tracker.NextProbe(now); due && !refused[probe] && p.isMember(probe) {
			choice.Upstream, choice.Reason, ok = probe, "probe", true
		}
	}
	if !ok {
		choice.Upstream, ok = p.tracker.Fallback(skip)
		choice.Reason = "lastResort"
	}
	if !ok || !p.isMember(choice.Upstream) {
		return burdocksite.Upstream{}, "", false
	}
	p.send(now, choice.Upstream, req.cost)
	return p.members[choice.Upstream], choice.Reason, true
}

func (p *pool) isMember(u burdockid.Upstream) bool {
	_, member := p.members[u]
	return member
}

// send notes an offer. The lock must be held.
func (p *pool) send(now burdockclock.Millis, u burdockid.Upstream, cost burdockid.Tokens) {
	p.placer.Sent(now, u, cost)
	if p.own[u]++; p.own[u] == 1 {
		p.heard[u] = heard{at: now}
	}
}

// done ends an offer.
func (p *pool) done(now burdockclock.Millis, u burdockid.Upstream, cost burdockid.Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placer.Done(now, u, cost)
	if p.own[u]--; p.own[u] <= 0 {
		delete(p.own, u)
		delete(p.heard, u)
	}
}

// report takes in the load that an upstream told.
func (p *pool) report(now burdockclock.Millis, u burdockid.Upstream, l *Load) {
	if l == nil {
		return
	}
	p.mu.Lock()
	own := p.own[u]
	p.mu.Unlock()
	p.gate.report(u, *l, own)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placer.Report(now, u, burdockplace.Report{Running: l.Running, Queued: l.Waiting, Slots: l.Slots})
}

// observe takes in what an offer showed of an upstream's health.
func (p *pool) observe(now burdockclock.Millis, u burdockid.Upstream, o burdockeject.Observation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change, changed := p.tracker.Observe(now, u, o)
	if !changed {
		return
	}
	p.weigh(change.Upstream)
	p.entry.deps.Log.Info("upstream weighted", zap.String("upstream", string(change.Upstream)),
		zap.String("service", string(p.service)), zap.String("cause", string(change.Cause)), zap.Float64("weight", change.Weight))
}

// replaced notes that another process answers at an upstream's address.
//
// Failure: an upstream was restarted, and its record still shows the old
// process. Symptom: each request that is placed there is refused and has used
// up one of its few offers. The old process is gone for good: the new one is a
// member of its own when its record comes, so nothing more is sent to the old.
func (p *pool) replaced(now burdockclock.Millis, u burdockid.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, changed := p.tracker.MarkLeaving(now, u); changed {
		p.weigh(u)
		p.entry.deps.Log.Info("upstream replaced", zap.String("upstream", string(u)), zap.String("service", string(p.service)))
	}
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

// groupClosed returns the decision for a request whose engines' group stayed closed.
func (p *pool) groupClosed(now burdockclock.Millis) burdockretry.GiveUp {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.GiveUpGroupClosed(now)
}

func (p *pool) succeeded(now, took burdockclock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.usualTook == 0 {
		p.usualTook = took
	}
	p.usualTook += (took - p.usualTook) / usualWeight
	p.budget.RecordSuccess(now)
}

// progress notes an event of a stream.
func (p *pool) progress(now burdockclock.Millis, u burdockid.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now-p.progressAt > silence/2 {
		p.progressFrom = now
	}
	p.progressAt = now
	p.heard[u] = heard{at: now, event: true}
}

// began tells of the time from a stream's offer to its first event.
func (p *pool) began(took burdockclock.Millis) {
	p.mu.Lock()
	p.firstEvent += (took - p.firstEvent) / firstEventWeight
	p.mu.Unlock()
	p.gate.began(took)
}

// firstSilence is how long a stream may have no first event.
//
// Failure: engines are full, and what is sent to them stands in their queues.
// Symptom: a first event that takes longer than the silence limit is taken for a
// lost connection; the caller is told that the outcome is unknown, and the engine
// works for nobody. Where first events take long everywhere, more time is given;
// not so much that the caller is gone before another engine could answer.
func (p *pool) firstSilence() burdockclock.Millis {
	return max(min(usualsPerSilence*p.firstEvent, p.patience-p.firstEvent), silence)
}

// usualsPerSilence is how many times as long as usual a first event may take.
const usualsPerSilence = 4

// silent reports whether an upstream that has offers is silent while others are
// not.
func (p *pool) silent(now burdockclock.Millis, u burdockid.Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.silentNow(now, u) {
		return false
	}
	if last := p.heard[u]; !last.event {
		// Left out, the longest first events would never be counted.
		p.firstEvent += (now - last.at - p.firstEvent) / firstEventWeight
	}
	return true
}

// silentNow is silent with the lock held.
//
// Failure: an upstream's VM is frozen or cut off. Symptom: what is sent to it
// waits in buffers, and each caller leaves after some seconds without an event.
// Engines in lock-step write at one pace, so one that has had nothing to say for
// many passes while others had is out of reach.
func (p *pool) silentNow(now burdockclock.Millis, u burdockid.Upstream) bool {
	last, busy := p.heard[u]
	limit := silence
	if !last.event {
		limit = p.firstSilence()
	}
	return busy && p.othersWrite(now, last.at, limit)
}

// othersWrite reports whether other streams have had events for long enough
// since an instant to tell that one without has lost its connection. A group
// that stood and goes on is no sign: its ranks begin again one by one.
func (p *pool) othersWrite(now, since, limit burdockclock.Millis) bool {
	return now-max(since, p.progressFrom) > limit && now-p.progressAt < silence/2
}

// lost reports whether a stream without an event since an instant has lost its
// connection.
func (p *pool) lost(now, since burdockclock.Millis) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.othersWrite(now, since, silence)
}
