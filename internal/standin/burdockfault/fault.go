// Package burdockfault lets a stand-in be told to fail, and counts what it is
// asked.
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

// Mode is a way to fail.
type Mode string

// Ways to fail.
const (
	// None serves as usual.
	None Mode = ""
	// Down cuts each connection without an answer.
	Down Mode = "down"
	// LostAnswer carries each call out, then cuts the connection.
	LostAnswer Mode = "lostAnswer"
	// LateEffect cuts each connection without an answer, and carries the call
	// out DelayMillis later.
	LateEffect Mode = "lateEffect"
	// Silent takes each call and never answers.
	Silent Mode = "silent"
)

// Setting says how a stand-in fails until the next setting.
type Setting struct {
	Mode        Mode                `json:"mode"`
	DelayMillis burdockclock.Millis `json:"delayMillis"`
	// Only, when set, limits the fault to calls with this method.
	Only string `json:"only"`
}

// Injector wraps a stand-in's handler. Its own interface is PUT /fault with a
// Setting and GET /counts.
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

// Set changes how the stand-in fails.
func (i *Injector) Set(s Setting) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.setting = s
}

// Counts returns how often each "METHOD path" was asked for.
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
	s := i.begin(r)
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

// serveLate carries a call out later than its caller has given it up.
func (i *Injector) serveLate(r *http.Request, delay burdockclock.Millis) {
	body, err := io.ReadAll(r.Body)
	if err == nil {
		late := r.Clone(context.WithoutCancel(r.Context()))
		late.Body = io.NopCloser(bytes.NewReader(body))
		time.AfterFunc(delay.Duration(), func() { i.next.ServeHTTP(discard{header: http.Header{}}, late) })
	}
	panic(http.ErrAbortHandler)
}

func (i *Injector) begin(r *http.Request) Setting {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.counts[r.Method+" "+r.URL.Path]++
	return i.setting
}

// discard is a ResponseWriter that sends nothing.
type discard struct{ header http.Header }

// Header implements http.ResponseWriter.
func (d discard) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d discard) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader implements http.ResponseWriter.
func (d discard) WriteHeader(int) {}
