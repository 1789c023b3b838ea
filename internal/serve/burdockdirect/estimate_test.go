package burdockdirect

import (
	"fmt"
	"net/http"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
)

// streamEvents answers with a stream of n events.
func streamEvents(n int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range n {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
		}
	}
}

// requestCost returns the cost of a request with a hint at the service of mixed urgency.
func (f *fixture) requestCost(hint burdockid.Tokens) burdockid.Tokens {
	cfg := f.site.Now().Config
	req := &request{CallerHeaders: CallerHeaders{MaxOutputTokens: 400, LengthHint: hint}, route: &cfg.Routes[0], service: "s"}
	req.enginePriority = enginePriority(cfg, req.service, SharedAdmissionAuto, 0)
	return costOf(0, f.entry.outputTokens(req))
}

// Requests that state a maximum far above the length of their answers look as costly as long
// ones. The answers teach how long those with a hint are.
func TestCostFollowsLearnedHints(t *testing.T) {
	u := newUpstream(t, streamEvents(50))
	f := startFixture(t)
	cfg := mixedConfig(streamRoute("urgent", 0), streamRoute("batch", 7))
	for i := range 5 {
		cfg.Customers = append(cfg.Customers, burdocksite.Customer{Name: burdockid.Customer(fmt.Sprint("c", i)), Keys: []string{fmt.Sprint("key", i)}})
	}
	f.site.SetConfig(*cfg)
	f.put(u)
	if got, want := f.requestCost(100), burdockid.Tokens(1000); got != want {
		t.Errorf("cost by a hint of 100: got %d, want %d", got, want)
	}
	for i := range 20 {
		// 50 events of 4 tokens are twice the hint.
		res := f.send(t, t.Context(), "/urgent/", map[string]string{"X-Max": "400", "X-Hint": "100", "X-Key": fmt.Sprint("key", i%5)})
		if res.status != http.StatusOK || res.err != nil {
			t.Fatalf("stream %d: got %d, %v", i, res.status, res.err)
		}
	}
	// The streams are learned from after their callers have them.
	await(t, "cost by a hint of 100 is that of 200 tokens", func() bool { return f.requestCost(100) == 2000 })
	for _, hint := range []burdockid.Tokens{0, -1, 401, 1 << 62} {
		if got, want := f.requestCost(hint), burdockid.Tokens(4000); got != want {
			t.Errorf("cost by a hint of %d: got %d, want that of the maximum, %d", hint, got, want)
		}
	}
}

// A service without requests of mixed urgency must be served exactly as before.
func TestHintsCountOnlyForMixedUrgency(t *testing.T) {
	f := startFixture(t)
	f.site.SetConfig(*mixedConfig(streamRoute("urgent", 0)))
	if got, want := f.requestCost(100), burdockid.Tokens(4000); got != want {
		t.Errorf("cost: got %d, want that of the maximum, %d", got, want)
	}
}

// A caller that understates the length of its answers must not get more than its share.
func TestServedCostIsOfTheActualLength(t *testing.T) {
	f := startFixture(t)
	f.site.SetConfig(*mixedConfig(streamRoute("urgent", 0), streamRoute("batch", 7)))
	cfg := f.site.Now().Config
	req := &request{CallerHeaders: CallerHeaders{PromptTokens: 30, MaxOutputTokens: 400, LengthHint: 1}, route: &cfg.Routes[0], service: "s", cost: 40, outputTokens: 1}
	req.enginePriority = enginePriority(cfg, req.service, SharedAdmissionAuto, 0)
	o := &offers{entry: f.entry, pool: f.entry.pool("s"), req: req, eventCount: 50}
	if got, want := o.servedCost(), burdockid.Tokens(2030); got != want {
		t.Errorf("served cost: got %d, want %d", got, want)
	}
	req.LastEventID = "7"
	if got, want := o.servedCost(), req.cost; got != want {
		t.Errorf("served cost of a resumed stream: got %d, want the estimate %d", got, want)
	}
}
