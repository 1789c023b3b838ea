package burdockfakestore

import (
	"maps"

	"burdockbend.example/burdockbend/internal/external/burdockstore"
)

// Paths of the stand-in's own commands.
const (
	// PathSnapshot keeps the state as it is now.
	PathSnapshot = "/snapshot"
	// PathRestore goes back to the state that was kept.
	PathRestore = "/restore"
)

// state is what a restart from a backup brings back.
type state struct {
	revision burdockstore.Revision
	entries  map[string]burdockstore.Entry
	leases   map[string]lease
}

// Snapshot keeps the state as it is now.
func (s *Server) Snapshot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kept = state{revision: s.revision, entries: maps.Clone(s.entries), leases: maps.Clone(s.leases)}
}

// Restore restarts the store from the state that Snapshot kept: later writes
// are lost, revisions count on from the old one, and watches are cut.
func (s *Server) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = s.kept.revision
	s.entries = clone(s.kept.entries)
	s.leases = clone(s.kept.leases)
	close(s.restarts)
	s.restarts = make(chan struct{})
}

// clone returns a map that can be written to, also of a nil one.
func clone[K comparable, V any](m map[K]V) map[K]V {
	copied := make(map[K]V, len(m))
	maps.Copy(copied, m)
	return copied
}

// restarted returns the channel that is closed on the next Restore.
func (s *Server) restarted() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.restarts
}
