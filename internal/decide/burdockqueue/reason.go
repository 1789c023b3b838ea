package burdockqueue

// Reason says why work was refused or dropped. In each case it was not run.
type Reason int

// The reasons for which work is refused or dropped.
const (
	ReasonNone Reason = iota
	// ReasonQueueFull means that the bound on queued work is reached and
	// nothing queued is less urgent or further over its share.
	ReasonQueueFull
	// ReasonDeadline means that the deadline cannot be met at the measured
	// service rate.
	ReasonDeadline
	// ReasonOverShare means that the customer's own backlog is beyond its share
	// while the engine is saturated.
	ReasonOverShare
	// ReasonWaitExceeded means that the work has waited, or would wait, longer
	// than its class allows.
	ReasonWaitExceeded
	// ReasonDisplaced means that queued work made room for work that is more
	// urgent or whose customer is less far over its share.
	ReasonDisplaced
	// ReasonDraining means that this upstream takes no new work any more.
	ReasonDraining
	// ReasonDuplicate means that work with the same id is queued or running
	// here. Only this offer of it was not run.
	ReasonDuplicate
	reasonCount
)

var reasonNames = [reasonCount]string{
	ReasonNone:         "none",
	ReasonQueueFull:    "queue full",
	ReasonDeadline:     "deadline cannot be met",
	ReasonOverShare:    "over share",
	ReasonWaitExceeded: "waiting time exceeded",
	ReasonDisplaced:    "displaced",
	ReasonDraining:     "leaving",
	ReasonDuplicate:    "duplicate request",
}

// String returns the reason in words, as callers and logs see it.
func (r Reason) String() string {
	if r < 0 || r >= reasonCount {
		return "unknown"
	}
	return reasonNames[r]
}

// MarshalText implements encoding.TextMarshaler, for the state dump.
func (r Reason) MarshalText() ([]byte, error) { return []byte(r.String()), nil }
