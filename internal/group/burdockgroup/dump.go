package burdockgroup

import (
	"cmp"
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/state/burdockchart"
)

// RankState is a rank's part of the state dump.
type RankState struct {
	Rank        burdockid.Rank         `json:"rank"`
	Incarnation burdockid.Incarnation  `json:"incarnation"`
	Phase       RankPhase              `json:"phase"`
	Since       burdockclock.Millis    `json:"since"`
	Highest     Number                 `json:"highest"`
	Engine      EngineStatus           `json:"engine"`
	Kept        []burdockid.MapVersion `json:"kept"`
	Events      []burdockchart.Entry   `json:"events"`
}

// State returns the rank's part of the state dump.
func (r *Rank) State() RankState {
	return RankState{
		Rank:        r.cfg.Rank,
		Incarnation: r.cfg.Incarnation,
		Phase:       r.machine.State(),
		Since:       r.since,
		Highest:     r.highest,
		Engine:      r.status,
		Kept:        sortedKeys(r.contents),
		Events:      r.journal.Entries(),
	}
}

// ControllerState is a controller's part of the state dump.
type ControllerState struct {
	Phase  ControllerPhase      `json:"phase"`
	Lease  Lease                `json:"lease"`
	Seq    uint64               `json:"seq"`
	Goal   Goal                 `json:"goal"`
	Wanted burdockid.MapVersion `json:"wanted"`
	// RoundTime and StepTime are the mean durations of a round and of a step of the
	// group, in milliseconds; 0 until measured.
	RoundTime burdockclock.Millis  `json:"roundMillis"`
	StepTime  float64              `json:"stepMillis"`
	Ranks     []MemberState        `json:"ranks"`
	Events    []burdockchart.Entry `json:"events"`
}

// MemberState is what a controller knows of one rank.
type MemberState struct {
	Rank         burdockid.Rank        `json:"rank"`
	Incarnation  burdockid.Incarnation `json:"incarnation"`
	Fresh        bool                  `json:"fresh"`
	Engine       EngineStatus          `json:"engine"`
	Refusal      Refusal               `json:"refusal,omitempty"`
	PendingOrder uint64                `json:"waiting"` // sequence number of the unanswered order; 0 for none
}

// State returns the controller's part of the state dump.
func (c *Controller) State() ControllerState {
	state := ControllerState{
		Phase:     c.machine.State(),
		Lease:     c.lease,
		Seq:       c.seq,
		Goal:      c.goal,
		Wanted:    c.wantedVersion,
		RoundTime: c.timing.roundTime,
		StepTime:  c.timing.stepTime,
		Events:    c.journal.Entries(),
	}
	for i, m := range c.members {
		state.Ranks = append(state.Ranks, MemberState{
			Rank:         burdockid.Rank(i),
			Incarnation:  m.incarnation,
			Fresh:        m.fresh,
			Engine:       m.status,
			Refusal:      m.refusal,
			PendingOrder: m.pendingOrder(),
		})
	}
	return state
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
