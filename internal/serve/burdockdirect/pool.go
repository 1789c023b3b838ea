package burdockdirect

import (
	"math/rand/v2"
	"sync"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockbackpressure"
	"burdockbend.example/burdockbend/internal/decide/burdockcold"
	"burdockbend.example/burdockbend/internal/decide/burdockeject"
	"burdockbend.example/burdockbend/internal/decide/burdockplace"
	"burdockbend.example/burdockbend/internal/decide/burdockratelimit"
	"burdockbend.example/burdockbend/internal/decide/burdockretry"
	"burdockbend.example/burdockbend/internal/decide/burdocksharedrate"
	"burdockbend.example/burdockbend/internal/decide/burdockspeed"
	"burdockbend.example/burdockbend/internal/decide/burdocksuspicion"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
	"go.uber.org/zap"
)

const (
	// retryRatio is the number of retries for each recent success: half of what the
	// platform allows all entries together, since some entries see more failures than
	// others.
	retryRatio = 0.1
	// minRetries is how many retries an entry always has within the budget's window of ten
	// seconds: enough for the requests of one upstream that freezes. Sixteen entries
	// together stay within what the platform allows on top of the ratio.
	minRetries = 8
)

// pool holds the state of one service's upstreams at an entry. It guards the decision
// packages, which are not safe for concurrent use, with its lock.
type pool struct {
	service burdockid.Service
	entry   *Entry
	gate    *gate
	lengths *lengths
	// exportRoom registers the gauges of shared admission, once.
	exportRoom sync.Once
	unnamed    unnamedRefusals // lately, by any upstream of the service
	urgency    urgency         // guarded by mu
	random     *rand.Rand

	mu       sync.Mutex
	placer   *burdockplace.Placer
	tracker  *burdockeject.Tracker
	budget   *burdockretry.Budget
	members  map[burdockid.Upstream]burdocksite.Upstream
	engine   *burdocksite.Engine
	config   *burdocksite.Config        // last one applied
	inFlight map[burdockid.Upstream]int // offers in flight
	// reportedInFlight holds the offers in flight as last reported to the coordinator of the
	// room. The streams at each engine over all entries are known until loadsKnownUntil.
	reportedInFlight map[burdockid.Upstream]int
	failedLately     map[burdockid.Upstream]int // streams that failed offers count as
	loadsKnownUntil  burdockclock.Millis
	// speeds holds the speeds of slow engines by address, weightBySpeed the weights that
	// follow from them.
	speeds        map[string]burdockspeed.Speed
	weightBySpeed map[burdockid.Upstream]float64
	// groups holds the lock-step groups of engines by address.
	groups     map[string]burdockid.Group
	migrations migrations
	memberAge  memberAge
	// entries are the entries that share the rates of upstreams.
	entries burdocksharedrate.Entries
	// cold limits the requests to upstreams that have just started.
	cold *burdockcold.Limiter
	// rateLimits holds the rate limits that upstreams name in their responses.
	rateLimits *burdockratelimit.Limiter
	// pauses holds the pauses that upstreams ask for in their refusals.
	pauses *burdockbackpressure.Pauses
	// leaving holds the upstreams that have said in a response that they leave.
	leaving *burdockbackpressure.Leaving
	// suspected tracks the upstreams of a plain service that recently failed a request.
	suspected *burdocksuspicion.Tracker
	// typicalDuration is the mean time from an offer to the end of its answer; 0 until
	// there has been an answer.
	typicalDuration burdockclock.Millis
	// lastContact holds the last contact with each upstream that has offers in flight.
	lastContact map[burdockid.Upstream]contact
	// typicalFirstEvent is the mean time from the offer of a stream to its first event,
	// firstEventTimeout how long callers wait for that.
	typicalFirstEvent burdockclock.Millis
	firstEventTimeout burdockclock.Millis
	// lastEventAt is the time of the latest event of any stream of the service,
	// eventsSince the time since which events have come without a pause.
	lastEventAt burdockclock.Millis
	eventsSince burdockclock.Millis
}

func newPool(service burdockid.Service, e *Entry) *pool {
	random := rand.New(rand.NewPCG(e.deps.Seed, uint64(time.Now().UnixNano())))
	p := &pool{
		service: service, entry: e, random: random, groups: e.groups, inFlight: map[burdockid.Upstream]int{}, failedLately: map[burdockid.Upstream]int{}, migrations: migrations{}, suspected: burdocksuspicion.New(burdocksuspicion.Config{}),
		memberAge:   newMemberAge(),
		lengths:     newLengths(),
		lastContact: map[burdockid.Upstream]contact{}, typicalFirstEvent: initialFirstEvent,
		entries: e.entries,
		pauses:  burdockbackpressure.NewPauses(),
		leaving: burdockbackpressure.NewLeaving(),
		placer:  burdockplace.New(burdockplace.Config{}, deriveRand(random)),
		tracker: burdockeject.New(burdockeject.Config{}, deriveRand(random)),
		budget:  burdockretry.New(burdockretry.Config{RetryRatio: retryRatio, MinRetries: minRetries}, deriveRand(random)),
	}
	p.cold = burdockcold.New(&p.entries)
	p.rateLimits = burdockratelimit.New(&p.entries)
	snap := e.deps.Site.Now()
	p.engine = engineOf(snap, service)
	p.gate = newGate(e.deps.Clock, gateConfigOf(snap, service, e.cfg.SharedAdmission), p)
	p.applySnapshot(e.now(), snap)
	e.meters.exportGauges(p)
	return p
}

