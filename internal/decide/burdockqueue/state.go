package burdockqueue

import (
	"sort"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Outcome is what was decided on one request.
type Outcome int

// The outcomes of a decision.
const (
	OutcomeStart Outcome = iota
	OutcomeWait
	OutcomeRefuse
	OutcomeDrop
)

var outcomeNames = [...]string{
	OutcomeStart:  "start",
	OutcomeWait:   "wait",
	OutcomeRefuse: "refuse",
	OutcomeDrop:   "drop",
}

// String returns the outcome in words.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return "unknown"
	}
	return outcomeNames[o]
}

// MarshalText implements encoding.TextMarshaler, for the state dump.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// DecisionRecord is one decision in the state dump.
type DecisionRecord struct {
	At       burdockclock.Millis `json:"at"`
	ID       burdockid.Request   `json:"id"`
	Customer burdockid.Customer  `json:"customer"`
	Class    Class               `json:"class"`
	Outcome  Outcome             `json:"outcome"`
	Reason   Reason              `json:"reason"`
	// Delay is the wait so far of a start, the expected wait of a wait, and the
	// RetryAfter of a refusal or drop.
	Delay burdockclock.Millis `json:"span"`
}

// decisionLogSize bounds the decisions that are kept. At tens of requests a
// second it covers the last few seconds, for a few kilobytes.
const decisionLogSize = 64

// decisionLog is a ring of the last decisions.
type decisionLog struct {
	made [decisionLogSize]DecisionRecord
	n    uint64
}

func (l *decisionLog) add(m DecisionRecord) {
	l.made[l.n%decisionLogSize] = m
	l.n++
}

// all returns the decisions, the oldest first.
func (l *decisionLog) all() []DecisionRecord {
	var first uint64
	if l.n > decisionLogSize {
		first = l.n - decisionLogSize
	}
	made := make([]DecisionRecord, 0, l.n-first)
	for i := first; i < l.n; i++ {
		made = append(made, l.made[i%decisionLogSize])
	}
	return made
}

func (q *Queue) note(w Request, outcome Outcome, reason Reason, span burdockclock.Millis) {
	q.log.add(DecisionRecord{
		At: q.now, ID: w.ID, Customer: w.Customer, Class: w.Class,
		Outcome: outcome, Reason: reason, Delay: span,
	})
}

// reasonCounts counts by reason.
type reasonCounts [reasonCount]uint64

// total returns the sum over all reasons.
func (r reasonCounts) total() uint64 {
	var n uint64
	for _, count := range r {
		n += count
	}
	return n
}

// counts counts decisions since the queue was made.
type counts struct {
	offered   uint64
	started   uint64
	finished  uint64
	cancelled uint64
	refused   reasonCounts
	dropped   reasonCounts
}

// ReasonCount is how often a reason was given.
type ReasonCount struct {
	Reason Reason `json:"reason"`
	Count  uint64 `json:"count"`
}

func (r reasonCounts) list() []ReasonCount {
	list := []ReasonCount{}
	for reason, n := range r {
		if n > 0 {
			list = append(list, ReasonCount{Reason: Reason(reason), Count: n})
		}
	}
	return list
}

// CustomerState is one customer of one class in the state dump.
type CustomerState struct {
	Customer burdockid.Customer `json:"customer"`
	Share    float64            `json:"share"`
	Queued   int                `json:"queued"`
	Running  int                `json:"running"`
	// QueuedCost is in tokens.
	QueuedCost burdockid.Tokens `json:"queuedCost"`
	// Ahead is the customer's virtual time less that of its class, in tokens
	// over share: the more, the later its turn.
	Ahead float64 `json:"ahead"`
}

// ClassState is one class in the state dump.
type ClassState struct {
	Name               string              `json:"name"`
	Queued             int                 `json:"queued"`
	Running            int                 `json:"running"`
	QueuedCost         burdockid.Tokens    `json:"queuedCost"`
	VirtualTime        float64             `json:"virtualTime"`
	StarvationDeadline burdockclock.Millis `json:"dueAt"` // 0 when the class is not waiting for a start
	Customers          []CustomerState     `json:"customers"`
}

// State is the whole queue for the state dump.
type State struct {
	Now             burdockclock.Millis `json:"now"`
	Load            Load                `json:"load"`
	MaxQueued       int                 `json:"maxQueued"`
	Draining        bool                `json:"leaving"`
	TokensPerSecond float64             `json:"tokensASecond"` // believed of one slot; 0 is unknown
	Offered         uint64              `json:"offered"`
	Started         uint64              `json:"started"`
	Finished        uint64              `json:"finished"`
	Cancelled       uint64              `json:"cancelled"`
	Refused         []ReasonCount       `json:"refused"`
	Dropped         []ReasonCount       `json:"dropped"`
	Classes         []ClassState        `json:"classes"`
	Decisions       []DecisionRecord    `json:"decisions"` // the last ones, oldest first
}

// State returns the queue's state. Its cost grows with the customers that are
// queued or running, not with the length of the queue.
func (q *Queue) State() State {
	s := State{
		Now:             q.now,
		Load:            q.Load(),
		MaxQueued:       q.cfg.MaxQueued,
		Draining:        q.leaving,
		TokensPerSecond: q.slotRate() * float64(burdockclock.Second),
		Offered:         q.counts.offered,
		Started:         q.counts.started,
		Finished:        q.counts.finished,
		Cancelled:       q.counts.cancelled,
		Refused:         q.counts.refused.list(),
		Dropped:         q.counts.dropped.list(),
		Decisions:       q.log.all(),
	}
	for _, c := range q.classes {
		s.Classes = append(s.Classes, c.state())
	}
	return s
}

func (c *fairQueue) state() ClassState {
	s := ClassState{
		Name:        c.cfg.Name,
		Queued:      c.queued,
		Running:     c.running,
		QueuedCost:  c.queuedCost,
		VirtualTime: c.virtual,
		Customers:   make([]CustomerState, 0, len(c.flows)),
	}
	if due := c.dueAt(); due != never {
		s.StarvationDeadline = due
	}
	for _, f := range c.flows {
		s.Customers = append(s.Customers, CustomerState{
			Customer:   f.customer,
			Share:      f.weight,
			Queued:     f.queued,
			Running:    f.running,
			QueuedCost: f.queuedCost,
			Ahead:      f.virtual - c.virtual,
		})
	}
	sort.Slice(s.Customers, func(i, j int) bool { return s.Customers[i].Customer < s.Customers[j].Customer })
	return s
}
