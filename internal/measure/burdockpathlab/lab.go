package burdockpathlab

import (
	"context"
	"time"

	"burdockbend.example/burdockbend/internal/tool/burdockload"
)

// path is one way to the engine, with the processes whose time it takes.
type path struct {
	name    string
	address string
	admins  []process
}

// process is one process of a path and where it shows its metrics.
type process struct {
	name  string
	admin string
}

// phase is one kind of load.
type phase struct {
	name    string
	rate    float64
	streams int
}

// sample is what all turns of one phase showed of one path.
type sample struct {
	result    *burdockload.Result
	processor map[string]time.Duration // by process
}

func newSample() *sample {
	return &sample{result: burdockload.NewResult(), processor: map[string]time.Duration{}}
}

// lab runs phases over paths.
type lab struct {
	load  burdockload.Config
	turns int
	paths []path
}

// run puts one phase through each path in turns, so that what changes on the
// machine meanwhile meets all paths alike.
func (l *lab) run(ctx context.Context, ph phase) (map[string]*sample, error) {
	samples := map[string]*sample{}
	for _, p := range l.paths {
		samples[p.name] = newSample()
	}
	for turn := range l.turns {
		cfg := l.load
		cfg.Rate, cfg.Streams, cfg.Seed = ph.rate, ph.streams, l.load.Seed+uint64(turn)
		for _, p := range l.paths {
			if err := samples[p.name].add(ctx, cfg, p); err != nil {
				return nil, err
			}
		}
	}
	return samples, nil
}

// add runs one turn.
func (s *sample) add(ctx context.Context, cfg burdockload.Config, p path) error {
	before, err := readAll(ctx, p)
	if err != nil {
		return err
	}
	result, err := burdockload.Run(ctx, cfg, p.address)
	if err != nil {
		return err
	}
	after, err := readAll(ctx, p)
	if err != nil {
		return err
	}
	s.result.Merge(result)
	for name, r := range after {
		s.processor[name] += r.processor - before[name].processor
	}
	return nil
}

// readAll reads all processes of a path.
func readAll(ctx context.Context, p path) (map[string]reading, error) {
	readings := map[string]reading{}
	for _, pr := range p.admins {
		r, err := read(ctx, pr.admin)
		if err != nil {
			return nil, err
		}
		readings[pr.name] = r
	}
	return readings, nil
}

// total returns the processor time of all processes of a path.
func (s *sample) total() time.Duration {
	var sum time.Duration
	for _, d := range s.processor {
		sum += d
	}
	return sum
}

// perToken returns the processor time of a token, from streams alone.
func (s *sample) perToken() time.Duration { return s.per(s.result.Tokens) }

// perRequest returns the processor time of a request, from requests alone.
// Beside streams it can't be told: what the tokens take varies by more.
func (s *sample) perRequest() time.Duration { return s.per(int64(s.result.Sent)) }

func (s *sample) per(n int64) time.Duration {
	if n == 0 {
		return 0
	}
	return s.total() / time.Duration(n)
}
