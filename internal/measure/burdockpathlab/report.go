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
	median = 50
	tail   = 99
	mega   = 1 << 20
)

// printPhase prints first tokens, and what each path adds to the direct one.
func printPhase(w io.Writer, ph phase, paths []path, samples map[string]*sample) error {
	_, _ = fmt.Fprintf(w, "\n%s: %g requests/s, %d streams open; machine load %s\n", ph.name, ph.rate, ph.streams, machineLoad())
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "path\tanswered\tnot answered\ttokens\tfirst token p50 ms\tp99 ms\tadded p50 ms\tadded p99 ms\tbetween tokens p99 ms\tprocessor s\t")
	direct := samples[paths[0].name].result
	for _, p := range paths {
		s := samples[p.name]
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%.3f\t%s\t\n", p.name, s.result.Answered, s.result.Sent+s.result.Unsent-s.result.Answered, s.result.Tokens,
			first(s.result, median), first(s.result, tail),
			added(s.result, direct, median), added(s.result, direct, tail),
			milliseconds(burdockload.Span(s.result.BetweenTokens, tail)), processorOf(p, s))
	}
	return t.Flush()
}

func first(r *burdockload.Result, percentile float64) string {
	if r.FirstToken.TotalCount() == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", milliseconds(burdockload.Span(r.FirstToken, percentile)))
}

func added(r, direct *burdockload.Result, percentile float64) string {
	if r.FirstToken.TotalCount() == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", milliseconds(burdockload.Span(r.FirstToken, percentile)-burdockload.Span(direct.FirstToken, percentile)))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

func processorOf(p path, s *sample) string {
	var parts []string
	for _, pr := range p.admins {
		parts = append(parts, fmt.Sprintf("%s %.2f", pr.name, s.processor[pr.name].Seconds()))
	}
	return strings.Join(parts, " ")
}

// printCosts prints processor time for each token of streams alone, for each
// request alone, and for each second with both.
func printCosts(w io.Writer, ph phase, paths []path, streams, requests, both map[string]*sample) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(t, "processor time at %g requests/s\tfor each token µs\tfor each request µs\tfor each second with both ms\t\n", ph.rate)
	for _, p := range paths[1:] {
		mixed := both[p.name]
		_, _ = fmt.Fprintf(t, "%s\t%.1f\t%.1f\t%.1f\t\n", p.name,
			microseconds(streams[p.name].perToken()), microseconds(requests[p.name].perRequest()),
			milliseconds(mixed.total())/mixed.result.Took.Seconds())
	}
	return t.Flush()
}

// printMemory prints the memory of processes that serve nothing.
func printMemory(w io.Writer, p path, readings map[string]reading) {
	for _, pr := range p.admins {
		_, _ = fmt.Fprintf(w, "%s, idle: resident memory %.1f MB\n", pr.name, float64(readings[pr.name].memory)/mega)
	}
}
