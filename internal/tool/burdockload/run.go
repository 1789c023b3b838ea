package burdockload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// maxOpenCalls limits the calls that are open at a time. With more, the result would show
// the limits of the machine that sends the load.
const maxOpenCalls = 4096

// Run sends one run's calls to an address and returns the result. It returns when all
// calls have ended, at the latest cfg.Timeout after cfg.Duration.
func Run(ctx context.Context, cfg Config, address string) (*Result, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	client := newClient(cfg, address)
	defer client.close()
	r := &runner{cfg: cfg, client: client, results: &resultCollector{result: NewResult()}, openCalls: make(chan struct{}, maxOpenCalls)}
	start := time.Now()
	r.run(ctx, start)
	r.results.result.Took = time.Since(start)
	return r.results.result, nil
}

// runner is one run against one address.
type runner struct {
	cfg       Config
	client    *client
	results   *resultCollector
	openCalls chan struct{}
	wg        sync.WaitGroup
}

func (r *runner) run(ctx context.Context, start time.Time) {
	end := start.Add(r.cfg.Duration)
	streams, stop := context.WithDeadline(ctx, end)
	defer stop()
	r.wg.Add(r.cfg.Streams)
	for i := range r.cfg.Streams {
		go (&streamer{runner: r, index: i, random: rand.New(rand.NewPCG(r.cfg.Seed, scheduleRandomStream+1+uint64(i)))}).run(streams)
	}
	calls := newSchedule(r.cfg)
	for c, ok := calls.next(); ok && waitUntil(ctx, start.Add(c.offset)); c, ok = calls.next() {
		r.startCall(ctx, c, start.Add(c.offset))
	}
	if r.cfg.Streams > 0 {
		waitUntil(ctx, end)
	}
	r.wg.Wait()
}

// startCall starts sending a call without waiting for its answer.
func (r *runner) startCall(ctx context.Context, c call, due time.Time) {
	select {
	case r.openCalls <- struct{}{}:
	default:
		r.results.record(outcome{ending: endingUnsent})
		return
	}
	r.wg.Add(1)
	go (&pendingCall{runner: r, call: c, due: due}).run(ctx)
}

// pendingCall is a call that awaits its answer.
type pendingCall struct {
	runner *runner
	call   call
	due    time.Time
}

func (s *pendingCall) run(ctx context.Context) {
	defer s.runner.wg.Done()
	s.runner.results.record(s.runner.client.send(ctx, s.call, s.due))
	<-s.runner.openCalls
}

// streamRetryDelay is the delay after a refused or failed stream. Without it a streamer
// would retry in a tight loop.
const streamRetryDelay = 100 * time.Millisecond

// streamer keeps one stream open until the end of the run.
type streamer struct {
	runner *runner
	index  int
	random *rand.Rand
}

func (s *streamer) run(ctx context.Context) {
	defer s.runner.wg.Done()
	for n := 0; ctx.Err() == nil; n++ {
		c := drawCall(s.runner.cfg, s.random, fmt.Sprintf("stream %d-%d-%d", s.runner.cfg.Seed, s.index, n))
		c.kind, c.tokens, c.idempotencyKey = kindStreamed, s.runner.cfg.StreamTokens, ""
		o := s.runner.client.send(ctx, c, time.Now())
		if ctx.Err() != nil {
			// Only the end of the run cut the stream, so it counts as answered, with its tokens.
			o.ending = endingAnswered
		}
		// First tokens are measured only for the scheduled calls, which arrive at random.
		o.firstToken = 0
		s.runner.results.record(o)
		if o.ending != endingAnswered {
			waitUntil(ctx, time.Now().Add(streamRetryDelay))
		}
	}
}

// waitUntil waits until the given time and reports whether ctx is still active.
func waitUntil(ctx context.Context, until time.Time) bool {
	remaining := time.Until(until)
	if remaining <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
