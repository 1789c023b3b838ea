package burdockpathlab

import (
	"context"
	"time"

	"burdockbend.example/burdockbend/internal/tool/burdockload"
)

// path is one path to the engine, with the processes that requests pass through.
type path struct {
	name      string
	address   string
	processes []process
}

// process is one process of a path and the address of its metrics.
type process struct {
	name         string
	adminAddress string
}

// phase is one kind of load.
type phase struct {
	name    string
	rate    float64
	streams int
}

// sample holds the results of all turns of one phase for one path.
type sample struct {
	result        *burdockload.Result
	processorTime map[string]time.Duration // by name of the process
}

func newSample() *sample {
	return &sample{result: burdockload.NewResult(), processorTime: map[string]time.Duration{}}
}

// lab runs phases on each path.
type lab struct {
	load  burdockload.Config
	turns int
	paths []path
}

// run runs one phase on the paths in turn, so that changes of the machine's load
// affect all paths alike.
func (l *lab) run(ctx context.Context, ph phase) (map[string]*sample, error) {
	samples := map[string]*sample{}
	for _, p := range l.paths {
		samples[p.name] = newSample()
	}
	for turn := range l.turns {
		cfg := l.load
		cfg.Rate, cfg.Streams, cfg.Seed = ph.rate, ph.streams, l.load.Seed+uint64(turn)
		for _, p := range l.paths {
			if err := samples[p.name].runTurn(ctx, cfg, p); err != nil {
				return nil, err
			}
		}
	}
	return samples, nil
}

// runTurn runs one turn of a path and adds its results to s.
func (s *sample) runTurn(ctx context.Context, cfg burdockload.Config, p path) error {
	before, err := readProcesses(ctx, p)
	if err != nil {
		return err
	}
	result, err := burdockload.Run(ctx, cfg, p.address)
	if err != nil {
		return err
	}
	after, err := readProcesses(ctx, p)
	if err != nil {
		return err
	}
	s.result.Merge(result)
	for name, r := range after {
		s.processorTime[name] += r.processorTime - before[name].processorTime
	}
	return nil
}

// readProcesses reads the metrics of all processes of a path.
func readProcesses(ctx context.Context, p path) (map[string]reading, error) {
	readings := map[string]reading{}
	for _, pr := range p.processes {
		r, err := readMetrics(ctx, pr.adminAddress)
		if err != nil {
			return nil, err
		}
		readings[pr.name] = r
	}
	return readings, nil
}

// totalTime returns the processor time of all processes of the path.
func (s *sample) totalTime() time.Duration {
	var sum time.Duration
	for _, d := range s.processorTime {
		sum += d
	}
	return sum
}

// perToken returns the processor time per token. It is valid for streams alone.
func (s *sample) perToken() time.Duration { return s.timePer(s.result.Tokens) }

// perRequest returns the processor time per request. It is valid for requests alone:
// beside streams, the time of the tokens varies by more than that of the requests.
func (s *sample) perRequest() time.Duration { return s.timePer(int64(s.result.Sent)) }

func (s *sample) timePer(n int64) time.Duration {
	if n == 0 {
		return 0
	}
	return s.totalTime() / time.Duration(n)
}
