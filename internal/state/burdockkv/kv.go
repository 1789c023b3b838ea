// Package burdockkv is the system's view of a platform's key-value store with
// conditions, watches and leases on keys.
package burdockkv

import (
	"context"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"github.com/joomcode/errorx"
)

// Revision is the store's count of changes; it only grows. 0 stands for a key
// that doesn't exist.
type Revision int64

// LeaseID names a lease; 0 is none.
type LeaseID int64

// Item is one key as it was written, or that it was deleted.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision // of its last change
	Created  Revision
	Lease    LeaseID
	Deleted  bool
}

// Condition is a revision that a key must have.
type Condition struct {
	Key      string
	Revision Revision
}

// Put is one key to be written.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Store makes the calls of the platform's store. Errors are of the types below;
// after an ErrUnavailable a write may have taken effect, or may yet.
type Store interface {
	// List returns all keys under a prefix, and the revision from which a watch
	// misses nothing.
	List(ctx context.Context, prefix string) ([]Item, Revision, error)
	// Watch waits for changes under a prefix after a revision, and returns them
	// with the revision to go on from. An ErrCompacted says that they are no
	// longer known.
	Watch(ctx context.Context, prefix string, after Revision, wait burdockclock.Millis) ([]Item, Revision, error)
	// Write puts keys if all conditions hold, else it returns an ErrConflict.
	Write(ctx context.Context, conditions []Condition, puts []Put) (Revision, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl burdockclock.Millis) (LeaseID, error)
	// Renew renews a lease; an ErrNotFound says that it has ended.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}

// Errors is the namespace of the errors of a Store.
var Errors = errorx.NewNamespace("kv")

var (
	// ErrNotFound says that a lease does not exist, or no longer.
	ErrNotFound = Errors.NewType("notFound")
	// ErrConflict says that a condition of a write did not hold.
	ErrConflict = Errors.NewType("conflict")
	// ErrCompacted says that the history asked for is no longer there.
	ErrCompacted = Errors.NewType("compacted")
	// ErrUnavailable says that no answer came.
	ErrUnavailable = Errors.NewType("unavailable")
)
