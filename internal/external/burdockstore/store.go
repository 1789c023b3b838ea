// Package burdockstore is the system's view of the platform's configuration
// store: a small key-value service with compare-and-swap, leases and watches.
//
// The interface is stated in the terms of the brief. Each adapter stands in a
// file of its own, so that another one can replace it.
package burdockstore

import (
	"context"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"github.com/joomcode/errorx"
)

// Revision is the store's own count of writes. A key that doesn't exist has
// revision 0.
type Revision uint64

// Entry is one key as the store holds it.
type Entry struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value"`
	Revision Revision `json:"revision"`
}

// Lease is the right to a duty for a while.
type Lease struct {
	Name   string              `json:"name"`
	Holder string              `json:"holder"`
	Fence  burdockid.Fence     `json:"fence"`
	TTL    burdockclock.Millis `json:"ttlMillis"`
}

// Store is the platform's configuration store.
type Store interface {
	// Get returns the entry of key, or an ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries whose key starts with prefix, and the revision
	// as of which they were read.
	List(ctx context.Context, prefix string) ([]Entry, Revision, error)
	// CompareAndSwap writes value if the key stands at revision old. It
	// returns an ErrConflict when it does not, and an ErrRefused when the store
	// does not take the value. Any other error leaves open whether the write
	// took effect.
	CompareAndSwap(ctx context.Context, key string, old Revision, value []byte) (Revision, error)
	// Watch returns the entries under prefix that changed after a revision. It
	// waits up to wait for the first one. The waiting counts as one call.
	Watch(ctx context.Context, prefix string, after Revision, wait burdockclock.Millis) ([]Entry, Revision, error)
	// Acquire takes or renews the lease name for holder. It returns an
	// ErrConflict while another holder has it. The fence grows with each change
	// of holder.
	Acquire(ctx context.Context, name, holder string, ttl burdockclock.Millis) (Lease, error)
	// Fence returns the fencing number of the lease name's latest holder, 0 if
	// it never had one. The lease need not be held by anyone now.
	Fence(ctx context.Context, name string) (burdockid.Fence, error)
	// Release gives the lease up early.
	Release(ctx context.Context, name, holder string) error
}

// Errors is the namespace of the errors that a Store returns.
var Errors = errorx.NewNamespace("store")

var (
	// ErrNotFound says that the key does not exist.
	ErrNotFound = Errors.NewType("notFound")
	// ErrConflict says that a write or lease lost a race and had no effect.
	ErrConflict = Errors.NewType("conflict")
	// ErrRefused says that the store does not take such a call, such as a value
	// that is too large. It had no effect, and a retry has none either.
	ErrRefused = Errors.NewType("refused")
	// ErrUnavailable says that no answer came. A write may have taken effect.
	ErrUnavailable = Errors.NewType("unavailable")
)
