package burdocktry

import (
	"context"
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"

	"burdockbend.example/burdockbend/internal/serve/burdockadmin"
)

const metricsPage = "../../../docs/METRICS.md"

// documentedMetric matches the metric name at the start of a row of the page's tables.
var documentedMetric = regexp.MustCompile("(?m)^\\| `(burdock_[a-z_]+)`")

// sampleName matches the name at the start of an exported sample.
var sampleName = regexp.MustCompile(`(?m)^([a-z_]+)`)

// scrape returns the metrics page of a process.
func scrape(t *testing.T, admin string) string {
	t.Helper()
	res, err := http.Get("http://" + admin + burdockadmin.PathMetrics)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

// metricFamily returns the name of the metric that a sample belongs to: a histogram
// has samples with suffixes.
func metricFamily(name string, page map[string]bool) string {
	for _, suffix := range []string{"_bucket", "_sum", "_count"} {
		if base, ok := strings.CutSuffix(name, suffix); ok && page[base] {
			return base
		}
	}
	return name
}

// After requests of each kind, the page describes every metric that an entry or an
// agent exports, and no metric that they don't export.
func TestMetricsPageDescribesWhatIsExported(t *testing.T) {
	data, err := os.ReadFile(metricsPage)
	if err != nil {
		t.Fatal(err)
	}
	page := map[string]bool{}
	for _, match := range documentedMetric.FindAllStringSubmatch(string(data), -1) {
		page[match[1]] = true
	}
	seen := map[string]bool{}
	for _, text := range metricsAfterRequests(t) {
		for _, match := range sampleName.FindAllStringSubmatch(text, -1) {
			name := metricFamily(match[1], page)
			seen[name] = true
			if !page[name] && !strings.HasPrefix(name, "process_") && !strings.HasPrefix(name, "go_") {
				t.Errorf("%s is exported and not described in %s", name, metricsPage)
			}
		}
	}
	for name := range page {
		if !seen[name] {
			t.Errorf("%s is described and not exported", name)
		}
	}
}

// metricsAfterRequests starts a fleet, sends requests of each kind and one that is
// refused, and returns the metrics pages of its processes.
func metricsAfterRequests(t *testing.T) []string {
	t.Helper()
	f, key := startReadyFleet(t)
	if err := f.sendSampleRequests(context.Background(), io.Discard, key); err != nil {
		t.Fatal(err)
	}
	for _, a := range f.agents {
		a.Drain()
	}
	client := &http.Client{Timeout: sendTimeout}
	refused := sampleRequest{method: http.MethodPost, path: "/v1/chat/completions", body: chatBody(false)}
	status, body, err := refused.send(context.Background(), client, "http://"+f.entries[0].Address(), key)
	if err != nil || status != http.StatusServiceUnavailable {
		t.Fatalf("a request while all agents drain: got status %d, %v, %s", status, err, body)
	}
	var texts []string
	for _, e := range f.entries {
		texts = append(texts, scrape(t, e.AdminAddress()))
	}
	for _, a := range f.agents {
		texts = append(texts, scrape(t, a.AdminAddress()))
	}
	return texts
}
