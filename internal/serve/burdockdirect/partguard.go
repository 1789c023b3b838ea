package burdockdirect

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockparts"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
	"go.uber.org/zap"
)

const (
	// maxSettleDelay spreads over time what many entries find out from the same crash, so that
	// most of them hear it before they would tell it.
	maxSettleDelay = burdockclock.Second
	// maxReportedParts bounds the parts that an entry reports of one crash: a record has to fit
	// into the store, and all entries read it.
	maxReportedParts = 1024
	// maxReportedSounds bounds the parts that an entry reports as harmless at a time. A long
	// prompt has many, and other entries know most of them by their own answers.
	maxReportedSounds = 64
	// minPartRetryAfter is the least Retry-After of a request with a quarantined part.
	minPartRetryAfter = burdockclock.Second
)

// errPartQuarantined is the cancel cause of a request with a part that is quarantined
// meanwhile.
var errPartQuarantined = errors.New("a part of the prompt has crashed upstreams")

// partGuard keeps requests with a part that crashes upstreams from those.
type partGuard struct {
	clock  steadyClock
	log    *zap.Logger
	news   PartNews
	meters *meters

	mu       sync.Mutex
	tracker  *burdockparts.Tracker
	active   map[*partWatch]bool
	trials   partTrials
	settling bool // a timer for Settle runs
	// unreported is the number of parts that were left out of reports of crashes, droppedLogged
	// that of dropped evidence at the latest line about it.
	unreported    int
	droppedLogged int
}

func newPartGuard(deps Deps, m *meters) *partGuard {
	g := &partGuard{
		clock: newSteadyClock(deps.Clock), log: deps.Log, news: deps.PartNews, meters: m,
		tracker: burdockparts.New(), active: map[*partWatch]bool{}, trials: newPartTrials(),
	}
	if g.news == nil {
		g.news = noPartNews{}
	}
	m.set.NewGauge("burdock_direct_quarantined_parts", func() float64 { return float64(g.quarantinedParts()) })
	m.set.NewGauge("burdock_direct_part_evidence_dropped", func() float64 { return float64(g.droppedEvidence()) })
	return g
}

// droppedEvidence returns how much evidence was dropped because there was no room for it.
func (g *partGuard) droppedEvidence() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dropped()
}

// dropped is droppedEvidence with the lock held.
func (g *partGuard) dropped() int { return g.unreported + g.tracker.Dropped() }

// logDropped writes a line the first time that evidence was dropped, and each time that the
// amount has doubled. The lock must be held.
func (g *partGuard) logDropped() {
	dropped := g.dropped()
	if dropped == 0 || dropped < 2*g.droppedLogged {
		return
	}
	g.droppedLogged = dropped
	g.log.Warn("evidence on prompt parts dropped", zap.Int("dropped", dropped), zap.Int("unreported", g.unreported))
}

func (g *partGuard) now() burdockclock.Millis { return g.clock.now() }

func (g *partGuard) quarantinedParts() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.QuarantinedParts()
}

// refusalFor returns the refusal of a request with a quarantined part; nil if it has none, or
// is a trial.
func (g *partGuard) refusalFor(req *request) *refusal {
	if len(req.SharedParts) == 0 {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	v, found := g.tracker.Quarantined(g.now(), req.service, req.SharedParts)
	if !found || req.trial || g.startTrial(req, v) {
		return nil
	}
	g.meters.partRefusals.Inc()
	return &refusal{
		http.StatusServiceUnavailable, "not run: part " + string(v.Part) + " of its prompt has crashed upstreams",
		max(v.Remaining, minPartRetryAfter),
	}
}

// explains reports whether a quarantined part was pending at a process when it crashed.
func (g *partGuard) explains(process burdockid.Process) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Explains(process)
}

// crashed records and publishes a crash at which requests of this entry with the given parts
// were pending.
func (g *partGuard) crashed(c burdockparts.Crash, parts []burdockid.PromptPart) {
	g.mu.Lock()
	g.settleNow()
	counted, starts := g.tracker.Starts(c.Service, parts)
	c.Parts, c.Starts = burdockparts.Rarest(counted, maxReportedParts), starts
	g.unreported += len(parts) - len(c.Parts)
	g.mu.Unlock()
	g.addCrashes([]burdockparts.Crash{c})
	g.news.PublishPartCrash(c)
}

// addCrashes records crashes that this or other entries saw.
func (g *partGuard) addCrashes(all []burdockparts.Crash) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(all) == 0 {
		return
	}
	g.settleNow()
	for _, c := range all {
		g.tracker.AddCrash(g.now(), c)
	}
	g.logDropped()
	g.decide()
	time.AfterFunc(burdockparts.DecideAfter.Duration(), g.decideLater)
	g.scheduleSettle()
}

