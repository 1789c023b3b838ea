// Package burdockfault injects faults into the HTTP handler of a stand-in and counts its
// requests.
package burdockfault

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// Mode is a kind of fault.
type Mode string

// Kinds of faults.
const (
	// None injects no fault.
	None Mode = ""
	// Down closes the connection of each request without an answer.
	Down Mode = "down"
	// LostAnswer executes each request, then closes the connection without an answer.
	LostAnswer Mode = "lostAnswer"
	// LateEffect closes the connection without an answer and executes the request
	// DelayMillis later.
	LateEffect Mode = "lateEffect"
	// Silent accepts each request and never answers.
	Silent Mode = "silent"
)

// Setting is the fault that a stand-in shows until the next setting.
type Setting struct {
	Mode        Mode                `json:"mode"`
	DelayMillis burdockclock.Millis `json:"delayMillis"`
	// Only, if set, limits the fault and the delay to requests with this method.
	Only string `json:"only"`
}

// Injector wraps a stand-in's handler. It is controlled by PUT /fault with a Setting, and
// GET /counts returns its request counts.
type Injector struct {
	next http.Handler

	mu      sync.Mutex
	setting Setting
	counts  map[string]int
}

// NewInjector returns an Injector in front of next.
func NewInjector(next http.Handler) *Injector {
	return &Injector{next: next, counts: map[string]int{}}
}

// Set sets the fault for the requests that follow.
func (i *Injector) Set(s Setting) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.setting = s
}

// Counts returns the number of requests by "METHOD path".
func (i *Injector) Counts() map[string]int {
	i.mu.Lock()
	defer i.mu.Unlock()
	copied := make(map[string]int, len(i.counts))
	for k, n := range i.counts {
		copied[k] = n
	}
	return copied
}

// ServeHTTP implements http.Handler.
func (i *Injector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/fault":
		i.serveFault(w, r)
	case "/counts":
		_ = json.NewEncoder(w).Encode(i.Counts())
	default:
		i.serve(w, r)
	}
}

func (i *Injector) serveFault(w http.ResponseWriter, r *http.Request) {
	var s Setting
	if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	i.Set(s)
}

func (i *Injector) serve(w http.ResponseWriter, r *http.Request) {
	s := i.countRequest(r)
	if s.Only != "" && s.Only != r.Method {
		s = Setting{}
	}
	if s.Mode == LateEffect {
		i.serveLate(r, s.DelayMillis)
	}
	if s.DelayMillis > 0 {
		select {
		case <-time.After(s.DelayMillis.Duration()):
		case <-r.Context().Done():
			return
		}
	}
	switch s.Mode {
	case Down:
		panic(http.ErrAbortHandler)
	case Silent:
		<-r.Context().Done()
	case LostAnswer:
		i.next.ServeHTTP(discard{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	default:
		i.next.ServeHTTP(w, r)
	}
}

// serveLate closes the connection now and executes the request after delay, when its
// caller has already given up.
func (i *Injector) serveLate(r *http.Request, delay burdockclock.Millis) {
	body, err := io.ReadAll(r.Body)
	if err == nil {
		late := r.Clone(context.WithoutCancel(r.Context()))
		late.Body = io.NopCloser(bytes.NewReader(body))
		time.AfterFunc(delay.Duration(), func() { i.next.ServeHTTP(discard{header: http.Header{}}, late) })
	}
	panic(http.ErrAbortHandler)
}

func (i *Injector) countRequest(r *http.Request) Setting {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.counts[r.Method+" "+r.URL.Path]++
	return i.setting
}

// discard is an http.ResponseWriter that drops the response.
type discard struct{ header http.Header }

// Header implements http.ResponseWriter.
func (d discard) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d discard) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader implements http.ResponseWriter.
func (d discard) WriteHeader(int) {}
