package burdockrank

import (
	"sync"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/config/burdockprofile"
	"burdockbend.example/burdockbend/internal/decide/burdockexpert"
	"burdockbend.example/burdockbend/internal/decide/burdockspeed"
	"burdockbend.example/burdockbend/internal/external/burdockengine"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
	"go.uber.org/zap"
)

// minWeight replaces a weight of 0, which a profile may give to one of the two costs and
// which the planner can't divide by.
const minWeight = 1e-9

// planning collects the popularity of experts while the agent holds the group's lease,
// and decides which map the group is to use.
type planning struct {
	leadership *leadership

	mu               sync.Mutex
	planner          *burdockexpert.Planner
	popularity       *burdockexpert.Popularity
	counts           []burdockengine.GroupCounts // by rank; without tokens until the rank reported
	reportIDs        []uint64                    // by rank: the ID of its latest report of counts; 0 for none
	observed         []bool                      // by rank: counted since the planner was last asked
	speeds           speeds                      // by rank
	newSpeed         bool                        // a speed has changed since the planner was last asked
	querying         bool
	roundDuration    burdockclock.Millis // of the latest round of counts
	nextQueryAt      burdockclock.Millis
	nextQueryRank    burdockid.Rank
	nextRecoveryAt   burdockclock.Millis  // when a map recovery may start again
	needInitialMap   bool                 // the group has no map
	requestedContent burdockid.MapVersion // map whose content the controller asked for; 0 for none
	wantedAt         burdockclock.Millis  // when the pending map was wanted; 0 if none is pending
	changedAt        burdockclock.Millis  // when the map in use came into force
}

func newPlanning(l *leadership) *planning {
	p := &planning{leadership: l, planner: burdockexpert.New(burdockexpert.Config{})}
	p.clear()
	return p
}

// clear drops all counts and speeds. The lock must be held unless the value isn't
// shared yet.
func (p *planning) clear() {
	ranks := p.leadership.member.assignment.Ranks
	p.popularity = nil
	p.counts = make([]burdockengine.GroupCounts, ranks)
	p.reportIDs = make([]uint64, ranks)
	p.observed = make([]bool, ranks)
	p.speeds, p.newSpeed = newSpeeds(ranks), false
	p.needInitialMap, p.requestedContent, p.wantedAt = false, 0, 0
}

// reset drops what was collected under a lease that has ended.
func (p *planning) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clear()
}

// loadFailed records that a wanted map was given up because a rank could not load it.
func (p *planning) loadFailed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wantedAt = 0
}

// requestMap records which map the controller asks for; 0 stands for any map.
func (p *planning) requestMap(v burdockid.MapVersion) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.needInitialMap = p.needInitialMap || v == 0
	if v != 0 {
		p.requestedContent = v
	}
}

// updateSpeed records the speed of a rank's engine; 0 means that its agent doesn't know
// it.
func (p *planning) updateSpeed(rank burdockid.Rank, reported burdockspeed.Speed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateSpeedLocked(rank, reported)
}

// updateSpeedLocked is updateSpeed with the lock held.
func (p *planning) updateSpeedLocked(rank burdockid.Rank, reported burdockspeed.Speed) {
	if p.speeds.update(rank, reported) {
		p.newSpeed = true
		p.leadership.member.deps.Log.Info("a rank's speed has changed", zap.Int("rank", int(rank)), zap.Stringer("speed", p.speeds[rank]))
	}
}

// inForce records that a wanted map came into force.
func (p *planning) inForce(burdockid.MapVersion) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wantedAt, p.needInitialMap = 0, false
	p.changedAt = p.leadership.now()
}

// tick requests counts and plans a map when these are due. The lock of leadership must
// not be held.
func (p *planning) tick() {
	state := p.leadership.state()
	if state.Phase == burdockgroup.ControllerIdle {
		return
	}
	p.provideContent()
	p.recoverMap(state)
	p.queryCounts(state)
	if wanted := p.decide(state); wanted != nil {
		p.leadership.handle(burdockgroup.MapWanted{Content: wanted})
	}
}

// provideContent gives the controller the content of a map that it asked for, if this
// agent stores it.
func (p *planning) provideContent() {
	p.mu.Lock()
	v := p.requestedContent
	p.requestedContent = 0
	p.mu.Unlock()
	if v == 0 {
		return
	}
	if content := p.leadership.member.content(v); content != nil {
		p.leadership.handle(burdockgroup.MapFound{Map: v, Content: content})
	}
}

