package burdockload

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// percentiles shown in a report.
var percentiles = []float64{50, 90, 99, 99.9}

// side is one address and its result.
type side struct {
	address string
	result  *Result
}

// measures lists the histograms of a result with their titles.
var measures = []struct {
	title string
	of    func(*Result) *hdrhistogram.Histogram
}{
	{"first token", func(r *Result) *hdrhistogram.Histogram { return r.FirstToken }},
	{"between tokens", func(r *Result) *hdrhistogram.Histogram { return r.BetweenTokens }},
	{"whole answer", func(r *Result) *hdrhistogram.Histogram { return r.Whole }},
}

// report prints the result of each side.
func report(w io.Writer, sides ...side) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, s := range sides {
		r := s.result
		_, _ = fmt.Fprintf(t, "%s\tsent %d\tanswered %d\trefused %d\tcut %d\tunknown %d\tunsent %d\ttokens %d\n",
			s.address, r.Sent, r.Answered, total(r.Refused), r.Cut, r.Unknown, r.Unsent, r.Tokens)
	}
	_, _ = fmt.Fprintln(t, "\nmilliseconds\tcount\tp50\tp90\tp99\tp99.9\tmax")
	for _, m := range measures {
		for _, s := range sides {
			printPercentiles(t, m.title+" "+s.address, m.of(s.result))
		}
	}
	for _, s := range sides {
		printCounts(t, "refused by "+s.address, s.result.Refused)
		printCounts(t, "failed at "+s.address, s.result.Failures)
	}
	return t.Flush()
}

func printPercentiles(w io.Writer, title string, h *hdrhistogram.Histogram) {
	if h.TotalCount() == 0 {
		return
	}
	_, _ = fmt.Fprintf(w, "%s\t%d", title, h.TotalCount())
	for _, p := range percentiles {
		_, _ = fmt.Fprintf(w, "\t%.3f", milliseconds(Span(h, p)))
	}
	_, _ = fmt.Fprintf(w, "\t%.3f\n", milliseconds(time.Duration(h.Max())*spanUnit))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func total[K comparable](counts map[K]int) int {
	n := 0
	for _, count := range counts {
		n += count
	}
	return n
}

func printCounts[K ~string](w io.Writer, title string, counts map[K]int) {
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%s\n", title, counts[name], name)
	}
}

// printRatios prints the percentiles of the first side divided by those of the second.
func printRatios(w io.Writer, first, second side) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "\n%s over %s\tp50\tp90\tp99\tp99.9\n", first.address, second.address)
	for _, m := range measures {
		a, b := m.of(first.result), m.of(second.result)
		if a.TotalCount() == 0 || b.TotalCount() == 0 {
			continue
		}
		_, _ = fmt.Fprint(t, m.title)
		for _, p := range percentiles {
			_, _ = fmt.Fprintf(t, "\t%.3f", float64(Span(a, p))/float64(Span(b, p)))
		}
		_, _ = fmt.Fprintln(t)
	}
	return t.Flush()
}
