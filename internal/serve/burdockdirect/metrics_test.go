package burdockdirect

import (
	"bytes"
	"context"
	"maps"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
)

var (
	describedName = regexp.MustCompile("`(burdock_direct_[a-z_]+)`")
	exportedName  = regexp.MustCompile(`(?m)^(burdock_direct_[a-z_]+)`)
)

// The page on metrics must list exactly the metrics that an entry exports.
func TestMetricsPageDescribesWhatAnEntryExports(t *testing.T) {
	page, err := os.ReadFile("../../../docs/METRICS_HOSTED.md")
	if err != nil {
		t.Fatal(err)
	}
	u := newUpstream(t, answerOK)
	s := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		writeEvents(w, 1, 3)
	})
	f := newFixture(t, testTimeout, u)
	f.send(t, context.Background(), "/once/", nil)
	f.send(t, context.Background(), "/elsewhere/", nil)
	f.site.DropUpstream("u0")
	f.put(s)
	f.send(t, context.Background(), "/stream/", nil)
	// These are exported only for a service of mixed urgency.
	mixed := mixedConfig(streamRoute("urgent", 0), streamRoute("batch", 7))
	mixed.Version = f.site.Now().Config.Version + 1
	f.site.SetConfig(*mixed)
	if res := f.send(t, context.Background(), "/urgent/", map[string]string{"X-Max": "1"}); res.status != http.StatusOK || res.err != nil {
		t.Fatalf("stream: got %d, %q, %v, want it answered", res.status, res.body, res.err)
	}
	await(t, "the stream has ended", f.entry.Idle)
	slots := &slotFixture{fixture: f, now: f.entry.now()}
	slots.limitRate("u1")
	slots.play(50)
	var text bytes.Buffer
	f.entry.deps.Metrics.WritePrometheus(&text)
	exported := map[string]bool{}
	for _, match := range exportedName.FindAllStringSubmatch(text.String(), -1) {
		exported[family(match[1])] = true
	}
	described := map[string]bool{}
	for _, match := range describedName.FindAllStringSubmatch(string(page), -1) {
		described[match[1]] = true
	}
	got, want := slices.Sorted(maps.Keys(exported)), slices.Sorted(maps.Keys(described))
	if !slices.Equal(got, want) {
		t.Errorf("exported: got %q, want what the page describes: %q", got, want)
	}
}

// family returns the name of a metric without the suffix of a histogram's series.
func family(name string) string {
	for _, ending := range []string{"_bucket", "_sum", "_count"} {
		if base, ok := strings.CutSuffix(name, ending); ok && (strings.HasSuffix(base, "_seconds") || strings.HasSuffix(base, "_ratio")) {
			return base
		}
	}
	return name
}
