package burdockfakeengine

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/external/burdockengine"
)

// Paths of a Lockstep.
const (
	LockstepJoinPath = "/lockstep/join"
	LockstepTurnPath = "/lockstep/turn"
	LockstepLogPath  = "/lockstep/log"
)

// turnWait is how long an engine's question for its turn may be held open.
const turnWait = 500 * time.Millisecond

// Turn is what an engine of a group tells the Lockstep: who it is, and the step
// that it has finished, if any.
type Turn struct {
	Rank     burdockid.Rank            `json:"rank"`
	Life     burdockengine.Incarnation `json:"life"`
	Finished *burdockengine.GroupStep  `json:"finished,omitempty"`
}

// TurnAnswer says whether an engine may begin its next step.
type TurnAnswer struct {
	Next  burdockid.Step `json:"next"`
	Ready bool           `json:"ready"`
	// Replaced says that another engine has joined as the same rank.
	Replaced bool `json:"replaced"`
}

// StepRun is a row of steps that a rank finished with one map.
type StepRun struct {
	From burdockid.Step       `json:"from"`
	To   burdockid.Step       `json:"to"`
	Map  burdockid.MapVersion `json:"map"`
}

// LockstepLog is every step that each rank finished, whatever engine ran it.
type LockstepLog struct {
	Ranks [][]StepRun `json:"ranks"`
}

// Lockstep stands for the exchange between the engines of one group: no rank
// begins a step before all have finished the one before, and a new engine runs
// next the step that its predecessor had not finished.
type Lockstep struct {
	mux *http.ServeMux

	mu      sync.Mutex
	changed chan struct{} // closed and replaced when a step is finished
	lives   []burdockengine.Incarnation
	done    []burdockid.Step // lowest step that each rank has not finished
	log     LockstepLog
}

// NewLockstep returns the exchange of a group of ranks.
func NewLockstep(ranks int) *Lockstep {
	l := &Lockstep{
		mux:     http.NewServeMux(),
		changed: make(chan struct{}),
		lives:   make([]burdockengine.Incarnation, ranks),
		done:    make([]burdockid.Step, ranks),
		log:     LockstepLog{Ranks: make([][]StepRun, ranks)},
	}
	l.mux.HandleFunc("POST "+LockstepJoinPath, l.serveJoin)
	l.mux.HandleFunc("POST "+LockstepTurnPath, l.serveTurn)
	l.mux.HandleFunc("GET "+LockstepLogPath, l.serveLog)
	return l
}

// ServeHTTP implements http.Handler.
func (l *Lockstep) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

func (l *Lockstep) serveJoin(w http.ResponseWriter, r *http.Request) {
	turn, ok := l.read(w, r)
	if !ok {
		return
	}
	l.mu.Lock()
	l.lives[turn.Rank] = turn.Life
	next := l.done[turn.Rank]
	l.mu.Unlock()
	writeJSON(w, TurnAnswer{Next: next})
}

func (l *Lockstep) serveTurn(w http.ResponseWriter, r *http.Request) {
	turn, ok := l.read(w, r)
	if !ok {
		return
	}
	timeout := time.After(turnWait)
	for {
		answer, changed := l.take(turn)
		if answer.Ready || answer.Replaced {
			writeJSON(w, answer)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (l *Lockstep) read(w http.ResponseWriter, r *http.Request) (Turn, bool) {
	var turn Turn
	if err := json.NewDecoder(r.Body).Decode(&turn); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return turn, false
	}
	if turn.Rank < 0 || int(turn.Rank) >= len(l.done) {
		http.Error(w, "no such rank", http.StatusBadRequest)
		return turn, false
	}
	return turn, true
}

func (l *Lockstep) serveLog(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	writeJSON(w, l.log)
}

// take notes a finished step, once, and says whether the next may begin.
func (l *Lockstep) take(turn Turn) (TurnAnswer, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lives[turn.Rank] != turn.Life {
		return TurnAnswer{Replaced: true}, l.changed
	}
	if turn.Finished != nil && turn.Finished.Step == l.done[turn.Rank] {
		l.done[turn.Rank]++
		l.note(turn.Rank, *turn.Finished)
		close(l.changed)
		l.changed = make(chan struct{})
	}
	next := l.done[turn.Rank]
	ready := true
	for _, done := range l.done {
		ready = ready && done >= next
	}
	return TurnAnswer{Next: next, Ready: ready}, l.changed
}

func (l *Lockstep) note(rank burdockid.Rank, step burdockengine.GroupStep) {
	runs := l.log.Ranks[rank]
	if n := len(runs); n > 0 && runs[n-1].Map == step.Map && runs[n-1].To+1 == step.Step {
		runs[n-1].To = step.Step
		return
	}
	l.log.Ranks[rank] = append(runs, StepRun{From: step.Step, To: step.Step, Map: step.Map})
}
