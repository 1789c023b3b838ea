package burdockqueue

import (
	"sort"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Outcome is the kind of a decision.
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

// String returns the name of the outcome.
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
	// Delay is the wait so far for a start, the expected wait for a wait, and the
	// RetryAfter for a refusal or drop.
	Delay burdockclock.Millis `json:"span"`
}

// decisionLogSize bounds the decisions that are kept. At tens of requests per second it
// covers the last few seconds in a few kilobytes.
const decisionLogSize = 64

// decisionLog is a ring buffer of the most recent decisions.
type decisionLog struct {
	records [decisionLogSize]DecisionRecord
	n       uint64
}

func (l *decisionLog) add(r DecisionRecord) {
	l.records[l.n%decisionLogSize] = r
	l.n++
}

// all returns the recorded decisions, the oldest first.
func (l *decisionLog) all() []DecisionRecord {
	var first uint64
	if l.n > decisionLogSize {
		first = l.n - decisionLogSize
	}
	records := make([]DecisionRecord, 0, l.n-first)
	for i := first; i < l.n; i++ {
		records = append(records, l.records[i%decisionLogSize])
	}
	return records
}

func (q *Queue) logDecision(req Request, outcome Outcome, reason Reason, delay burdockclock.Millis) {
	q.decisions.add(DecisionRecord{
		At: q.now, ID: req.ID, Customer: req.Customer, Class: req.Class,
		Outcome: outcome, Reason: reason, Delay: delay,
	})
}

// reasonCounts holds a count per reason.
type reasonCounts [numReasons]uint64

// total returns the sum over all reasons.
func (r reasonCounts) total() uint64 {
	var n uint64
	for _, count := range r {
		n += count
	}
	return n
}

// counts holds the number of decisions since the queue was created.
type counts struct {
	offered   uint64
	started   uint64
	finished  uint64
	cancelled uint64
	refused   reasonCounts
	dropped   reasonCounts
}

// ReasonCount is how often requests were refused or dropped for a reason.
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
	// Ahead is the customer's virtual time minus that of its class, in tokens over share.
	// The customer with the lowest value is next.
	Ahead float64 `json:"ahead"`
}

// ClassState is one class in the state dump.
type ClassState struct {
	Name               string              `json:"name"`
	Queued             int                 `json:"queued"`
	Running            int                 `json:"running"`
	QueuedCost         burdockid.Tokens    `json:"queuedCost"`
	VirtualTime        float64             `json:"virtualTime"`
	StarvationDeadline burdockclock.Millis `json:"dueAt"` // 0 if none
	Customers          []CustomerState     `json:"customers"`
}

// State is the state dump of the queue.
type State struct {
	Now             burdockclock.Millis `json:"now"`
	Load            Load                `json:"load"`
	MaxQueued       int                 `json:"maxQueued"`
	Draining        bool                `json:"leaving"`
	TokensPerSecond float64             `json:"tokensASecond"` // of one slot; 0 if unknown
	Offered         uint64              `json:"offered"`
	Started         uint64              `json:"started"`
	Finished        uint64              `json:"finished"`
	Cancelled       uint64              `json:"cancelled"`
	Refused         []ReasonCount       `json:"refused"`
	Dropped         []ReasonCount       `json:"dropped"`
	Classes         []ClassState        `json:"classes"`
	Decisions       []DecisionRecord    `json:"decisions"` // the most recent, oldest first
}

// State returns the queue's state. Its cost grows with the number of active customers,
// not with the length of the queue.
func (q *Queue) State() State {
	s := State{
		Now:             q.now,
		Load:            q.Load(),
		MaxQueued:       q.cfg.MaxQueued,
		Draining:        q.draining,
		TokensPerSecond: q.slotRate() * float64(burdockclock.Second),
		Offered:         q.counts.offered,
		Started:         q.counts.started,
		Finished:        q.counts.finished,
		Cancelled:       q.counts.cancelled,
		Refused:         q.counts.refused.list(),
		Dropped:         q.counts.dropped.list(),
		Decisions:       q.decisions.all(),
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
		VirtualTime: c.virtualTime,
		Customers:   make([]CustomerState, 0, len(c.flows)),
	}
	if due := c.starvationDeadline(); due != never {
		s.StarvationDeadline = due
	}
	for _, f := range c.flows {
		s.Customers = append(s.Customers, CustomerState{
			Customer:   f.customer,
			Share:      f.weight,
			Queued:     f.queued,
			Running:    f.running,
			QueuedCost: f.queuedCost,
			Ahead:      f.virtualTime - c.virtualTime,
		})
	}
	sort.Slice(s.Customers, func(i, j int) bool { return s.Customers[i].Customer < s.Customers[j].Customer })
	return s
}
