package burdockdirect

import (
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockspeed"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
	"go.uber.org/zap"
)

// leastRequests stands for the requests at each engine while none run.
const leastRequests = 1

// setSpeeds takes up which engines are slow, by address.
func (p *pool) setSpeeds(speeds map[string]burdockspeed.Speed) {
	requests := p.gate.requests()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.speeds = speeds
	p.weighSpeeds(requests)
}

// weighSpeeds sets what each engine should get by its speed against the others',
// if requests run at each. The lock must be held.
func (p *pool) weighSpeeds(requests float64) {
	before := p.bySpeed
	p.bySpeed = speedWeights(engineOf(p.entry.deps.Site.Now(), p.service), p.members, p.speeds, requests)
	for u := range p.members {
		if was, is := weightOf(before, u), weightOf(p.bySpeed, u); was != is {
			p.weigh(u)
			if is < was {
				p.moves.leave(u)
			}
			p.entry.deps.Log.Info("upstream weighted", zap.String("upstream", string(u)), zap.String("service", string(p.service)),
				zap.String("cause", "speed"), zap.Float64("weight", is))
		}
	}
}

// weigh hands the placer an upstream's weight. The lock must be held.
func (p *pool) weigh(u burdockid.Upstream) { p.placer.SetWeight(u, p.weightNow(u)) }

// weightNow returns an upstream's part of the usual work, by its health and its
// speed.
func (p *pool) weightNow(u burdockid.Upstream) float64 {
	return p.tracker.Weight(u) * weightOf(p.bySpeed, u)
}

// weightOf returns an upstream's weight; 1 for one that is not slow.
func weightOf(weights map[burdockid.Upstream]float64, u burdockid.Upstream) float64 {
	if weight, slow := weights[u]; slow {
		return weight
	}
	return 1
}

// speedWeights returns the weights of the slow ones among a service's engines.
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
	work := burdockspeed.StepCost{
		BaseStepMillis: engine.StepMillis, StepMillisPerRequest: sequenceMillis(engine), ExpertShare: engine.ExpertShare,
		TypicalRequests: max(requests, leastRequests),
	}
	weights := map[burdockid.Upstream]float64{}
	for i, speed := range burdockspeed.RelativeToMedian(known) {
		if burdockspeed.IsSlow(speed) {
			weights[names[i]] = work.Weight(speed)
		}
	}
	return weights
}
