package burdockqueue

// Reason is why a request was refused or dropped. In each case it was not run.
type Reason int

// Reasons for which requests are refused or dropped.
const (
	ReasonNone Reason = iota
	// ReasonQueueFull means that MaxQueued is reached and no queued request is less
	// urgent or of a customer further over its share.
	ReasonQueueFull
	// ReasonDeadline means that the deadline cannot be met at the measured service rate.
	ReasonDeadline
	// ReasonOverShare means that the customer's own backlog exceeds its share while the
	// engine is saturated.
	ReasonOverShare
	// ReasonWaitExceeded means that the request has waited, or would have to wait, longer
	// than the MaxWait of its class.
	ReasonWaitExceeded
	// ReasonDisplaced means that a queued request made room for one that is more urgent or
	// whose customer is less far over its share.
	ReasonDisplaced
	// ReasonDraining means that this upstream accepts no new requests.
	ReasonDraining
	// ReasonDuplicate means that a request with the same ID is already queued or running.
	// Only this offer of it was not run.
	ReasonDuplicate
	numReasons
)

var reasonNames = [numReasons]string{
	ReasonNone:         "none",
	ReasonQueueFull:    "queue full",
	ReasonDeadline:     "deadline cannot be met",
	ReasonOverShare:    "over share",
	ReasonWaitExceeded: "waiting time exceeded",
	ReasonDisplaced:    "displaced",
	ReasonDraining:     "leaving",
	ReasonDuplicate:    "duplicate request",
}

// String returns the text that callers and logs see.
func (r Reason) String() string {
	if r < 0 || r >= numReasons {
		return "unknown"
	}
	return reasonNames[r]
}

// MarshalText implements encoding.TextMarshaler, for the state dump.
func (r Reason) MarshalText() ([]byte, error) { return []byte(r.String()), nil }
