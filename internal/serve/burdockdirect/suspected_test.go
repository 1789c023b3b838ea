package burdockdirect

import (
	"context"
	"net/http"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// tellAll returns what tells all entries at once.
func tellAll(fixtures []*fixture) func(burdockid.Upstream) {
	return func(u burdockid.Upstream) {
		for _, f := range fixtures {
			go f.entry.MarkSuspected([]burdockid.Upstream{u})
		}
	}
}

// Guards against twelve entries that each lose callers of requests which may run once
// to one upstream that resets them all.
func TestOneFailureHasAllEntriesAvoidAnUpstream(t *testing.T) {
	const entries, requests = 12, 10
	bad := newUpstream(t, cutConnection)
	sound := []*upstream{newUpstream(t, answerOK), newUpstream(t, answerOK)}
	var fixtures []*fixture
	for range entries {
		fixtures = append(fixtures, newFixture(t, usualTimeout, bad, sound[0], sound[1]))
	}
	for _, f := range fixtures {
		f.entry.pool("s") // as after the first request
		f.entry.deps.PublishSuspected = tellAll(fixtures)
	}
	failed := 0
	for range requests {
		for _, f := range fixtures {
			got := f.send(t, context.Background(), "/once/", nil)
			if got.status != http.StatusOK {
				failed++
				awaitDoubt(t, fixtures)
			}
		}
	}
	if most := 1; failed > most {
		t.Errorf("requests that may run once and failed: got %d of %d, want %d at most", failed, entries*requests, most)
	}
}

// awaitDoubt waits until all entries know of an upstream in doubt.
func awaitDoubt(t *testing.T, fixtures []*fixture) {
	t.Helper()
	for _, f := range fixtures {
		p := f.entry.pool("s")
		await(t, "doubt at all entries", func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			return len(p.suspected.Suspected(f.entry.now(), len(p.members))) > 0
		})
	}
}
