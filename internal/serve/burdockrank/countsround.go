package burdockrank

import (
	"context"
	"sync"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/external/burdockengine"
	"go.uber.org/zap"
)

// countsRound asks a sample of the ranks for their counts at the same time.
//
// It is for popularity that shifts within seconds. If the ranks were asked one after
// another, their counts would cover different time windows, and a shift would be seen
// only once most ranks had been asked again. What all ranks counted between two rounds is
// one window, which has the least noise.
type countsRound struct{ planning *planning }

func (r countsRound) run() {
	p := r.planning
	m := p.leadership.member
	defer m.done.Done()
	answers := make([]burdockengine.GroupCounts, m.assignment.Ranks)
	var pending sync.WaitGroup
	for _, rank := range p.sample() {
		pending.Add(1)
		go (&roundQuery{countsQuery{p, rank}, &answers[rank], &pending}).run()
	}
	start := p.leadership.now()
	pending.Wait()
	p.addRound(answers, start)
}

// roundPauseRatio is the minimum pause after a round as a fraction of the round's
// duration: the controller's link and CPU are not for counts alone.
const roundPauseRatio = 0.25

// roundTimeout bounds a round, so that a rank that doesn't answer delays the others'
// counts only briefly.
const roundTimeout = 300 * time.Millisecond

// sample returns the ranks to ask, spread evenly over the group. It is the same each
// time, so that what the ranks counted between two rounds covers the same time.
func (p *planning) sample() []burdockid.Rank {
	ranks := p.leadership.member.assignment.Ranks
	n := ranks
	if limit := p.leadership.member.deps.Tuning.SampledRanks; limit > 0 {
		n = min(n, limit)
	}
	list := make([]burdockid.Rank, n)
	for i := range list {
		list[i] = burdockid.Rank(i * ranks / n)
	}
	return list
}

// roundQuery requests the counts of one rank.
type roundQuery struct {
	query   countsQuery
	answer  *burdockengine.GroupCounts
	pending *sync.WaitGroup
}

func (q *roundQuery) run() {
	defer q.pending.Done()
	m := q.query.planning.leadership.member
	ctx, cancel := context.WithTimeout(m.ctx, roundTimeout)
	defer cancel()
	counts, _, err := q.query.fetch(ctx)
	if err != nil {
		m.deps.Log.Debug("rank did not report its counts", zap.Int("rank", int(q.query.rank)), zap.Error(err))
		return
	}
	*q.answer = counts
}

// addRound adds to the popularity what the ranks that answered counted since they were
// last asked.
func (p *planning) addRound(answers []burdockengine.GroupCounts, start burdockclock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.leadership.now()
	p.querying, p.roundDuration = false, now-start
	p.nextQueryAt = max(start+p.leadership.member.deps.Tuning.CountsInterval, now+burdockclock.Millis(roundPauseRatio*float64(now-start)))
	var sum [][]burdockid.Tokens
	for rank, counts := range answers {
		if len(counts.Tokens) == 0 || len(counts.Tokens[0]) == 0 {
			continue
		}
		p.resetOnNewShape(counts)
		before := p.counts[rank]
		p.counts[rank] = counts
		p.updateSpeedLocked(burdockid.Rank(rank), counts.Speed)
		if before.Incarnation == counts.Incarnation && len(before.Tokens) == len(counts.Tokens) {
			sum = addTokensSince(sum, before.Tokens, counts.Tokens)
			p.observed[rank] = true
		}
	}
	for l := range sum {
		p.popularity.Observe(now, burdockid.Layer(l), sum[l])
	}
}

func addTokensSince(sum, before, now [][]burdockid.Tokens) [][]burdockid.Tokens {
	if sum == nil {
		sum = make([][]burdockid.Tokens, len(now))
		for l := range now {
			sum[l] = make([]burdockid.Tokens, len(now[l]))
		}
	}
	for l := range min(len(now), len(sum)) {
		for e, n := range tokensSince(before[l], now[l]) {
			if e < len(sum[l]) {
				sum[l][e] += n
			}
		}
	}
	return sum
}
