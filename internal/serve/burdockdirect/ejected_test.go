package burdockdirect

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
)

// Guards against refusing every request when the only remaining upstream is an ejected one
// that has recovered.
func TestEjectedUpstreamIsUsedWhenNoOtherIsLeft(t *testing.T) {
	var failing atomic.Bool
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		if failing.Load() {
			cutConnection(w, r)
		}
		answerOK(w, r)
	})
	other := newUpstream(t, answerOK)
	f := newFixture(t, testTimeout, u, other)
	failing.Store(true)
	for range 40 { // repeatable, so that suspicion alone doesn't keep them away
		f.send(t, context.Background(), "/again/", nil)
	}
	before := u.seen()
	for range 10 {
		f.send(t, context.Background(), "/once/", nil)
	}
	if got := u.seen() - before; got != 0 {
		t.Fatalf("requests at the failing upstream: got %d, want none", got)
	}
	failing.Store(false)
	f.site.DropUpstream("u1")
	for i := range 10 {
		if got := f.send(t, context.Background(), "/once/", nil); got.status != http.StatusOK {
			t.Errorf("request %d: got status %d, want 200", i, got.status)
		}
	}
}
