package burdockfakeengine

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/external/burdockengine"
)

// Paths of the Lockstep server.
const (
	LockstepJoinPath = "/lockstep/join"
	LockstepTurnPath = "/lockstep/turn"
	LockstepLogPath  = "/lockstep/log"
)

// maxTurnWait is how long a turn request is held open while the step may not begin.
const maxTurnWait = 500 * time.Millisecond

// Turn is an engine's request to the Lockstep. Finished is the step that the engine
// has finished last, nil if none.
type Turn struct {
	Rank     burdockid.Rank            `json:"rank"`
	Life     burdockengine.Incarnation `json:"life"`
	Finished *burdockengine.GroupStep  `json:"finished,omitempty"`
}

// TurnAnswer states whether an engine may begin step Next.
type TurnAnswer struct {
	Next  burdockid.Step `json:"next"`
	Ready bool           `json:"ready"`
	// Replaced is true if another engine has since joined as the same rank.
	Replaced bool `json:"replaced"`
}

// StepRun is a range of consecutive steps, From to To inclusive, that a rank finished
// with the same expert map.
type StepRun struct {
	From burdockid.Step       `json:"from"`
	To   burdockid.Step       `json:"to"`
	Map  burdockid.MapVersion `json:"map"`
}

// LockstepLog lists the finished steps of each rank, across engine replacements.
type LockstepLog struct {
	Ranks [][]StepRun `json:"ranks"`
}

// Lockstep synchronises the fake engines of one group; it stands in for the exchange
// between real engines. No rank begins a step before all ranks have finished
// the previous one, and a replacement engine continues with the first step that its
// predecessor had not finished.
type Lockstep struct {
	mux *http.ServeMux

	mu           sync.Mutex
	changed      chan struct{} // closed and replaced whenever a step is finished
	incarnations []burdockengine.Incarnation
	unfinished   []burdockid.Step // by rank: the lowest unfinished step
	log          LockstepLog
}

// NewLockstep returns a Lockstep for a group with the given number of ranks.
func NewLockstep(ranks int) *Lockstep {
	l := &Lockstep{
		mux:          http.NewServeMux(),
		changed:      make(chan struct{}),
		incarnations: make([]burdockengine.Incarnation, ranks),
		unfinished:   make([]burdockid.Step, ranks),
		log:          LockstepLog{Ranks: make([][]StepRun, ranks)},
	}
	l.mux.HandleFunc("POST "+LockstepJoinPath, l.serveJoin)
	l.mux.HandleFunc("POST "+LockstepTurnPath, l.serveTurn)
	l.mux.HandleFunc("GET "+LockstepLogPath, l.serveLog)
	return l
}

// ServeHTTP implements http.Handler.
func (l *Lockstep) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

func (l *Lockstep) serveJoin(w http.ResponseWriter, r *http.Request) {
	turn, ok := l.decodeTurn(w, r)
	if !ok {
		return
	}
	l.mu.Lock()
	l.incarnations[turn.Rank] = turn.Life
	next := l.unfinished[turn.Rank]
	l.mu.Unlock()
	writeJSON(w, TurnAnswer{Next: next})
}

func (l *Lockstep) serveTurn(w http.ResponseWriter, r *http.Request) {
	turn, ok := l.decodeTurn(w, r)
	if !ok {
		return
	}
	timeout := time.After(maxTurnWait)
	for {
		answer, changed := l.advance(turn)
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

func (l *Lockstep) decodeTurn(w http.ResponseWriter, r *http.Request) (Turn, bool) {
	var turn Turn
	if err := json.NewDecoder(r.Body).Decode(&turn); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return turn, false
	}
	if turn.Rank < 0 || int(turn.Rank) >= len(l.unfinished) {
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

// advance records the finished step of turn, ignoring repeats, and reports whether the
// rank may begin its next step. The channel is closed when any rank finishes a step.
func (l *Lockstep) advance(turn Turn) (TurnAnswer, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.incarnations[turn.Rank] != turn.Life {
		return TurnAnswer{Replaced: true}, l.changed
	}
	if turn.Finished != nil && turn.Finished.Step == l.unfinished[turn.Rank] {
		l.unfinished[turn.Rank]++
		l.record(turn.Rank, *turn.Finished)
		close(l.changed)
		l.changed = make(chan struct{})
	}
	next := l.unfinished[turn.Rank]
	ready := true
	for _, step := range l.unfinished {
		ready = ready && step >= next
	}
	return TurnAnswer{Next: next, Ready: ready}, l.changed
}

func (l *Lockstep) record(rank burdockid.Rank, step burdockengine.GroupStep) {
	runs := l.log.Ranks[rank]
	if n := len(runs); n > 0 && runs[n-1].Map == step.Map && runs[n-1].To+1 == step.Step {
		runs[n-1].To = step.Step
		return
	}
	l.log.Ranks[rank] = append(runs, StepRun{From: step.Step, To: step.Step, Map: step.Map})
}
