package burdockfakestore

import (
	"maps"

	"burdockbend.example/burdockbend/internal/external/burdockstore"
)

// Paths of the stand-in's control interface, which the platform's store does not have.
const (
	// PathSnapshot saves the current state; see Server.Snapshot.
	PathSnapshot = "/snapshot"
	// PathRestore returns to the saved state; see Server.Restore.
	PathRestore = "/restore"
)

// state is the part of a store that a restart from a backup restores.
type state struct {
	revision burdockstore.Revision
	entries  map[string]burdockstore.Entry
	leases   map[string]lease
}

// Snapshot saves the current state for Restore, replacing an earlier snapshot.
func (s *Server) Snapshot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saved = state{revision: s.revision, entries: maps.Clone(s.entries), leases: maps.Clone(s.leases)}
}

// Restore simulates a restart of the store from a backup, the state saved by Snapshot.
// Later writes are lost, revisions continue from the saved one, and open watches are
// disconnected.
func (s *Server) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = s.saved.revision
	s.entries = clone(s.saved.entries)
	s.leases = clone(s.saved.leases)
	close(s.restarts)
	s.restarts = make(chan struct{})
}

// clone returns a copy of m. Unlike maps.Clone, it returns a writable map for a nil m.
func clone[K comparable, V any](m map[K]V) map[K]V {
	copied := make(map[K]V, len(m))
	maps.Copy(copied, m)
	return copied
}

// nextRestart returns the channel that is closed by the next Restore.
func (s *Server) nextRestart() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.restarts
}
