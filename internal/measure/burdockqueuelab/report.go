package burdockqueuelab

import (
	"fmt"
	"io"
	"text/tabwriter"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// report prints a table with one column per policy.
type report struct {
	lab     *lab
	results []*result
}

func (r *report) write(w io.Writer) error {
	cfg, s := r.lab.cfg, r.lab.scenario
	fmt.Fprintf(w, "%s: %s\n", s.name, s.description)
	fmt.Fprintf(w, "seed %d, %d slots, %.0f tokens/s, full rate at %.0f%% of the slots, load %.2f, %d s, estimates off by %.2f (sigma of log)\n",
		cfg.seed, cfg.slots, cfg.rate, 100*cfg.knee, s.load, cfg.duration/burdockclock.Second, cfg.estimateError)
	fmt.Fprintf(w, "%d requests offer %.1f%% of capacity; at most %d queued, %d slots kept for urgent work, starvation bound %d ms\n\n",
		len(r.results[0].requests), r.results[0].percentOfCapacity(offeredTokens(r.results[0].requests)), cfg.maxQueued, cfg.reservedSlots, cfg.starvation)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	r.writeTotals(t)
	for class, c := range s.classes {
		r.writeGroup(t, "class "+c.name, ofClass(class))
	}
	for _, c := range customers {
		r.writeGroup(t, fmt.Sprintf("customer %s, share %.0f", c.name, c.share), ofCustomer(c.name))
	}
	return t.Flush()
}

func offeredTokens(requests []*request) float64 {
	sum := 0.0
	for _, r := range requests {
		sum += r.actualTokens
	}
	return sum
}

// writeRow prints a row with one value per policy.
func (r *report) writeRow(t io.Writer, label string, value func(*result) string) {
	fmt.Fprintf(t, "%s\t", label)
	for _, res := range r.results {
		fmt.Fprintf(t, "%s\t", value(res))
	}
	fmt.Fprintln(t)
}

func (r *report) writeTotals(t io.Writer) {
	r.writeRow(t, "", func(res *result) string { return res.policy.String() })
	r.writeRow(t, "urgent in time", func(res *result) string {
		s := res.summarise(ofClass(0))
		return formatPercent(s.percentOf(s.inTime))
	})
	r.writeRow(t, "goodput, of capacity", func(res *result) string {
		return formatPercent(res.percentOfCapacity(res.summarise(allRequests).goodTokens))
	})
	r.writeRow(t, "work for nobody, of capacity", func(res *result) string {
		return formatPercent(res.percentOfCapacity(res.summarise(allRequests).wastedTokens))
	})
	r.writeRow(t, "offers a request", func(res *result) string {
		s := res.summarise(allRequests)
		return fmt.Sprintf("%.2f", float64(s.attempts)/float64(max(s.requests, 1)))
	})
}

func (r *report) writeGroup(t io.Writer, name string, filter func(*request) bool) {
	summaries := make(map[*result]*summary)
	for _, res := range r.results {
		summaries[res] = res.summarise(filter)
	}
	fmt.Fprintln(t, "\t\t\t\t")
	fmt.Fprintf(t, "%s\t\t\t\t\n", name)
	r.writeRow(t, "in time", func(res *result) string { return formatPercent(summaries[res].percentOf(summaries[res].inTime)) })
	r.writeRow(t, "served in time, of capacity", func(res *result) string { return formatPercent(res.percentOfCapacity(summaries[res].goodTokens)) })
	r.writeRow(t, "wait p50, p99 ms", func(res *result) string { return formatQuantiles(summaries[res].waits) })
	r.writeRow(t, "refused", func(res *result) string { return formatPercent(summaries[res].percentOf(summaries[res].refused)) })
	r.writeRow(t, "of these told at once", func(res *result) string { return formatPercent(summaries[res].percentRefusedAtOnce()) })
	r.writeRow(t, "told after p50, p99 ms", func(res *result) string { return formatQuantiles(summaries[res].timeToRefusal) })
	r.writeRow(t, "hung up untold", func(res *result) string { return formatPercent(summaries[res].percentOf(summaries[res].unanswered)) })
	r.writeRow(t, "cut in the answer", func(res *result) string { return formatPercent(summaries[res].percentOf(summaries[res].interrupted)) })
}

func formatPercent(x float64) string { return fmt.Sprintf("%.2f%%", x) }

func formatQuantiles(sorted []burdockclock.Millis) string {
	if len(sorted) == 0 {
		return "-"
	}
	return fmt.Sprintf("%d, %d", quantile(sorted, 0.5), quantile(sorted, 0.99))
}
