package burdockrank

import (
	"math"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/config/burdockprofile"
	"burdockbend.example/burdockbend/internal/decide/burdockexpert"
	"burdockbend.example/burdockbend/internal/decide/burdockspeed"
	"burdockbend.example/burdockbend/internal/external/burdockengine"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
	"go.uber.org/zap"
)

func TestSpeedUpdates(t *testing.T) {
	for _, c := range []struct {
		name    string
		speed   burdockspeed.Speed
		want    burdockspeed.Speed
		changed bool
	}{
		{"not reported", 0, 1, false},
		{"usual", 1, 1, false},
		{"a little slower", 0.97, 1, false},
		{"slow", 0.25, 0.25, true},
		{"impossible", -2, 1, false},
		{"absurd", 1e-9, 1, false},
		{"no number", burdockspeed.Speed(math.NaN()), 1, false},
	} {
		s := newSpeeds(2)
		if got := s.update(1, c.speed); got != c.changed || s[1] != c.want || s[0] != 1 {
			t.Errorf("%s: got changed %t and speeds %v, want %t and [1 %v]", c.name, got, s, c.changed, c.want)
		}
	}
	if newSpeeds(2).update(7, 0.5) {
		t.Error("rank outside the group: got a change")
	}
}

// One of eight engines turns 2.8 times as slow. Every step waits for its experts, so that
// the pauses in streams are twice as long. The planner learns the speed, and the next map
// gives the rank a matching load.
func TestPlannerRelievesASlowRank(t *testing.T) {
	const ranks, experts, slots = 8, 16, 4
	m := &member{assignment: Assignment{Group: "g", Ranks: ranks}, deps: Deps{Log: zap.NewNop()}}
	p := newPlanning(&leadership{member: m})
	tokens := make([]burdockid.Tokens, experts)
	for e := range tokens {
		tokens[e] = 10_000
	}
	p.resetOnNewShape(burdockengine.GroupCounts{Tokens: [][]burdockid.Tokens{tokens}})
	for at := range 6 {
		p.popularity.Observe(1000*burdockclock.Millis(at), 0, tokens)
	}
	for r := range p.counts {
		p.counts[r] = burdockengine.GroupCounts{Tokens: [][]burdockid.Tokens{tokens}, Slots: slots, ExpertBytes: 1, StoreRate: 1000}
	}
	p.updateSpeed(3, 1/2.8)
	if !p.newSpeed {
		t.Fatal("a rank that turned slow does not trigger the planner")
	}
	in := p.input(burdockgroup.ControllerState{}, burdockprofile.Experts{SkewWeight: 1, CostWeight: 0.1, HoldMillis: 60_000})
	current := burdockexpert.NewMap(burdockexpert.Shape{Layers: 1, Ranks: ranks, Experts: experts})
	for e := range experts {
		current.Add(0, burdockid.Rank(e%ranks), burdockid.Expert(e))
	}
	in.Current = current
	move, ok := burdockexpert.New(burdockexpert.Config{}).Plan(10_000, in).(burdockexpert.Move)
	if !ok {
		t.Fatal("no other map is wanted")
	}
	before, after := burdockexpert.Imbalance(current, in.Popularity, in.Ranks)[0], burdockexpert.Imbalance(move.Map, in.Popularity, in.Ranks)[0]
	if before < 2 || after > 1.2 {
		t.Errorf("imbalance weighted by speed: got %.2f after %.2f, want at most 1.2 after 2 or more", after, before)
	}
}
