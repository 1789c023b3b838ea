package burdockdirect

import (
	"context"
	"net/http"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// notifyAll returns a function that notifies all entries at once.
func notifyAll(fixtures []*fixture) func(burdockid.Upstream) {
	return func(u burdockid.Upstream) {
		for _, f := range fixtures {
			go f.entry.MarkSuspected([]burdockid.Upstream{u})
		}
	}
}

// Guards against twelve entries each losing requests that may run only once to the same
// upstream, which resets all connections.
func TestAllEntriesAvoidUpstreamAfterOneFailure(t *testing.T) {
	const entries, requests = 12, 10
	bad := newUpstream(t, cutConnection)
	healthy := []*upstream{newUpstream(t, answerOK), newUpstream(t, answerOK)}
	var fixtures []*fixture
	for range entries {
		fixtures = append(fixtures, newFixture(t, testTimeout, bad, healthy[0], healthy[1]))
	}
	for _, f := range fixtures {
		f.entry.pool("s") // creates the pool, as the first request does
		f.entry.deps.PublishSuspected = notifyAll(fixtures)
	}
	failed := 0
	for range requests {
		for _, f := range fixtures {
			got := f.send(t, context.Background(), "/once/", nil)
			if got.status != http.StatusOK {
				failed++
				awaitSuspected(t, fixtures)
			}
		}
	}
	if limit := 1; failed > limit {
		t.Errorf("failed requests that may run only once: got %d of %d, want at most %d", failed, entries*requests, limit)
	}
}

// awaitSuspected waits until all entries suspect an upstream.
func awaitSuspected(t *testing.T, fixtures []*fixture) {
	t.Helper()
	for _, f := range fixtures {
		p := f.entry.pool("s")
		await(t, "all entries suspect the upstream", func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			return len(p.suspected.Suspected(f.entry.now(), len(p.members))) > 0
		})
	}
}
