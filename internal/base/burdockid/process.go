package burdockid

import "burdockbend.example/burdockbend/internal/base/burdockclock"

// Process is one process of an upstream. The one that is started after a crash is another one,
// also under the same ID.
type Process struct {
	Upstream  Upstream
	StartedAt burdockclock.Millis // wall clock; 0 if unknown
}
