package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the largest number of items in one answer to a range call.
const pageSize = 500

// item is a key of the store as its API returns it.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	CreateRev int64  `json:"create_rev,omitempty"`
	Lease     int64  `json:"lease"`
	Deleted   bool   `json:"deleted,omitempty"`
}

// store is the platform's metadata store. It loses nothing, keeps its whole history and
// ends leases in time.
type store struct {
	server  *http.Server
	address string

	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	changed  chan struct{} // closed at the next change
	leases   map[int64]*time.Timer
	ttls     map[int64]time.Duration
}

// startStore starts an empty store at a free port.
func startStore() (*store, error) {
	s := &store{
		revision: 1, items: map[string]item{}, changed: make(chan struct{}),
		leases: map[int64]*time.Timer{}, ttls: map[int64]time.Duration{},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.key)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.write)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go s.run(l)
	return s, nil
}

func (s *store) run(l net.Listener) { _ = s.server.Serve(l) }

func (s *store) close() { _ = s.server.Close() }

// put is what the operator or a replica writes. It returns when the store has accepted it.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // unreachable: plain structs
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]item{{Key: key, Value: data}}, nil)
	return time.Now()
}

// remove removes keys in one transaction and returns when the store has accepted that.
func (s *store) remove(keys ...string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, keys)
	return time.Now()
}

// apply makes one change of the store. The lock must be held.
func (s *store) apply(puts []item, deletes []string) {
	s.revision++
	for _, p := range puts {
		p.Revision, p.CreateRev = s.revision, s.revision
		if old, ok := s.items[p.Key]; ok {
			p.CreateRev = old.CreateRev
		}
		s.items[p.Key] = p
		s.history = append(s.history, p)
	}
	for _, key := range deletes {
		if _, ok := s.items[key]; !ok {
			continue
		}
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		Current int64 `json:"current_rev"`
	}{it, s.revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			entries = append(entries, it)
		}
	}
	slices.SortFunc(entries, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(entries) > pageSize
	reply(w, http.StatusOK, map[string]any{"entries": entries[:min(len(entries), pageSize)], "has_more": more, "current_rev": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		events, revision, changed := s.since(query.Get("prefix"), after)
		if len(events) > 0 || over {
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the changes after a revision, the current revision, and a channel that is
// closed at the next change.
func (s *store) since(prefix string, after int64) ([]item, int64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := []item{}
	for _, it := range s.history {
		if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
			events = append(events, it)
		}
	}
	return events, s.revision, s.changed
}

type writeCall struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expected"`
	Puts    []item   `json:"puts"`
	Deletes []string `json:"deletes"`
}

func (s *store) write(w http.ResponseWriter, r *http.Request) {
	var call writeCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []item{}, true
	for _, e := range call.Expected {
		it := s.items[e.Key]
		current = append(current, it)
		holds = holds && it.Revision == e.Revision
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"entries": current})
		return
	}
	for _, p := range call.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, http.StatusForbidden, struct{}{})
			return
		}
	}
	s.apply(call.Puts, call.Deletes)
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var call struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := int64(len(s.ttls) + 1)
	s.ttls[id] = time.Duration(max(call.TTL, 1000)) * time.Millisecond
	s.leases[id] = time.AfterFunc(s.ttls[id], func() { s.expire(id) })
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": s.ttls[id].Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	timer, ok := s.leases[id]
	if !ok || !timer.Stop() {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	timer.Reset(s.ttls[id])
	reply(w, http.StatusOK, struct{}{})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.expire(id)
	reply(w, http.StatusOK, struct{}{})
}

// expire ends a lease and removes its keys.
func (s *store) expire(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	timer, ok := s.leases[id]
	if !ok {
		return
	}
	timer.Stop()
	delete(s.leases, id)
	var keys []string
	for key, it := range s.items {
		if it.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		s.apply(nil, keys)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	// If writing fails, the caller has gone.
	_ = json.NewEncoder(w).Encode(body)
}
