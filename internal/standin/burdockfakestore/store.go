// Package burdockfakestore implements an in-memory stand-in for the platform's
// configuration store, served over HTTP, for tests and for trying the system out.
package burdockfakestore

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/external/burdockstore"
)

// maxValueBytes is the largest value that the platform's store accepts.
const maxValueBytes = 1 << 20

// Server is a fake store. It holds entries and leases.
type Server struct {
	clock burdockclock.Clock
	mux   *http.ServeMux

	mu       sync.Mutex
	changed  chan struct{} // closed and replaced on each write
	revision burdockstore.Revision
	entries  map[string]burdockstore.Entry
	leases   map[string]lease
	saved    state         // state saved by Snapshot
	restarts chan struct{} // closed and replaced on each Restore
}

type lease struct {
	holder  string
	fence   burdockid.Fence
	expires burdockclock.Millis
}

// New returns an empty store.
func New(clock burdockclock.Clock) *Server {
	s := &Server{
		clock:    clock,
		mux:      http.NewServeMux(),
		changed:  make(chan struct{}),
		entries:  map[string]burdockstore.Entry{},
		leases:   map[string]lease{},
		restarts: make(chan struct{}),
	}
	s.mux.HandleFunc("GET /v1/key", s.get)
	s.mux.HandleFunc("PUT /v1/key", s.put)
	s.mux.HandleFunc("GET /v1/list", s.list)
	s.mux.HandleFunc("GET /v1/watch", s.watch)
	s.mux.HandleFunc("POST /v1/lease", s.acquireLease)
	s.mux.HandleFunc("GET /v1/lease", s.leaseFence)
	s.mux.HandleFunc("DELETE /v1/lease", s.releaseLease)
	s.mux.HandleFunc("POST "+PathSnapshot, func(http.ResponseWriter, *http.Request) { s.Snapshot() })
	s.mux.HandleFunc("POST "+PathRestore, func(http.ResponseWriter, *http.Request) { s.Restore() })
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	e, ok := s.entries[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	writeJSON(w, e)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	prev, err := strconv.ParseUint(r.URL.Query().Get("prev"), 10, 64)
	if err != nil {
		http.Error(w, "prev: "+err.Error(), http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	revision, ok := s.swap(r.URL.Query().Get("key"), burdockstore.Revision(prev), value)
	if !ok {
		http.Error(w, "revision is "+strconv.FormatUint(uint64(revision), 10), http.StatusConflict)
		return
	}
	writeJSON(w, burdockstore.WriteResult{Revision: revision})
}

// swap writes value if the key's revision is prev. It returns the key's revision and
// whether value was written.
func (s *Server) swap(key string, prev burdockstore.Revision, value []byte) (burdockstore.Revision, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.entries[key].Revision; current != prev {
		return current, false
	}
	s.revision++
	s.entries[key] = burdockstore.Entry{Key: key, Value: value, Revision: s.revision}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision, true
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	listing, _ := s.changedAfter(r.URL.Query().Get("prefix"), 0)
	writeJSON(w, listing)
}

// changedAfter returns the entries under prefix that changed after a revision, and the
// channel that is closed on the next write.
func (s *Server) changedAfter(prefix string, after burdockstore.Revision) (burdockstore.Listing, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listing := burdockstore.Listing{Revision: s.revision, Entries: []burdockstore.Entry{}}
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) && e.Revision > after {
			listing.Entries = append(listing.Entries, e)
		}
	}
	return listing, s.changed
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("waitMillis"), 10, 64)
	timeout := time.After(burdockclock.Millis(wait).Duration())
	restarted := s.nextRestart()
	for {
		listing, changed := s.changedAfter(r.URL.Query().Get("prefix"), burdockstore.Revision(after))
		if len(listing.Entries) > 0 {
			writeJSON(w, listing)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, listing)
			return
		case <-restarted:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) acquireLease(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	ttl, err := strconv.ParseInt(q.Get("ttlMillis"), 10, 64)
	if err != nil {
		http.Error(w, "ttlMillis: "+err.Error(), http.StatusBadRequest)
		return
	}
	fence, ok := s.grant(q.Get("name"), q.Get("holder"), burdockclock.Millis(ttl))
	if !ok {
		http.Error(w, "held by another", http.StatusConflict)
		return
	}
	writeJSON(w, burdockstore.LeaseGrant{Fence: fence})
}

func (s *Server) grant(name, holder string, ttl burdockclock.Millis) (burdockid.Fence, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Boot()
	current := s.leases[name]
	expired := current.expires <= now
	if current.holder != holder && !expired {
		return 0, false
	}
	if current.holder != holder || expired {
		// A holder whose lease expired also gets a new fencing number, because another
		// holder may have acquired and released the lease in the meantime.
		current.fence++
	}
	current.holder, current.expires = holder, now+ttl
	s.leases[name] = current
	return current.fence, true
}

func (s *Server) leaseFence(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	fence := s.leases[r.URL.Query().Get("name")].fence
	s.mu.Unlock()
	writeJSON(w, burdockstore.LeaseGrant{Fence: fence})
}

func (s *Server) releaseLease(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := s.leases[q.Get("name")]
	if ok && current.holder == q.Get("holder") {
		current.expires = 0
		s.leases[q.Get("name")] = current
	}
	writeJSON(w, struct{}{})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
