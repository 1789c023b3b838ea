package burdockqueuelab

import (
	"fmt"
	"io"
	"text/tabwriter"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// report prints the results of all policies beside each other.
type report struct {
	lab     *lab
	results []*result
}

func (r *report) write(w io.Writer) error {
	cfg, s := r.lab.cfg, r.lab.scenario
	fmt.Fprintf(w, "%s: %s\n", s.name, s.what)
	fmt.Fprintf(w, "seed %d, %d slots, %.0f tokens/s, full rate at %.0f%% of the slots, load %.2f, %d s, estimates off by %.2f (sigma of log)\n",
		cfg.seed, cfg.slots, cfg.rate, 100*cfg.knee, s.load, cfg.duration/burdockclock.Second, cfg.estimateError)
	fmt.Fprintf(w, "%d requests offer %.1f%% of capacity; at most %d queued, %d slots kept for urgent work, starvation bound %d ms\n\n",
		len(r.results[0].requests), r.results[0].ofCapacity(offered(r.results[0].requests)), cfg.maxQueued, cfg.kept, cfg.starvation)
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

func offered(requests []*request) float64 {
	sum := 0.0
	for _, r := range requests {
		sum += r.tokens
	}
	return sum
}

// row prints one value for each policy.
func (r *report) row(t io.Writer, label string, value func(*result) string) {
	fmt.Fprintf(t, "%s\t", label)
	for _, res := range r.results {
		fmt.Fprintf(t, "%s\t", value(res))
	}
	fmt.Fprintln(t)
}

func (r *report) writeTotals(t io.Writer) {
	r.row(t, "", func(res *result) string { return res.policy.String() })
	r.row(t, "urgent in time", func(res *result) string {
		s := res.summarise(ofClass(0))
		return percent(s.part(s.inTime))
	})
	r.row(t, "goodput, of capacity", func(res *result) string {
		return percent(res.ofCapacity(res.summarise(everyone).goodTokens))
	})
	r.row(t, "work for nobody, of capacity", func(res *result) string {
		return percent(res.ofCapacity(res.summarise(everyone).wastedTokens))
	})
	r.row(t, "offers a request", func(res *result) string {
		s := res.summarise(everyone)
		return fmt.Sprintf("%.2f", float64(s.attempts)/float64(max(s.requests, 1)))
	})
}

func (r *report) writeGroup(t io.Writer, name string, keep func(*request) bool) {
	sums := make(map[*result]*summary)
	for _, res := range r.results {
		sums[res] = res.summarise(keep)
	}
	fmt.Fprintln(t, "\t\t\t\t")
	fmt.Fprintf(t, "%s\t\t\t\t\n", name)
	r.row(t, "in time", func(res *result) string { return percent(sums[res].part(sums[res].inTime)) })
	r.row(t, "served in time, of capacity", func(res *result) string { return percent(res.ofCapacity(sums[res].goodTokens)) })
	r.row(t, "wait p50, p99 ms", func(res *result) string { return quantiles(sums[res].waits) })
	r.row(t, "refused", func(res *result) string { return percent(sums[res].part(sums[res].refused)) })
	r.row(t, "of these told at once", func(res *result) string { return percent(sums[res].atOnce()) })
	r.row(t, "told after p50, p99 ms", func(res *result) string { return quantiles(sums[res].toldAfter) })
	r.row(t, "hung up untold", func(res *result) string { return percent(sums[res].part(sums[res].untold)) })
	r.row(t, "cut in the answer", func(res *result) string { return percent(sums[res].part(sums[res].cut)) })
}

func percent(x float64) string { return fmt.Sprintf("%.2f%%", x) }

func quantiles(sorted []burdockclock.Millis) string {
	if len(sorted) == 0 {
		return "-"
	}
	return fmt.Sprintf("%d, %d", quantile(sorted, 0.5), quantile(sorted, 0.99))
}