func (g *partGuard) decideLater() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.decide()
}

// decide quarantines the parts that crash upstreams. The lock must be held.
func (g *partGuard) decide() {
	for _, key := range g.tracker.Decide(g.now()) {
		g.meters.partQuarantines.Inc()
		g.logSuspect("prompt part quarantined", key)
		g.cancelActive(key)
	}
}

// addSounds records parts that other entries found harmless.
func (g *partGuard) addSounds(all []burdockparts.Sound) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, sound := range all {
		if g.tracker.AddSound(g.now(), sound.Key, sound.At) {
			g.logSuspect("prompt part freed", sound.Key)
		}
	}
}

// addTrials records trials of other entries.
func (g *partGuard) addTrials(all []burdockparts.Trial) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, trial := range all {
		g.tracker.AddTrial(g.now(), trial)
	}
}

// free ends the quarantine of a part, and tells the other entries. It reports false if the part
// isn't quarantined.
func (g *partGuard) free(key burdockparts.Key) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	sound := burdockparts.Sound{Key: key, At: g.now(), Freed: true}
	if !g.tracker.Describe(sound.At, key).Quarantined || !g.tracker.AddSound(sound.At, key, sound.At) {
		return false
	}
	g.logSuspect("prompt part freed by an operator", key)
	g.news.PublishPartSound(sound)
	return true
}

// suspects returns the parts that were pending at crashes.
func (g *partGuard) suspects() []burdockparts.Suspect {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Suspects(g.now())
}

// scheduleSettle evaluates the answers that have begun lately, if any part is suspected. The
// lock must be held.
func (g *partGuard) scheduleSettle() {
	if g.settling || !g.tracker.HasSuspects() {
		return
	}
	g.settling = true
	delay := burdockparts.SettleTime + rand.N(maxSettleDelay)
	time.AfterFunc(delay.Duration(), g.settle)
}

func (g *partGuard) settle() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.settling = false
	g.settleNow()
	if g.tracker.HasUnsettled() {
		g.scheduleSettle()
	}
}

// settleNow publishes the parts that have turned out to be harmless. The lock must be held.
func (g *partGuard) settleNow() {
	settled := g.tracker.Settle(g.now())
	told := burdockparts.Weightiest(settled, maxReportedSounds)
	g.unreported += len(settled) - len(told)
	for _, sound := range told {
		if sound.Freed {
			g.logSuspect("prompt part freed", sound.Key)
		}
		g.news.PublishPartSound(sound)
	}
}

// logSuspect writes a line with the evidence on a part. The lock must be held.
func (g *partGuard) logSuspect(message string, key burdockparts.Key) {
	s := g.tracker.Describe(g.now(), key)
	names := make([]string, len(s.Crashed))
	for i, u := range s.Crashed {
		names[i] = string(u)
	}
	g.log.Warn(message, zap.String("service", string(key.Service)), zap.String("part", string(key.Part)),
		zap.Strings("crashed", names), zap.Int64("latestCrashAtMillis", int64(s.LatestCrashAt)),
		zap.Int64("soundAtMillis", int64(s.SoundAt)), zap.Int("trials", s.Trials),
		zap.Int("starts", s.Starts), zap.Int("serviceStarts", s.ServiceStarts), zap.Int64("remainingMillis", int64(s.Remaining)))
}

// processOf returns the process that a record is of.
func processOf(u burdocksite.Upstream) burdockid.Process {
	return burdockid.Process{Upstream: u.ID, StartedAt: u.StartedAt}
}

// AddPartCrashes adds the crashes that other entries reported.
func (e *Entry) AddPartCrashes(all []burdockparts.Crash) { e.parts.addCrashes(all) }

// AddPartSounds adds the parts of prompts that other entries found harmless.
func (e *Entry) AddPartSounds(all []burdockparts.Sound) { e.parts.addSounds(all) }

// AddPartTrials adds the trials of quarantined parts at other entries.
func (e *Entry) AddPartTrials(all []burdockparts.Trial) { e.parts.addTrials(all) }

// SuspectedParts returns the parts of prompts that were pending at upstreams that crashed, for
// operators.
func (e *Entry) SuspectedParts() []burdockparts.Suspect { return e.parts.suspects() }

// FreePart ends the quarantine of a part at all entries. It reports false if the part isn't
// quarantined.
func (e *Entry) FreePart(key burdockparts.Key) bool { return e.parts.free(key) }
