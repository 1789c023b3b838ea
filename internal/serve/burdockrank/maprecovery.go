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

// recoveryInterval is the minimum time between two attempts to recover the map in use.
const recoveryInterval = burdockclock.Second / 2

// residentExperts asks this agent's engine for the map in use and the experts of it that
// are in its memory.
func (m *member) residentExperts(ctx context.Context) (burdockid.MapVersion, [][]burdockid.Expert, error) {
	reporter, ok := m.deps.Engine.(burdockengine.ResidentExpertsReporter)
	if !ok {
		return 0, nil, errorx.UnsupportedOperation.New("the engine does not tell what it holds")
	}
	return reporter.ResidentExperts(ctx)
}

// recoverMap asks all ranks for their experts when this agent doesn't know the content of
// the map in use.
//
// If all agents of a group are killed at once while the engines run on, the next
// controller knows the version of the map in use but not its content. It could not plan a
// change, and the group would keep that map however the popularity shifts. The engines
// still know which experts they have.
func (p *planning) recoverMap(state burdockgroup.ControllerState) {
	m := p.leadership.member
	version := state.Goal.Base
	if state.Phase != burdockgroup.ControllerResting || version == 0 || state.Goal.Map != 0 || m.content(version) != nil {
		return
	}
	if _, ok := m.deps.Engine.(burdockengine.ResidentExpertsReporter); !ok {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := p.leadership.now(); now >= p.nextRecoveryAt && m.addTask() {
		p.nextRecoveryAt = now + recoveryInterval
		go mapRecovery{p, version}.run()
	}
}

// mapRecovery rebuilds the map in use from the experts of each rank.
type mapRecovery struct {
	planning *planning
	version  burdockid.MapVersion
}

func (r mapRecovery) run() {
	m := r.planning.leadership.member
	defer m.done.Done()
	answers := make([][][]burdockid.Expert, m.assignment.Ranks)
	var pending sync.WaitGroup
	for rank := range burdockid.Rank(m.assignment.Ranks) {
		pending.Add(1)
		go (&expertsQuery{m, rank, r.version, &answers[rank], &pending}).run()
	}
	pending.Wait()
	content, err := assemble(answers)
	if err != nil {
		m.deps.Log.Warn("map in use can't be recovered from the engines", zap.Uint64("map", uint64(r.version)), zap.Error(err))
		return
	}
	m.deps.Log.Info("map in use recovered from the engines", zap.Uint64("map", uint64(r.version)))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.storeContent(burdockgroup.Load{Map: r.version, Content: content})
}

type expertsQuery struct {
	member  *member
	rank    burdockid.Rank
	version burdockid.MapVersion
	answer  *[][]burdockid.Expert
	pending *sync.WaitGroup
}

func (q *expertsQuery) run() {
	defer q.pending.Done()
	ctx, cancel := context.WithTimeout(q.member.ctx, queryTimeout)
	defer cancel()
	version, experts, err := q.fetch(ctx)
	if err == nil && version == q.version {
		*q.answer = experts
	}
}

func (q *expertsQuery) fetch(ctx context.Context) (burdockid.MapVersion, [][]burdockid.Expert, error) {
	if q.rank == q.member.assignment.Rank {
		return q.member.residentExperts(ctx)
	}
	client, ok := q.member.client(q.rank)
	if !ok {
		return 0, nil, ErrNotMember.New("no agent is known for rank %d", q.rank)
	}
	res, err := client.Held(ctx, connect.NewRequest(&burdockwire.GroupHeldRequest{Group: q.member.assignment.Group}))
	if err != nil {
		return 0, nil, err
	}
	version, experts := heldFromWire(res.Msg)
	return version, experts, nil
}

// assemble returns the content of the map in which each rank has the given experts, by
// layer.
func assemble(answers [][][]burdockid.Expert) ([]byte, error) {
	shape := burdockexpert.Shape{Ranks: len(answers)}
	for r, layers := range answers {
		if len(layers) == 0 || r > 0 && len(layers) != len(answers[0]) {
			return nil, ErrMalformed.New("rank %d reported %d layers", r, len(layers))
		}
		shape.Layers = len(layers)
		for _, experts := range layers {
			for _, e := range experts {
				if e < 0 {
					return nil, ErrMalformed.New("rank %d reported invalid expert %d", r, e)
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
