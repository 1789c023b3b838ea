package burdocksync

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/external/burdockstore"
	"burdockbend.example/burdockbend/internal/standin/burdockfakestore"
	"burdockbend.example/burdockbend/internal/standin/burdockfault"
	"burdockbend.example/burdockbend/internal/state/burdockconfig"
	"go.uber.org/zap"
)

// Operators write the configuration of a fleet key by key. Each write ends the watch of
// each entry; if hundreds of entries asked again at once, the store could not keep up with
// the writes. A watcher limits its watches and still receives every key.
func TestBurstOfWritesDoesNotMultiplyWatches(t *testing.T) {
	clock := burdockclock.System()
	injector := burdockfault.NewInjector(burdockfakestore.New(clock))
	server := httptest.NewServer(injector)
	defer server.Close()
	store := burdockstore.NewHTTP([]string{server.Listener.Addr().String()})
	view := burdockconfig.NewView()
	w := NewWatcher(store, view, NewSource(clock), clock, zap.NewNop())
	startedAt := clock.Boot()
	w.Start()
	defer w.Close()
	writer := NewWriter(store)
	const writes = 100
	for i := range writes {
		if _, err := writer.Write(context.Background(), Edit{Key: fmt.Sprintf("customer/%d", i), Value: []byte("{}")}); err != nil {
			t.Fatalf("write %d: %v", i, err)
		}
		time.Sleep(10 * time.Millisecond) // the next watch starts in the meantime
	}
	for deadline := time.Now().Add(time.Minute); view.Len() < writes; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("keys received: got %d, want %d", view.Len(), writes)
		}
	}
	maxWatches := int((clock.Boot()-startedAt)/minWatchInterval) + 1
	if got := injector.Counts()["GET /v1/watch"]; got > maxWatches {
		t.Errorf("watches during %d writes: got %d, want at most %d", writes, got, maxWatches)
	}
}
