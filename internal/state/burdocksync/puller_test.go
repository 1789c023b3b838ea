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

// stayingPuller returns an agent's puller of n entries, and their sources.
func stayingPuller(t *testing.T, n int) (*Puller, map[string]*Source, map[string]*httptest.Server) {
	t.Helper()
	clock := burdockclock.System()
	sources, servers := map[string]*Source{}, map[string]*httptest.Server{}
	var whom []string
	for range n {
		source := NewSource(clock)
		_, handler := burdockwire.NewPeerServiceHandler(NewHandler(burdockconfig.NewView(), source))
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		address := server.Listener.Addr().String()
		whom = append(whom, address)
		sources[address], servers[address] = source, server
	}
	view := burdockconfig.NewView()
	p := NewStickyPuller(view, NewSource(clock), burdocktransport.NewPeers(nil), func() []string { return whom }, zap.NewNop())
	return p, sources, servers
}

func TestStayingPullerKeepsItsEntryForAWhile(t *testing.T) {
	p, sources, _ := stayingPuller(t, 50)
	for _, source := range sources {
		source.verify()
	}
	p.once(context.Background())
	first := p.current
	for range stayPulls - 1 {
		p.once(context.Background())
		if got, want := p.current, first; got != want {
			t.Fatalf("entry asked: got %q, want still %q", got, want)
		}
	}
	// The same one may be drawn again, but not 20 times out of 50 entries.
	for range 20 * stayPulls {
		p.once(context.Background())
		if p.current != first {
			return
		}
	}
	t.Errorf("entry asked after %d pulls: got %q, want another", 21*stayPulls, first)
}

// An agent stays with an entry that dies, or that is cut off from the store
// and from all others. It must turn to another one at its next pull: an agent
// that is not verified refuses requests with keys.
func TestStayingPullerLeavesAnEntryThatCannotHelp(t *testing.T) {
	for _, killed := range []bool{false, true} {
		t.Run(fmt.Sprintf("killed=%v", killed), func(t *testing.T) {
			p, sources, servers := stayingPuller(t, 2)
			for address, source := range sources {
				if killed {
					source.verify()
				}
				p.current = address
			}
			if killed {
				servers[p.current].Close()
			}
			p.once(context.Background())
			if got, want := p.current, ""; got != want {
				t.Errorf("entry that the puller stays with: got %q, want none", got)
			}
		})
	}
}
