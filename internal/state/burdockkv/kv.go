// Package burdockkv defines the interface to the platform's key-value store, which has
// conditional writes, watches and leases on keys, and follows keys in it.
package burdockkv

import (
	"cmp"
	"context"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"github.com/joomcode/errorx"
)

// Era counts how often the store was restored from an older copy of itself. It is 0 on a
// platform that does not tell it.
type Era int64

// Revision is the store's change counter, which only grows within an era. As a key's
// revision, 0 means that the key does not exist.
type Revision int64

// Position is a point in the store's history. A restored store gives out revisions a second
// time, so a revision means nothing without its era.
type Position struct {
	Era      Era
	Revision Revision
}

// Compare returns -1, 0 or 1 if p is before, at or after q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// Later returns the later of p and q.
func (p Position) Later(q Position) Position {
	if p.Compare(q) < 0 {
		return q
	}
	return p
}

// LeaseID identifies a lease. A restored store loses leases and may give out their numbers
// again, so the number is valid in its era only.
type LeaseID struct {
	Era    Era
	Number int64 // 0 means no lease
}

// IsZero reports whether the ID means no lease.
func (l LeaseID) IsZero() bool { return l.Number == 0 }

// Item is the current state of a key, or its deletion.
type Item struct {
	Key      string
	Value    []byte
	Modified Position // of its last change
	Created  Position
	Lease    LeaseID
	Deleted  bool
}

// Read selects how current a listing is.
type Read int

const (
	// ReadLatest returns the latest state.
	ReadLatest Read = iota
	// ReadStale may return a state that is some seconds old. It costs the store a tenth.
	// A watch from the returned position reports all that is missing.
	ReadStale
)

// Condition requires that a key was last changed at a position, or does not exist if the
// revision is 0; see Store.Write.
type Condition struct {
	Key      string
	Modified Position
}

// Put is a write of one key.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Store is a client of the platform's store. Errors are of the types below; after an
// ErrUnavailable a write may have taken effect, or may still do so.
type Store interface {
	// List returns all keys under a prefix, and the position after which a watch misses no
	// change.
	List(ctx context.Context, prefix string, read Read) ([]Item, Position, error)
	// Watch waits for changes under a prefix after a position, and returns them with the
	// position for the next watch. An ErrCompacted means that the store no longer has the
	// changes after that position, an ErrRestored that it was restored since.
	Watch(ctx context.Context, prefix string, after Position, wait burdockclock.Millis) ([]Item, Position, error)
	// Write writes keys if all conditions hold, otherwise it returns an ErrConflict.
	Write(ctx context.Context, conditions []Condition, puts []Put) (Position, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl burdockclock.Millis) (LeaseID, error)
	// Renew renews a lease; an ErrNotFound means that it has ended.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
	// Era returns the era of the store's latest answer.
	Era() Era
}

// Errors is the namespace of the errors of a Store.
var Errors = errorx.NewNamespace("kv")

var (
	// ErrNotFound means that a lease does not exist, or has ended.
	ErrNotFound = Errors.NewType("notFound")
	// ErrConflict means that a condition of a write did not hold.
	ErrConflict = Errors.NewType("conflict")
	// ErrCompacted means that the store no longer has the requested history.
	ErrCompacted = Errors.NewType("compacted")
	// ErrRestored means that the store was restored from an older copy, and changes after
	// the requested position may be lost.
	ErrRestored = Errors.NewType("restored")
	// ErrEra means that an answer does not tell its era, or tells one that is over.
	ErrEra = Errors.NewType("era")
	// ErrUnavailable means that the store did not answer.
	ErrUnavailable = Errors.NewType("unavailable")
)
