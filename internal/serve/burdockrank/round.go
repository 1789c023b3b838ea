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

// round asks all ranks for their counts at once.
//
// Load: popularity that turns within seconds. Harm: asked one after another,
// the ranks would tell of different times, and a turn would be seen only when
// most of them had been asked again. What all ranks counted between two rounds
// makes one window, in which chance weighs least.
type round struct{ planning *planning }

func (r round) run() {
	p := r.planning
	m := p.duty.member
	defer m.done.Done()
	answers := make([]burdockengine.GroupCounts, m.seat.Ranks)
	var asked sync.WaitGroup
	for _, rank := range p.sample() {
		asked.Add(1)
		go (&roundQuestion{question{p, rank}, &answers[rank], &asked}).run()
	}
	began := p.duty.sinceBoot()
	asked.Wait()
	p.takeRound(answers, began)
}

// roundRest is the rest after a round, as a part of its time: the controller's
// link and processor are not for counts alone.
const roundRest = 0.25

// roundTimeout bounds a round: a rank that doesn't answer must not keep the
// others' counts for long.
const roundTimeout = 300 * time.Millisecond

// sample returns the ranks to ask: spread evenly over the group, and each time
// the same, so that what they counted between two rounds is of the same time.
func (p *planning) sample() []burdockid.Rank {
	ranks := p.duty.member.seat.Ranks
	n := ranks
	if most := p.duty.member.deps.Tuning.SampledRanks; most > 0 {
		n = min(n, most)
	}
	list := make([]burdockid.Rank, n)
	for i := range list {
		list[i] = burdockid.Rank(i * ranks / n)
	}
	return list
}

// roundQuestion asks one rank.
type roundQuestion struct {
	question question
	answer   *burdockengine.GroupCounts
	asked    *sync.WaitGroup
}

func (q *roundQuestion) run() {
	defer q.asked.Done()
	m := q.question.planning.duty.member
	ctx, cancel := context.WithTimeout(m.ctx, roundTimeout)
	defer cancel()
	counts, _, err := q.question.ask(ctx)
	if err != nil {
		m.deps.Log.Debug("no counts", zap.Int("rank", int(q.question.rank)), zap.Error(err))
		return
	}
	*q.answer = counts
}

// takeRound adds what the ranks that answered counted since they were asked
// before.
func (p *planning) takeRound(answers []burdockengine.GroupCounts, began burdockclock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.duty.sinceBoot()
	p.asking, p.roundTook = false, now-began
	p.askAt = max(began+p.duty.member.deps.Tuning.CountsInterval, now+burdockclock.Millis(roundRest*float64(now-began)))
	var sum [][]burdockid.Tokens
	for rank, counts := range answers {
		if len(counts.Tokens) == 0 || len(counts.Tokens[0]) == 0 {
			continue
		}
		p.shape(counts)
		before := p.counts[rank]
		p.counts[rank] = counts
		p.noteSpeed(burdockid.Rank(rank), counts.Speed)
		if before.Life == counts.Life && len(before.Tokens) == len(counts.Tokens) {
			sum = addSince(sum, before.Tokens, counts.Tokens)
			p.observed[rank] = true
		}
	}
	for l := range sum {
		p.popularity.Observe(now, burdockid.Layer(l), sum[l])
	}
}

func addSince(sum, before, now [][]burdockid.Tokens) [][]burdockid.Tokens {
	if sum == nil {
		sum = make([][]burdockid.Tokens, len(now))
		for l := range now {
			sum[l] = make([]burdockid.Tokens, len(now[l]))
		}
	}
	for l := range min(len(now), len(sum)) {
		for e, n := range since(before[l], now[l]) {
			if e < len(sum[l]) {
				sum[l][e] += n
			}
		}
	}
	return sum
}
