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

// Listing is a list of the entries that share rates.
type Listing struct {
	All []burdockid.VM
	// Self is the entry that the list is for. If it is not in All, it has no part in any rate.
	Self burdockid.VM
	// Known reports that an earlier process of Self was listed, so that the others know it.
	Known bool
}

// Set replaces the entries.
func (e *Entries) Set(now burdockclock.Millis, l Listing) {
	listed := slices.Contains(l.All, l.Self)
	if listed && !e.listed {
		e.listedSince = now
		if l.Known {
			e.listedSince -= settleTime
		}
	}
	e.self, e.all, e.listed = l.Self, slices.Clone(l.All), listed
}

// settledAt returns from when on this entry uses its parts; false if that isn't known.
func (e *Entries) settledAt() (burdockclock.Millis, bool) {
	return e.listedSince + settleTime, e.listed
}
