package burdockdirect

import (
	"context"
	"net/http"
	"testing"

	"burdockbend.example/burdockbend/internal/decide/burdockplace"
)

// newLeavingUpstream returns an upstream that says that it leaves, and serves.
func newLeavingUpstream(t *testing.T) *upstream {
	t.Helper()
	return newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Leaving", "1")
		answerOK(w, r)
	})
}

// Guards against a way to an upstream on which it is not checked whether it leaves.
func TestNoWayLeadsToAnUpstreamThatLeaves(t *testing.T) {
	for way := range ways {
		f := newFixture(t, testTimeout, newLeavingUpstream(t))
		if got := f.send(t, context.Background(), "/again/", nil); got.status != http.StatusOK {
			t.Fatalf("first request: got status %d, want 200", got.status)
		}
		if got, reason, ok := f.chooseBy(way); ok {
			t.Errorf("way %s: got %q by %q, want none", way, got, reason)
		}
	}
}

// Guards against an upstream that leaves and is listed again, and against another process
// under its ID that is taken for it.
func TestLeavingIsForTheProcessNotForItsID(t *testing.T) {
	f := newFixture(t, testTimeout, newLeavingUpstream(t))
	u := f.site.Now().Members("s")[0]
	u.StartedAt = 7
	f.site.PutUpstream(u)
	f.send(t, context.Background(), "/again/", nil)
	f.site.DropUpstream("u0")
	f.site.PutUpstream(u)
	if got, _, ok := f.chooseBy(burdockplace.ReasonNoPrefix); ok {
		t.Errorf("listed again: got %q, want none", got)
	}
	u.StartedAt = 8
	f.site.PutUpstream(u)
	if got, _, ok := f.chooseBy(burdockplace.ReasonNoPrefix); !ok || got != "u0" {
		t.Errorf("another process: got %q, want u0", got)
	}
}

func TestLeavingLeavesALineAndTakesSlots(t *testing.T) {
	f := newFixture(t, testTimeout, newLeavingUpstream(t), newUpstream(t, answerOK))
	logs := f.observeLog()
	await(t, "the upstream has said that it leaves", func() bool {
		f.send(t, context.Background(), "/again/", nil)
		return f.entry.pool("s").leavingUpstreams() == 1
	})
	await(t, "its slots are gone", func() bool { return f.entry.pool("s").gate.load().Slots == 4 })
	lines := logs.FilterMessage("upstream says that it leaves").All()
	if len(lines) != 1 || lines[0].ContextMap()["upstream"] != "u0" {
		t.Errorf("lines: got %v, want one of u0", lines)
	}
}
