package burdocksync

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/state/burdockconfig"
	"burdockbend.example/burdockbend/internal/wire/burdocktransport"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"go.uber.org/zap"
)

// An agent has written a key, and the store fails before any watcher reads it. The entry
// that the agent pulls from lacks the key and never asks agents itself. After the pull
// both have the same configuration.
func TestPullSendsMissingEntries(t *testing.T) {
	clock := burdockclock.System()
	entry, agent := burdockconfig.NewView(), burdockconfig.NewView()
	common := []burdockconfig.Entry{{Key: "profile/bench", Version: 1, Mark: "a"}}
	entry.Merge(append(common, burdockconfig.Entry{Key: "customer/new", Version: 1, Mark: "b"}))
	agent.Merge(append(common, burdockconfig.Entry{Key: "keyHome/llm-pool/7", Version: 2, Mark: "c"}))
	mux := http.NewServeMux()
	mux.Handle(burdockwire.NewPeerServiceHandler(NewHandler(entry, NewSource(clock))))
	server := httptest.NewServer(mux)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	addresses := func() []string { return []string{address} }
	p := NewPuller(agent, NewSource(clock), burdocktransport.NewPeers(nil), addresses, zap.NewNop())
	if _, err := p.pull(context.Background(), address); err != nil {
		t.Fatalf("pull: %v", err)
	}
	if _, ok := entry.Get("keyHome/llm-pool/7"); !ok {
		t.Error("the entry lacks the key that only the agent had")
	}
	if got, want := entry.Digest(), agent.Digest(); got != want {
		t.Errorf("digest of the entry: got %x, want that of the agent, %x", got, want)
	}
}
