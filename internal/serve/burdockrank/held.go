package burdockrank

import (
	"context"
	"sync"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockexpert"
	"burdockbend.example/burdockbend/internal/external/burdockengine"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"connectrpc.com/connect"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"
)

// heldEvery is the least time between two rounds of questions for what the
// engines hold.
const heldEvery = burdockclock.Second / 2

// held asks the engine beside this agent what it holds.
func (m *member) held(ctx context.Context) (burdockid.MapVersion, [][]burdockid.Expert, error) {
	teller, ok := m.deps.Engine.(burdockengine.HeldTeller)
	if !ok {
		return 0, nil, errorx.UnsupportedOperation.New("the engine does not tell what it holds")
	}
	return teller.Held(ctx)
}

// recover asks all ranks what they hold when no agent knows the content of the
// map in use.
//
// Failure: all agents of a group are killed at once, while the engines run on.
// Symptom: the next controller knows the version of the map in use and not what
// is in it, so that it can't plan a change and the group keeps that map for
// good, however the popularity turns. The engines themselves still know.
func (p *planning) recover(state burdockgroup.ControllerState) {
	m := p.duty.member
	version := state.Goal.Base
	if state.Phase != burdockgroup.ControllerResting || version == 0 || state.Goal.Map != 0 || m.content(version) != nil {
		return
	}
	if _, ok := m.deps.Engine.(burdockengine.HeldTeller); !ok {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := p.duty.sinceBoot(); now >= p.heldAt && m.enter() {
		p.heldAt = now + heldEvery
		go heldRound{p, version}.run()
	}
}

// heldRound puts the map in use together from what the ranks hold.
type heldRound struct {
	planning *planning
	version  burdockid.MapVersion
}

func (r heldRound) run() {
	m := r.planning.duty.member
	defer m.done.Done()
	answers := make([][][]burdockid.Expert, m.seat.Ranks)
	var asked sync.WaitGroup
	for rank := range burdockid.Rank(m.seat.Ranks) {
		asked.Add(1)
		go (&heldQuestion{m, rank, r.version, &answers[rank], &asked}).run()
	}
	asked.Wait()
	content, err := assemble(answers)
	if err != nil {
		m.deps.Log.Warn("the map in use is not known", zap.Uint64("map", uint64(r.version)), zap.Error(err))
		return
	}
	m.deps.Log.Info("map in use learned from the engines", zap.Uint64("map", uint64(r.version)))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.remember(burdockgroup.Load{Map: r.version, Content: content})
}

type heldQuestion struct {
	member  *member
	rank    burdockid.Rank
	version burdockid.MapVersion
	answer  *[][]burdockid.Expert
	asked   *sync.WaitGroup
}

func (q *heldQuestion) run() {
	defer q.asked.Done()
	ctx, cancel := context.WithTimeout(q.member.ctx, askTimeout)
	defer cancel()
	version, experts, err := q.ask(ctx)
	if err == nil && version == q.version {
		*q.answer = experts
	}
}

func (q *heldQuestion) ask(ctx context.Context) (burdockid.MapVersion, [][]burdockid.Expert, error) {
	if q.rank == q.member.seat.Rank {
		return q.member.held(ctx)
	}
	client, ok := q.member.client(q.rank)
	if !ok {
		return 0, nil, ErrNotMember.New("no agent is known for rank %d", q.rank)
	}
	res, err := client.Held(ctx, connect.NewRequest(&burdockwire.GroupHeldRequest{Group: q.member.seat.Group}))
	if err != nil {
		return 0, nil, err
	}
	version, experts := heldFromWire(res.Msg)
	return version, experts, nil
}

// assemble returns the content of the map of which each rank holds its part.
func assemble(answers [][][]burdockid.Expert) ([]byte, error) {
	shape := burdockexpert.Shape{Ranks: len(answers)}
	for r, layers := range answers {
		if len(layers) == 0 || r > 0 && len(layers) != len(answers[0]) {
			return nil, ErrMalformed.New("rank %d told of %d layers", r, len(layers))
		}
		shape.Layers = len(layers)
		for _, experts := range layers {
			for _, e := range experts {
				if e < 0 {
					return nil, ErrMalformed.New("rank %d told of expert %d", r, e)
				}
				shape.Experts = max(shape.Experts, int(e)+1)
			}
		}
	}
	m := burdockexpert.NewMap(shape)
	for r, layers := range answers {
		for l, experts := range layers {
			for _, e := range experts {
				m.Add(burdockid.Layer(l), burdockid.Rank(r), e)
			}
		}
	}
	return m.Encode()
}
