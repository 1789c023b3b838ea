package burdockpathlab

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"burdockbend.example/burdockbend/internal/tool/burdockload"
)

const (
	median   = 50
	tail     = 99
	mebibyte = 1 << 20
)

// printPhase prints the results of each path and the latency it adds to the direct one.
func printPhase(w io.Writer, ph phase, paths []path, samples map[string]*sample) error {
	_, _ = fmt.Fprintf(w, "\n%s: %g requests/s, %d streams open; machine load %s\n", ph.name, ph.rate, ph.streams, machineLoad())
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "path\tanswered\tnot answered\ttokens\tfirst token p50 ms\tp99 ms\tadded p50 ms\tadded p99 ms\tbetween tokens p99 ms\tprocessor s\t")
	direct := samples[paths[0].name].result
	for _, p := range paths {
		s := samples[p.name]
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%.3f\t%s\t\n", p.name, s.result.Answered, s.result.Sent+s.result.Unsent-s.result.Answered, s.result.Tokens,
			firstToken(s.result, median), firstToken(s.result, tail),
			addedLatency(s.result, direct, median), addedLatency(s.result, direct, tail),
			milliseconds(burdockload.Span(s.result.BetweenTokens, tail)), processorTimes(p, s))
	}
	return t.Flush()
}

func firstToken(r *burdockload.Result, percentile float64) string {
	if r.FirstToken.TotalCount() == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", milliseconds(burdockload.Span(r.FirstToken, percentile)))
}

func addedLatency(r, direct *burdockload.Result, percentile float64) string {
	if r.FirstToken.TotalCount() == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", milliseconds(burdockload.Span(r.FirstToken, percentile)-burdockload.Span(direct.FirstToken, percentile)))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

func processorTimes(p path, s *sample) string {
	var parts []string
	for _, pr := range p.processes {
		parts = append(parts, fmt.Sprintf("%s %.2f", pr.name, s.processorTime[pr.name].Seconds()))
	}
	return strings.Join(parts, " ")
}

// printCosts prints the processor time per token of streams alone, per request of
// requests alone, and per second with both.
func printCosts(w io.Writer, ph phase, paths []path, streams, requests, mixedSamples map[string]*sample) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(t, "processor time at %g requests/s\tfor each token µs\tfor each request µs\tfor each second with both ms\t\n", ph.rate)
	for _, p := range paths[1:] {
		mixed := mixedSamples[p.name]
		_, _ = fmt.Fprintf(t, "%s\t%.1f\t%.1f\t%.1f\t\n", p.name,
			microseconds(streams[p.name].perToken()), microseconds(requests[p.name].perRequest()),
			milliseconds(mixed.totalTime())/mixed.result.Took.Seconds())
	}
	return t.Flush()
}

// printMemory prints the memory of idle processes.
func printMemory(w io.Writer, p path, readings map[string]reading) {
	for _, pr := range p.processes {
		_, _ = fmt.Fprintf(w, "%s, idle: resident memory %.1f MB\n", pr.name, float64(readings[pr.name].memory)/mebibyte)
	}
}
