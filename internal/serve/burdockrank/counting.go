package burdockrank

import (
	"context"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockexpert"
	"burdockbend.example/burdockbend/internal/external/burdockengine"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"connectrpc.com/connect"
)

const (
	// countsRetry is the time after a question that failed.
	countsRetry     = burdockclock.Second / 2
	millisPerSecond = 1000
)

// ask asks the next rank for its counts when that is due: at first those that
// have not told, then one after the other.
func (p *planning) ask(state burdockgroup.ControllerState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.asking || p.inTheWay(state) || p.duty.sinceBoot() < p.askAt || !p.duty.member.enter() {
		return
	}
	p.asking = true
	if p.duty.member.deps.Tuning.CountsBytesPerSecond == 0 {
		go round{p}.run()
		return
	}
	go question{p, p.nextRank()}.run()
}

// inTheWay reports whether counts would hold up a change of the map.
//
// Load: counts of a large group, which take longer on the controller's link than a
// round of orders. Harm prevented: the reports of a change wait behind them, round
// for round, and its step is set further ahead, while the map in use no longer fits.
// The counts themselves are of no use until the change is over.
func (p *planning) inTheWay(state burdockgroup.ControllerState) bool {
	resting := state.Phase == burdockgroup.ControllerResting && state.Goal.Map == 0
	return !resting && state.RoundTime > 0 && p.roundTook > state.RoundTime
}

func (p *planning) nextRank() burdockid.Rank {
	ranks := burdockid.Rank(len(p.counts))
	rank := p.askNext % ranks
	for i := range ranks {
		if r := (p.askNext + i) % ranks; p.counts[r].Tokens == nil {
			rank = r
			break
		}
	}
	p.askNext = rank + 1
	return rank
}

// question asks one rank for its counts.
type question struct {
	planning *planning
	rank     burdockid.Rank
}

func (q question) run() {
	m := q.planning.duty.member
	defer m.done.Done()
	ctx, cancel := context.WithTimeout(m.ctx, askTimeout)
	defer cancel()
	counts, size, err := q.ask(ctx)
	q.planning.take(q.rank, counts, size, err)
}

func (q question) ask(ctx context.Context) (burdockengine.GroupCounts, int, error) {
	m := q.planning.duty.member
	if q.rank == m.seat.Rank {
		counts, err := m.deps.Engine.Counts(ctx)
		return counts, 0, err
	}
	client, ok := m.client(q.rank)
	if !ok {
		return burdockengine.GroupCounts{}, 0, ErrNotMember.New("no agent is known for rank %d", q.rank)
	}
	res, err := client.Counts(ctx, connect.NewRequest(&burdockwire.GroupCountsRequest{Group: m.seat.Group, Since: q.planning.heardTelling(q.rank)}))
	if err != nil {
		return burdockengine.GroupCounts{}, 0, err
	}
	counts, err := q.planning.whole(q.rank, res.Msg)
	return counts, m.traffic.counted(res.Msg), err
}

// take adds what a rank's engine counted since it was asked before.
func (p *planning) take(rank burdockid.Rank, counts burdockengine.GroupCounts, size int, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.duty.sinceBoot()
	p.asking = false
	if err != nil || len(counts.Tokens) == 0 || len(counts.Tokens[0]) == 0 {
		p.askAt = now + countsRetry
		return
	}
	p.askAt = now + p.pause(size)
	p.shape(counts)
	before := p.counts[rank]
	p.counts[rank] = counts
	p.noteSpeed(rank, counts.Speed)
	if before.Life != counts.Life || len(before.Tokens) != len(counts.Tokens) {
		return // counts since an engine's start say little of the last minute
	}
	for l := range counts.Tokens {
		p.popularity.Observe(now, burdockid.Layer(l), since(before.Tokens[l], counts.Tokens[l]))
	}
	p.observed[rank] = true
}

// pause is the time until the next question: none while some rank has not told.
func (p *planning) pause(size int) burdockclock.Millis {
	for _, c := range p.counts {
		if c.Tokens == nil {
			return 0
		}
	}
	pace := p.duty.member.deps.Tuning
	return max(pace.CountsInterval, burdockclock.Millis(size)*millisPerSecond/burdockclock.Millis(pace.CountsBytesPerSecond))
}

// shape starts the popularity afresh when the model's shape is another.
func (p *planning) shape(counts burdockengine.GroupCounts) {
	layers, experts := len(counts.Tokens), len(counts.Tokens[0])
	if p.popularity != nil {
		s := p.popularity.Snapshot()
		if len(s.Share) == layers && s.Experts == experts {
			return
		}
	}
	p.popularity = burdockexpert.NewPopularity(layers, experts, p.duty.member.deps.Tuning.HalfLife)
}

func since(before, now []burdockid.Tokens) []burdockid.Tokens {
	delta := make([]burdockid.Tokens, len(now))
	for e := range now {
		delta[e] = now[e]
		if e < len(before) {
			delta[e] = max(0, now[e]-before[e])
		}
	}
	return delta
}
