package burdocksharedrate

import (
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// settleTime is how long after an entry has seen itself among all entries it begins to use
// its parts: until then, others may not have seen it and count on all of the rate.
const settleTime = 2 * burdockclock.Second

// Entries is what one entry knows of the entries that share rates.
type Entries struct {
	// ClockOffset is the wall clock time less the time that is passed to a Bucket, as it was
	// when the entry started. Later steps of the wall clock don't count.
	ClockOffset burdockclock.Millis
	self        burdockid.VM
	all         []burdockid.VM
	// listed reports that self is one of all, since listedSince.
	listed      bool
	listedSince burdockclock.Millis
}

// Set replaces the entries. If self is not among them, this entry has no part in any rate.
func (e *Entries) Set(now burdockclock.Millis, self burdockid.VM, all []burdockid.VM) {
	listed := slices.Contains(all, self)
	if listed && !e.listed {
		e.listedSince = now
	}
	e.self, e.all, e.listed = self, slices.Clone(all), listed
}

// settledAt returns from when on this entry uses its parts; false if that isn't known.
func (e *Entries) settledAt() (burdockclock.Millis, bool) {
	return e.listedSince + settleTime, e.listed
}
