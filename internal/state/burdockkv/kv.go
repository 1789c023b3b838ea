// Package burdockkv defines the interface to the platform's key-value store, which has
// conditional writes, watches and leases on keys, and follows keys in it.
package burdockkv

import (
	"context"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"github.com/joomcode/errorx"
)

// Revision is the store's change counter, which only grows. As a key's revision, 0 means
// that the key does not exist.
type Revision int64

// LeaseID identifies a lease; 0 means none.
type LeaseID int64

// Item is the current state of a key, or its deletion.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision // of its last change
	Created  Revision
	Lease    LeaseID
	Deleted  bool
}

// Condition requires that a key has a revision; see Store.Write.
type Condition struct {
	Key      string
	Revision Revision
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
	// List returns all keys under a prefix, and the revision after which a watch misses no
	// change.
	List(ctx context.Context, prefix string) ([]Item, Revision, error)
	// Watch waits for changes under a prefix after a revision, and returns them with the
	// revision for the next watch. An ErrCompacted means that the store no longer has the
	// changes after that revision.
	Watch(ctx context.Context, prefix string, after Revision, wait burdockclock.Millis) ([]Item, Revision, error)
	// Write writes keys if all conditions hold, otherwise it returns an ErrConflict.
	Write(ctx context.Context, conditions []Condition, puts []Put) (Revision, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl burdockclock.Millis) (LeaseID, error)
	// Renew renews a lease; an ErrNotFound means that it has ended.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
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
	// ErrUnavailable means that the store did not answer.
	ErrUnavailable = Errors.NewType("unavailable")
)
