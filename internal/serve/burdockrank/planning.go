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

// leastWeight stands for a weight of 0, which a profile may give to one of the two
// costs and which the planner can't divide by.
const leastWeight = 1e-9

// planning gathers the popularity of experts while the agent holds the group's
// lease, and decides which map the group shall use.
type planning struct {
	duty *duty

	mu         sync.Mutex
	planner    *burdockexpert.Planner
	popularity *burdockexpert.Popularity
	counts     []burdockengine.GroupCounts // by rank; without tokens until heard
	tellings   []uint64                    // by rank: the number of its latest telling; 0 for none
	observed   []bool                      // by rank: counted in the popularity
	speeds     speeds                      // by rank
	newSpeed   bool                        // a speed has changed since the planner was asked
	asking     bool
	roundTook  burdockclock.Millis // by the latest round of counts
	askAt      burdockclock.Millis
	askNext    burdockid.Rank
	heldAt     burdockclock.Millis  // when the engines may be asked again what they hold
	needFirst  bool                 // the group has no map
	needOld    burdockid.MapVersion // the controller lacks this map's content
	wishedAt   burdockclock.Millis  // when a map was wanted; 0 once it is in force
	changedAt  burdockclock.Millis  // when the map in use came into force
}

func newPlanning(d *duty) *planning {
	p := &planning{duty: d, planner: burdockexpert.New(burdockexpert.Config{})}
	p.clear()
	return p
}

// clear forgets what was counted. The lock must be held, if it is shared yet.
func (p *planning) clear() {
	ranks := p.duty.member.seat.Ranks
	p.popularity = nil
	p.counts = make([]burdockengine.GroupCounts, ranks)
	p.tellings = make([]uint64, ranks)
	p.observed = make([]bool, ranks)
	p.speeds, p.newSpeed = newSpeeds(ranks), false
	p.needFirst, p.needOld, p.wishedAt = false, 0, 0
}

// reset forgets what was counted under a lease that is over.
func (p *planning) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clear()
}

// refused notes that a wanted map was given up.
func (p *planning) refused() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wishedAt = 0
}

// need notes which map the controller asks for; 0 stands for any.
func (p *planning) need(v burdockid.MapVersion) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.needFirst = p.needFirst || v == 0
	if v != 0 {
		p.needOld = v
	}
}

// heardSpeed takes in how fast a rank's engine is, 0 if its agent doesn't know.
func (p *planning) heardSpeed(rank burdockid.Rank, told burdockspeed.Speed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noteSpeed(rank, told)
}

// noteSpeed is heardSpeed with the lock held.
func (p *planning) noteSpeed(rank burdockid.Rank, told burdockspeed.Speed) {
	if p.speeds.heard(rank, told) {
		p.newSpeed = true
		p.duty.member.deps.Log.Info("a rank's speed has changed", zap.Int("rank", int(rank)), zap.Stringer("speed", p.speeds[rank]))
	}
}

// inForce notes the end of a change.
func (p *planning) inForce(burdockid.MapVersion) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wishedAt, p.needFirst = 0, false
	p.changedAt = p.duty.sinceBoot()
}

// advance asks for counts and plans when that is due. The duty's lock must not
// be held.
func (p *planning) advance() {
	state := p.duty.state()
	if state.Phase == burdockgroup.ControllerIdle {
		return
	}
	p.answerNeed()
	p.recover(state)
	p.ask(state)
	if wanted := p.decide(state); wanted != nil {
		p.duty.handle(burdockgroup.MapWanted{Content: wanted})
	}
}

// answerNeed gives the controller the content of a map that this agent was
// given earlier.
func (p *planning) answerNeed() {
	p.mu.Lock()
	v := p.needOld
	p.needOld = 0
	p.mu.Unlock()
	if v == 0 {
		return
	}
	if content := p.duty.member.content(v); content != nil {
		p.duty.handle(burdockgroup.MapFound{Map: v, Content: content})
	}
}

