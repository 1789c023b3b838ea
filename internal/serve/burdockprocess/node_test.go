package burdockprocess

import (
	"slices"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/config/burdocksettings"
	"burdockbend.example/burdockbend/internal/state/burdockconfig"
	"burdockbend.example/burdockbend/internal/state/burdockfleet"
	"burdockbend.example/burdockbend/internal/state/burdocksync"
)

// All entries share one list of peers, so each finds its own address on it. An entry
// that is cut off must not mistake its own answer for that of another entry.
func TestEntryDoesNotAskItself(t *testing.T) {
	const self, other = "10.20.0.5:7400", "10.20.0.6:7400"
	n := &node{fleet: burdockfleet.Follow(burdockconfig.NewView()), source: burdocksync.NewSource(burdockclock.System())}
	n.settings = burdocksettings.Common{PeerListen: self, Peers: []string{self, other}}
	if got, want := n.entryPeers(), []string{other}; !slices.Equal(got, want) {
		t.Errorf("peers: got %v, want %v", got, want)
	}
}
