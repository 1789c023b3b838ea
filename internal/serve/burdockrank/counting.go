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
	// countsRetry is the pause after a failed request for counts.
	countsRetry     = burdockclock.Second / 2
	millisPerSecond = 1000
)

// queryCounts requests the next rank's counts when that is due: first from ranks whose
// counts aren't known, then from one after the other.
func (p *planning) queryCounts(state burdockgroup.ControllerState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.querying || p.countsDelayChange(state) || p.leadership.now() < p.nextQueryAt || !p.leadership.member.addTask() {
		return
	}
	p.querying = true
	if p.leadership.member.deps.Tuning.CountsBytesPerSecond == 0 {
		go countsRound{p}.run()
		return
	}
	go countsQuery{p, p.nextRank()}.run()
}

// countsDelayChange reports whether a request for counts would delay a map change.
//
// In a large group, counts take longer on the controller's link than a round of orders.
// The reports of a change would wait behind them in every round, so its step would have
// to be set further ahead while the map in use no longer fits. The counts themselves are
// of no use until the change is over.
func (p *planning) countsDelayChange(state burdockgroup.ControllerState) bool {
	resting := state.Phase == burdockgroup.ControllerResting && state.Goal.Map == 0
	return !resting && state.RoundTime > 0 && p.roundDuration > state.RoundTime
}

func (p *planning) nextRank() burdockid.Rank {
	ranks := burdockid.Rank(len(p.counts))
	rank := p.nextQueryRank % ranks
	for i := range ranks {
		if r := (p.nextQueryRank + i) % ranks; p.counts[r].Tokens == nil {
			rank = r
			break
		}
	}
	p.nextQueryRank = rank + 1
	return rank
}

// countsQuery requests the counts of one rank.
type countsQuery struct {
	planning *planning
	rank     burdockid.Rank
}

func (q countsQuery) run() {
	m := q.planning.leadership.member
	defer m.done.Done()
	ctx, cancel := context.WithTimeout(m.ctx, queryTimeout)
	defer cancel()
	counts, size, err := q.fetch(ctx)
	q.planning.addCounts(q.rank, counts, size, err)
}

func (q countsQuery) fetch(ctx context.Context) (burdockengine.GroupCounts, int, error) {
	m := q.planning.leadership.member
	if q.rank == m.assignment.Rank {
		counts, err := m.deps.Engine.Counts(ctx)
		return counts, 0, err
	}
	client, ok := m.client(q.rank)
	if !ok {
		return burdockengine.GroupCounts{}, 0, ErrNotMember.New("no agent is known for rank %d", q.rank)
	}
	res, err := client.Counts(ctx, connect.NewRequest(&burdockwire.GroupCountsRequest{Group: m.assignment.Group, Since: q.planning.lastReportID(q.rank)}))
	if err != nil {
		return burdockengine.GroupCounts{}, 0, err
	}
	counts, err := q.planning.fullCounts(q.rank, res.Msg)
	return counts, m.traffic.counted(res.Msg), err
}

// addCounts adds to the popularity what a rank's engine counted since it was last asked.
func (p *planning) addCounts(rank burdockid.Rank, counts burdockengine.GroupCounts, size int, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.leadership.now()
	p.querying = false
	if err != nil || len(counts.Tokens) == 0 || len(counts.Tokens[0]) == 0 {
		p.nextQueryAt = now + countsRetry
		return
	}
	p.nextQueryAt = now + p.queryDelay(size)
	p.resetOnNewShape(counts)
	before := p.counts[rank]
	p.counts[rank] = counts
	p.updateSpeedLocked(rank, counts.Speed)
	if before.Incarnation != counts.Incarnation || len(before.Tokens) != len(counts.Tokens) {
		return // counts since an engine's start say little about the last minute
	}
	for l := range counts.Tokens {
		p.popularity.Observe(now, burdockid.Layer(l), tokensSince(before.Tokens[l], counts.Tokens[l]))
	}
	p.observed[rank] = true
}

// queryDelay is the time until the next request: 0 while the counts of some rank aren't
// known.
func (p *planning) queryDelay(size int) burdockclock.Millis {
	for _, c := range p.counts {
		if c.Tokens == nil {
			return 0
		}
	}
	tuning := p.leadership.member.deps.Tuning
	return max(tuning.CountsInterval, burdockclock.Millis(size)*millisPerSecond/burdockclock.Millis(tuning.CountsBytesPerSecond))
}

// resetOnNewShape starts a new popularity estimate if the number of layers or experts has
// changed.
func (p *planning) resetOnNewShape(counts burdockengine.GroupCounts) {
	layers, experts := len(counts.Tokens), len(counts.Tokens[0])
	if p.popularity != nil {
		s := p.popularity.Snapshot()
		if len(s.Share) == layers && s.Experts == experts {
			return
		}
	}
	p.popularity = burdockexpert.NewPopularity(layers, experts, p.leadership.member.deps.Tuning.HalfLife)
}

func tokensSince(before, now []burdockid.Tokens) []burdockid.Tokens {
	delta := make([]burdockid.Tokens, len(now))
	for e := range now {
		delta[e] = now[e]
		if e < len(before) {
			delta[e] = max(0, now[e]-before[e])
		}
	}
	return delta
}
