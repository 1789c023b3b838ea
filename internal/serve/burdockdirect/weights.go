package burdockdirect

import (
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockspeed"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
	"go.uber.org/zap"
)

// minRequests is the assumed number of requests at each engine while none run.
const minRequests = 1

// setSpeeds replaces the speeds of the engines that are slow, by address.
func (p *pool) setSpeeds(speeds map[string]burdockspeed.Speed) {
	requests := p.gate.requestsPerEngine()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.speeds = speeds
	p.updateSpeedWeights(requests)
}

// updateSpeedWeights sets each engine's weight by its speed relative to the others, given
// the mean number of requests at each. The lock must be held.
func (p *pool) updateSpeedWeights(requests float64) {
	before := p.weightBySpeed
	p.weightBySpeed = speedWeights(engineOf(p.entry.deps.Site.Now(), p.service), p.members, p.speeds, requests)
	for u := range p.members {
		if oldWeight, newWeight := weightOf(before, u), weightOf(p.weightBySpeed, u); oldWeight != newWeight {
			p.updateWeight(u)
			if newWeight < oldWeight {
				p.migrations.migrate(u)
			}
			p.entry.deps.Log.Info("upstream weighted", zap.String("upstream", string(u)), zap.String("service", string(p.service)),
				zap.String("cause", "speed"), zap.Float64("weight", newWeight))
		}
	}
}

// updateWeight passes an upstream's weight to the placer. The lock must be held.
func (p *pool) updateWeight(u burdockid.Upstream) { p.placer.SetWeight(u, p.effectiveWeight(u)) }

// effectiveWeight returns an upstream's share of its normal load, by its health and its
// speed.
func (p *pool) effectiveWeight(u burdockid.Upstream) float64 {
	return p.tracker.Weight(u) * weightOf(p.weightBySpeed, u)
}

// weightOf returns an upstream's weight; 1 for one that is not slow.
func weightOf(weights map[burdockid.Upstream]float64, u burdockid.Upstream) float64 {
	if weight, slow := weights[u]; slow {
		return weight
	}
	return 1
}

// speedWeights returns the weights of those engines of a service that are slow.
func speedWeights(engine *burdocksite.Engine, members map[burdockid.Upstream]burdocksite.Upstream, speeds map[string]burdockspeed.Speed, requests float64) map[burdockid.Upstream]float64 {
	if engine == nil || len(speeds) == 0 {
		return nil
	}
	var names []burdockid.Upstream
	var known []burdockspeed.Speed
	for name, u := range members {
		speed, slow := speeds[u.Address]
		if !slow {
			speed = burdockspeed.Baseline
		}
		names = append(names, name)
		known = append(known, speed)
	}
	cost := burdockspeed.StepCost{
		BaseStepMillis: engine.BaseStepMillis, StepMillisPerRequest: stepMillisPerRequest(engine), ExpertShare: engine.ExpertShare,
		TypicalRequests: max(requests, minRequests),
	}
	weights := map[burdockid.Upstream]float64{}
	for i, speed := range burdockspeed.RelativeToMedian(known) {
		if burdockspeed.IsSlow(speed) {
			weights[names[i]] = cost.Weight(speed)
		}
	}
	return weights
}
