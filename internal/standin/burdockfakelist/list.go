// Package burdockfakelist is a stand-in for the platform's membership list. A
// change shows only after its lag.
package burdockfakelist

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/external/burdocklist"
)

// Server holds the list. PUT /v1/vms takes one VM.
type Server struct {
	clock burdockclock.Clock
	lag   burdockclock.Millis

	mu      sync.Mutex
	changes map[burdockid.VM][]change // oldest first
}

type change struct {
	at    burdockclock.Millis
	state burdocklist.State
}

// New returns an empty list that shows a change after lag.
func New(clock burdockclock.Clock, lag burdockclock.Millis) *Server {
	return &Server{clock: clock, lag: lag, changes: map[burdockid.VM][]change{}}
}

// Set changes the state of a VM. The list shows the first state of a VM at
// once, and each later one after the lag.
func (s *Server) Set(vm burdockid.VM, state burdocklist.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.clock.Boot() + s.lag
	if len(s.changes[vm]) == 0 {
		at = 0
	}
	s.changes[vm] = append(s.changes[vm], change{at: at, state: state})
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != "/v1/vms":
		http.NotFound(w, r)
	case r.Method == http.MethodPut:
		var vm burdocklist.VM
		if err := json.NewDecoder(r.Body).Decode(&vm); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.Set(vm.Name, vm.State)
	default:
		_ = json.NewEncoder(w).Encode(s.shown())
	}
}

func (s *Server) shown() []burdocklist.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Boot()
	vms := []burdocklist.VM{}
	for name, changes := range s.changes {
		var state burdocklist.State
		for _, c := range changes {
			if c.at <= now {
				state = c.state
			}
		}
		vms = append(vms, burdocklist.VM{Name: name, State: state})
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].Name < vms[j].Name })
	return vms
}