func deriveRand(random *rand.Rand) *rand.Rand {
	return rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
}

// initialEngineDuration and initialPlainDuration are the assumed durations of an answer
// until one has completed. They are longer than answers usually take.
const (
	initialEngineDuration = 3 * burdockclock.Second
	initialPlainDuration  = 200 * burdockclock.Millis(1)
)

// durationSamples is the number of answers over which the mean duration is taken.
const durationSamples = 16

// typicalAnswerTime returns how long an answer typically takes.
func (p *pool) typicalAnswerTime() burdockclock.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.typicalDuration > 0:
		return p.typicalDuration
	case p.engine != nil:
		return initialEngineDuration
	}
	return initialPlainDuration
}

// offerStarted records an offer to an upstream. The lock must be held.
func (p *pool) offerStarted(now burdockclock.Millis, u burdockid.Upstream, cost burdockid.Tokens) {
	p.placer.Sent(now, u, cost)
	p.cold.Sent(now, u)
	p.rateLimits.Sent(now, u)
	p.pauses.Sent(now, u)
	if p.inFlight[u]++; p.inFlight[u] == 1 {
		p.lastContact[u] = contact{at: now}
	}
}

// offerEnded records the end of an offer.
func (p *pool) offerEnded(now burdockclock.Millis, u burdockid.Upstream, cost burdockid.Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placer.Done(now, u, cost)
	if p.inFlight[u]--; p.inFlight[u] <= 0 {
		delete(p.inFlight, u)
		delete(p.lastContact, u)
	}
}

// reportLoad records the load that an upstream reported; nil is ignored.
func (p *pool) reportLoad(now burdockclock.Millis, u burdockid.Upstream, l *Load) {
	if l == nil {
		return
	}
	p.mu.Lock()
	own := p.inFlight[u]
	p.mu.Unlock()
	p.gate.reportLoad(u, *l, own)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placer.Report(now, u, burdockplace.Report{Running: l.Running, Queued: l.Waiting, Slots: l.Slots})
}

// observe records what an offer showed about an upstream's health.
func (p *pool) observe(now burdockclock.Millis, u burdockid.Upstream, o burdockeject.Observation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change, changed := p.tracker.Observe(now, u, o)
	if !changed {
		return
	}
	p.updateWeight(change.Upstream)
	p.entry.deps.Log.Info("upstream weighted", zap.String("upstream", string(change.Upstream)),
		zap.String("service", string(p.service)), zap.String("cause", string(change.Cause)), zap.Float64("weight", change.Weight))
}

// markReplaced records that another process answers at an upstream's address.
//
// After a restart, the record of an upstream still shows the old process for a while. Each
// request that is placed there is refused and has used up one of its few offers. The old
// process never comes back, and the new one becomes a member of its own once it has a
// record, so the old one gets nothing more.
func (p *pool) markReplaced(now burdockclock.Millis, u burdockid.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.memberAge.recordReplaced(now)
	if _, changed := p.tracker.MarkLeaving(now, u); changed {
		p.updateWeight(u)
		p.entry.deps.Log.Info("upstream replaced", zap.String("upstream", string(u)), zap.String("service", string(p.service)))
	}
}

func (p *pool) decideRetry(now burdockclock.Millis, a burdockretry.Attempt) burdockretry.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Decide(now, a)
}

// giveUpNoUpstream returns the decision for a request that no upstream may get. Its caller is
// to return once one of them takes requests.
func (p *pool) giveUpNoUpstream(now burdockclock.Millis, req *request) burdockretry.GiveUp {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.nextRequestAt(now)
	if p.isLessUrgent(now, req) {
		at = p.firstAt(now, p.rateLimits.NextAtLessUrgent)
	}
	return p.budget.GiveUpNoUpstream(now, at-now)
}

// giveUpGroupClosed returns the decision for a request whose group stayed closed.
func (p *pool) giveUpGroupClosed(now burdockclock.Millis) burdockretry.GiveUp {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.GiveUpGroupClosed(now)
}

func (p *pool) recordSuccess(now, took burdockclock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.typicalDuration == 0 {
		p.typicalDuration = took
	}
	p.typicalDuration += (took - p.typicalDuration) / durationSamples
	p.memberAge.replaced = 0
	p.budget.RecordSuccess(now)
}