// decide returns the content of the map that the group is to use next, or nil if it keeps
// the current one.
func (p *planning) decide(state burdockgroup.ControllerState) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.leadership.now()
	experts := p.leadership.member.expertSettings()
	if state.Phase != burdockgroup.ControllerResting || p.popularity == nil || !p.planTrigger(now, experts).due() {
		return nil
	}
	in := p.input(state, experts)
	if in.Current == nil && !p.needInitialMap {
		return nil // the content of the map in use is not known yet
	}
	move, ok := p.planner.Plan(now, in).(burdockexpert.Move)
	p.observed, p.newSpeed = make([]bool, len(p.observed)), false
	if !ok {
		return nil
	}
	content, err := move.Map.Encode()
	if err != nil {
		p.leadership.member.deps.Log.Error("the planned map can't be encoded", zap.Error(err))
		return nil
	}
	p.wantedAt, p.needInitialMap = now, false
	p.leadership.member.deps.Log.Info("another map is wanted", zap.String("group", p.leadership.member.assignment.Group),
		zap.String("reason", string(move.Reason)), zap.Int("moves", len(move.Loads)), zap.Int("bytes", len(content)),
		zap.Float64("imbalance", p.planner.LastDecision().ImbalanceBefore), zap.Float64("expected", p.planner.LastDecision().ImbalanceAfter))
	return content
}

// planTrigger returns the conditions for asking the planner now.
func (p *planning) planTrigger(now burdockclock.Millis, experts burdockprofile.Experts) planTrigger {
	t := planTrigger{
		now: now, wantedAt: p.wantedAt, changedAt: p.changedAt, minChangeInterval: p.minChangeInterval(experts),
		noMap: p.needInitialMap, shiftUnsettled: p.shiftUnsettled(), newInput: p.newSpeed,
	}
	for _, rank := range p.requiredRanks() {
		t.countsMissing = t.countsMissing || p.counts[rank].Tokens == nil
	}
	for _, observed := range p.observed {
		t.newInput = t.newInput || observed
	}
	return t
}

// shiftUnsettled reports whether the newest counts show a shift that is not clear enough
// yet to plan on.
func (p *planning) shiftUnsettled() bool {
	if p.leadership.member.deps.Tuning.PlanOnUnconfirmedShift {
		return p.popularity.ShiftMixed()
	}
	return p.popularity.ShiftPending()
}

// currentPopularity returns the popularity to plan on.
func (p *planning) currentPopularity() burdockexpert.Snapshot {
	if p.leadership.member.deps.Tuning.PlanOnUnconfirmedShift {
		return p.popularity.ProvisionalSnapshot()
	}
	return p.popularity.Snapshot()
}

// requiredRanks returns the ranks whose counts must be known before the first decision.
func (p *planning) requiredRanks() []burdockid.Rank {
	if p.leadership.member.deps.Tuning.CountsBytesPerSecond == 0 {
		return nil // the ranks that answered are a sample
	}
	all := make([]burdockid.Rank, len(p.counts))
	for r := range all {
		all[r] = burdockid.Rank(r)
	}
	return all
}

// minChangeInterval is the minimum time between two map changes.
func (p *planning) minChangeInterval(experts burdockprofile.Experts) burdockclock.Millis {
	if interval := p.leadership.member.deps.Tuning.MinChangeInterval; interval > 0 {
		return interval
	}
	return experts.HoldMillis
}

func (p *planning) input(state burdockgroup.ControllerState, experts burdockprofile.Experts) burdockexpert.Input {
	in := burdockexpert.Input{
		Popularity: p.currentPopularity(),
		Weights:    burdockexpert.Weights{Skew: max(experts.SkewWeight, minWeight), Cost: max(experts.CostWeight, minWeight)},
		Horizon:    experts.HoldMillis,
	}
	reference := burdockengine.GroupCounts{}
	for _, c := range p.counts {
		if c.Tokens != nil {
			reference = c
		}
	}
	in.ExpertBytes, in.StoreRate = reference.ExpertBytes, reference.StoreRate
	maxTotalLoads := 0
	if maxLoads := p.leadership.member.deps.Tuning.MaxRankLoads; maxLoads != nil {
		maxTotalLoads = maxLoads(len(in.Popularity.Share))
	}
	for r, c := range p.counts {
		if c.Tokens == nil {
			c = reference // all engines of a group have the same configuration
		}
		in.Ranks = append(in.Ranks, burdockexpert.Rank{
			Slots: c.Slots, MaxLayerLoads: reference.MaxLoads, MaxTotalLoads: maxTotalLoads,
			Speed: float64(p.speeds[r]),
			Empty: r < len(state.Ranks) && state.Ranks[r].Engine.Base == 0,
		})
	}
	if state.Goal.Base != 0 && !p.needInitialMap {
		in.Current = p.currentMap(state.Goal)
	}
	return in
}

// currentMap returns the map in use, or nil if this agent doesn't know its content.
func (p *planning) currentMap(goal burdockgroup.Goal) *burdockexpert.Map {
	base := goal.Base
	if goal.Map != 0 {
		base = goal.Map
	}
	content := p.leadership.member.content(base)
	if content == nil {
		return nil
	}
	m, err := burdockexpert.Decode(content)
	if err != nil {
		p.leadership.member.deps.Log.Error("the map in use can't be decoded", zap.Uint64("map", uint64(base)), zap.Error(err))
		return nil
	}
	return m
}

// expertSettings returns the expert settings of the profile that the group runs with.
func (m *member) expertSettings() burdockprofile.Experts { return m.deps.Directory.Experts() }
