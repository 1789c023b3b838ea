package burdockload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// maxOpen bounds the calls that are open at a time. Beyond it the machine that
// sends the load would be what is measured.
const maxOpen = 4096

// Run sends one run's calls to an address and returns what it showed. It ends
// when all calls have ended, at the latest a timeout after the duration.
func Run(ctx context.Context, cfg Config, address string) (*Result, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	client := newClient(cfg, address)
	defer client.close()
	r := &runner{cfg: cfg, client: client, tally: &tally{result: NewResult()}, open: make(chan struct{}, maxOpen)}
	began := time.Now()
	r.run(ctx, began)
	r.tally.result.Took = time.Since(began)
	return r.tally.result, nil
}

// runner is one run against one address.
type runner struct {
	cfg    Config
	client *client
	tally  *tally
	open   chan struct{}
	done   sync.WaitGroup
}

func (r *runner) run(ctx context.Context, began time.Time) {
	end := began.Add(r.cfg.Duration)
	streams, stop := context.WithDeadline(ctx, end)
	defer stop()
	r.done.Add(r.cfg.Streams)
	for i := range r.cfg.Streams {
		go (&streamer{runner: r, number: i, random: rand.New(rand.NewPCG(r.cfg.Seed, scheduleStream+1+uint64(i)))}).run(streams)
	}
	calls := newSchedule(r.cfg)
	for c, ok := calls.next(); ok && wait(ctx, began.Add(c.at)); c, ok = calls.next() {
		r.begin(ctx, c, began.Add(c.at))
	}
	if r.cfg.Streams > 0 {
		wait(ctx, end)
	}
	r.done.Wait()
}

// begin sends a call without waiting for its answer.
func (r *runner) begin(ctx context.Context, c call, due time.Time) {
	select {
	case r.open <- struct{}{}:
	default:
		r.tally.record(observed{ending: endingUnsent})
		return
	}
	r.done.Add(1)
	go (&sending{runner: r, call: c, due: due}).run(ctx)
}

// sending is one call under way.
type sending struct {
	runner *runner
	call   call
	due    time.Time
}

func (s *sending) run(ctx context.Context) {
	defer s.runner.done.Done()
	s.runner.tally.record(s.runner.client.send(ctx, s.call, s.due))
	<-s.runner.open
}

// streamPause keeps a streamer that is refused from asking without a break.
const streamPause = 100 * time.Millisecond

// streamer keeps one stream open until the end of the run.
type streamer struct {
	runner *runner
	number int
	random *rand.Rand
}

func (s *streamer) run(ctx context.Context) {
	defer s.runner.done.Done()
	for n := 0; ctx.Err() == nil; n++ {
		c := draw(s.runner.cfg, s.random, fmt.Sprintf("stream %d-%d-%d", s.runner.cfg.Seed, s.number, n))
		c.kind, c.tokens, c.repeat = kindStreamed, s.runner.cfg.StreamTokens, ""
		o := s.runner.client.send(ctx, c, time.Now())
		if ctx.Err() != nil {
			// The end of the run cut it, nothing else; its tokens still count.
			o.ending = endingAnswered
		}
		// First tokens are told of the calls alone, whose arrivals are drawn.
		o.firstToken = 0
		s.runner.tally.record(o)
		if o.ending != endingAnswered {
			wait(ctx, time.Now().Add(streamPause))
		}
	}
}

// wait waits until an instant, and reports false when ctx ended first.
func wait(ctx context.Context, until time.Time) bool {
	left := time.Until(until)
	if left <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
