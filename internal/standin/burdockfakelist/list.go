// Package burdockfakelist implements a stand-in for the platform's membership list. It
// shows a change only after a lag.
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

// Server serves the list on GET /v1/vms. PUT /v1/vms sets the state of one VM.
type Server struct {
	clock burdockclock.Clock
	lag   burdockclock.Millis

	mu      sync.Mutex
	changes map[burdockid.VM][]change // oldest first
}

type change struct {
	visibleAt burdockclock.Millis
	state     burdocklist.State
}

// New returns a server with an empty list, which shows a change after lag.
func New(clock burdockclock.Clock, lag burdockclock.Millis) *Server {
	return &Server{clock: clock, lag: lag, changes: map[burdockid.VM][]change{}}
}

// Set changes the state of a VM. The list shows a VM's first state at once, and each
// later one after the lag.
func (s *Server) Set(vm burdockid.VM, state burdocklist.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	visibleAt := s.clock.Boot() + s.lag
	if len(s.changes[vm]) == 0 {
		visibleAt = 0
	}
	s.changes[vm] = append(s.changes[vm], change{visibleAt: visibleAt, state: state})
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
		_ = json.NewEncoder(w).Encode(s.visible())
	}
}

func (s *Server) visible() []burdocklist.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Boot()
	vms := []burdocklist.VM{}
	for name, changes := range s.changes {
		var state burdocklist.State
		for _, c := range changes {
			if c.visibleAt <= now {
				state = c.state
			}
		}
		vms = append(vms, burdocklist.VM{Name: name, State: state})
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].Name < vms[j].Name })
	return vms
}
