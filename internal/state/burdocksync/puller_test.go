package burdocksync

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/state/burdockconfig"
	"burdockbend.example/burdockbend/internal/wire/burdocktransport"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"go.uber.org/zap"
)

// stickyPuller returns an agent's puller from n entries, and the entries' sources and
// servers by address.
func stickyPuller(t *testing.T, n int) (*Puller, map[string]*Source, map[string]*httptest.Server) {
	t.Helper()
	clock := burdockclock.System()
	sources, servers := map[string]*Source{}, map[string]*httptest.Server{}
	var addresses []string
	for range n {
		source := NewSource(clock)
		_, handler := burdockwire.NewPeerServiceHandler(NewHandler(burdockconfig.NewView(), source))
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		address := server.Listener.Addr().String()
		addresses = append(addresses, address)
		sources[address], servers[address] = source, server
	}
	view := burdockconfig.NewView()
	p := NewStickyPuller(view, NewSource(clock), burdocktransport.NewPeers(nil), func() []string { return addresses }, zap.NewNop())
	return p, sources, servers
}

func TestStickyPullerKeepsItsEntry(t *testing.T) {
	p, sources, _ := stickyPuller(t, 50)
	for _, source := range sources {
		source.markVerified()
	}
	p.once(context.Background())
	first := p.current
	for range stickyPulls - 1 {
		p.once(context.Background())
		if got, want := p.current, first; got != want {
			t.Fatalf("entry asked: got %q, want still %q", got, want)
		}
	}
	// The same entry may be chosen again, but not 20 times out of 50 entries.
	for range 20 * stickyPulls {
		p.once(context.Background())
		if p.current != first {
			return
		}
	}
	t.Errorf("entry asked after %d pulls: got %q, want another", 21*stickyPulls, first)
}

// The entry that an agent pulls from stops, or is partitioned from the store and from all
// other entries. The agent must choose another one for its next pull, because an agent
// that is not verified refuses requests with keys.
func TestStickyPullerLeavesFailedEntry(t *testing.T) {
	for _, killed := range []bool{false, true} {
		t.Run(fmt.Sprintf("killed=%v", killed), func(t *testing.T) {
			p, sources, servers := stickyPuller(t, 2)
			for address, source := range sources {
				if killed {
					source.markVerified()
				}
				p.current = address
			}
			if killed {
				servers[p.current].Close()
			}
			p.once(context.Background())
			if got, want := p.current, ""; got != want {
				t.Errorf("current entry: got %q, want none", got)
			}
		})
	}
}