// decide returns the content of the map that the group shall use next, or nil
// if it shall stay with what it has.
func (p *planning) decide(state burdockgroup.ControllerState) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.duty.sinceBoot()
	experts := p.duty.member.experts()
	if state.Phase != burdockgroup.ControllerResting || p.popularity == nil || !p.occasion(now, experts).plan() {
		return nil
	}
	in := p.input(state, experts)
	if in.Current == nil && !p.needFirst {
		return nil // a map is in use whose content has not come yet
	}
	move, ok := p.planner.Plan(now, in).(burdockexpert.Move)
	p.observed, p.newSpeed = make([]bool, len(p.observed)), false
	if !ok {
		return nil
	}
	content, err := move.Map.Encode()
	if err != nil {
		p.duty.member.deps.Log.Error("the planned map can't be encoded", zap.Error(err))
		return nil
	}
	p.wishedAt, p.needFirst = now, false
	p.duty.member.deps.Log.Info("another map is wanted", zap.String("group", p.duty.member.seat.Group),
		zap.String("reason", string(move.Reason)), zap.Int("moves", len(move.Loads)), zap.Int("bytes", len(content)),
		zap.Float64("imbalance", p.planner.LastDecision().ImbalanceBefore), zap.Float64("expected", p.planner.LastDecision().ImbalanceAfter))
	return content
}

// occasion gathers what says whether the planner is to be asked now.
func (p *planning) occasion(now burdockclock.Millis, experts burdockprofile.Experts) occasion {
	o := occasion{
		now: now, wishedAt: p.wishedAt, changedAt: p.changedAt, gap: p.gap(experts),
		first: p.needFirst, turning: p.turning(), news: p.newSpeed,
	}
	for _, rank := range p.asked() {
		o.unheard = o.unheard || p.counts[rank].Tokens == nil
	}
	for _, observed := range p.observed {
		o.news = o.news || observed
	}
	return o
}

// turning reports whether the newest counts don't tell yet what the popularity is.
func (p *planning) turning() bool {
	if p.duty.member.deps.Tuning.PlanOnUnconfirmedShift {
		return p.popularity.ShiftMixed()
	}
	return p.popularity.ShiftPending()
}

// known returns the popularity to plan on.
func (p *planning) known() burdockexpert.Snapshot {
	if p.duty.member.deps.Tuning.PlanOnUnconfirmedShift {
		return p.popularity.ProvisionalSnapshot()
	}
	return p.popularity.Snapshot()
}

// asked returns the ranks whose counts are to be known before a first decision.
func (p *planning) asked() []burdockid.Rank {
	if p.duty.member.deps.Tuning.CountsBytesPerSecond == 0 {
		return nil // those that answered are a sample
	}
	all := make([]burdockid.Rank, len(p.counts))
	for r := range all {
		all[r] = burdockid.Rank(r)
	}
	return all
}

// gap is the least time between two changes.
func (p *planning) gap(experts burdockprofile.Experts) burdockclock.Millis {
	if gap := p.duty.member.deps.Tuning.MinChangeInterval; gap > 0 {
		return gap
	}
	return experts.HoldMillis
}

func (p *planning) input(state burdockgroup.ControllerState, experts burdockprofile.Experts) burdockexpert.Input {
	in := burdockexpert.Input{
		Popularity: p.known(),
		Weights:    burdockexpert.Weights{Skew: max(experts.SkewWeight, leastWeight), Cost: max(experts.CostWeight, leastWeight)},
		Horizon:    experts.HoldMillis,
	}
	known := burdockengine.GroupCounts{}
	for _, c := range p.counts {
		if c.Tokens != nil {
			known = c
		}
	}
	in.ExpertBytes, in.StoreRate = known.ExpertBytes, known.StoreRate
	most := 0
	if loads := p.duty.member.deps.Tuning.MaxRankLoads; loads != nil {
		most = loads(len(in.Popularity.Share))
	}
	for r, c := range p.counts {
		if c.Tokens == nil {
			c = known // engines of one group are of one kind
		}
		in.Ranks = append(in.Ranks, burdockexpert.Rank{
			Slots: c.Slots, MaxLayerLoads: known.MaxLoads, MaxTotalLoads: most,
			Speed: float64(p.speeds[r]),
			Empty: r < len(state.Ranks) && state.Ranks[r].Engine.Base == 0,
		})
	}
	if state.Goal.Base != 0 && !p.needFirst {
		in.Current = p.present(state.Goal)
	}
	return in
}

// present returns the map in use, if this agent was given it.
func (p *planning) present(goal burdockgroup.Goal) *burdockexpert.Map {
	base := goal.Base
	if goal.Map != 0 {
		base = goal.Map
	}
	content := p.duty.member.content(base)
	if content == nil {
		return nil
	}
	m, err := burdockexpert.Decode(content)
	if err != nil {
		p.duty.member.deps.Log.Error("the map in use can't be decoded", zap.Uint64("map", uint64(base)), zap.Error(err))
		return nil
	}
	return m
}

// experts returns the exchange rate of the profile that the group runs under.
func (m *member) experts() burdockprofile.Experts { return m.deps.Directory.Experts() }
