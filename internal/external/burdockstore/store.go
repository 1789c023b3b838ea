// Package burdockstore is the client of the platform's configuration store: a small
// key-value service with compare-and-swap, leases and watches.
//
// The interface Store is independent of the store's protocol. Each adapter has its own
// file, so that another one can replace it.
package burdockstore

import (
	"context"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"github.com/joomcode/errorx"
)

// Revision is the store's counter of writes. A key that doesn't exist has revision 0.
type Revision uint64

// Entry is one key as stored.
type Entry struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value"`
	Revision Revision `json:"revision"`
}

// Lease is an exclusive right to a role for a limited time.
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
	// List returns all entries whose key starts with prefix, and the revision at which
	// they were read.
	List(ctx context.Context, prefix string) ([]Entry, Revision, error)
	// CompareAndSwap writes value if the key's revision is old. It returns an ErrConflict
	// if the revision differs and an ErrRefused if the store doesn't accept the value.
	// After any other error it is unknown whether the write took effect.
	CompareAndSwap(ctx context.Context, key string, old Revision, value []byte) (Revision, error)
	// Watch returns the entries under prefix that changed after the given revision. It
	// waits at most wait for the first change. The whole wait counts as one call.
	Watch(ctx context.Context, prefix string, after Revision, wait burdockclock.Millis) ([]Entry, Revision, error)
	// Acquire takes or renews the lease name for holder. It returns an ErrConflict while
	// another holder has it. The fence increases with each change of holder.
	Acquire(ctx context.Context, name, holder string, ttl burdockclock.Millis) (Lease, error)
	// Fence returns the fencing token of the lease's latest holder, or 0 if there was
	// none. The lease may be free now.
	Fence(ctx context.Context, name string) (burdockid.Fence, error)
	// Release releases the lease before it expires.
	Release(ctx context.Context, name, holder string) error
}

// Errors is the namespace of the errors that a Store returns.
var Errors = errorx.NewNamespace("store")

var (
	// ErrNotFound reports that the key does not exist.
	ErrNotFound = Errors.NewType("notFound")
	// ErrConflict reports that a write or a lease request lost a race and had no effect.
	ErrConflict = Errors.NewType("conflict")
	// ErrRefused reports that the store doesn't accept the call, for example because the
	// value is too large. It had no effect, and a retry fails as well.
	ErrRefused = Errors.NewType("refused")
	// ErrUnavailable reports that no usable answer came. A write may have taken effect.
	ErrUnavailable = Errors.NewType("unavailable")
)
