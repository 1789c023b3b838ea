package burdocksync

import (
	"bytes"
	"context"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/external/burdockstore"
	"burdockbend.example/burdockbend/internal/state/burdockconfig"
	"github.com/joomcode/errorx"
)

var writeErrors = errorx.NewNamespace("write")

var (
	// ErrRace means that another operator's edit came first. Nothing was written.
	ErrRace = writeErrors.NewType("race")
	// ErrOutcomeUnknown means that no answer came in time: the edit may or may not be in
	// the store.
	ErrOutcomeUnknown = writeErrors.NewType("outcomeUnknown")
)

const (
	writeAttempts   = 6
	writeRetryPause = 500 * burdockclock.Millis(1)
)

// Edit is a change of one key.
type Edit struct {
	Key     string
	Value   []byte
	Deleted bool
	// Base is the version that the operator's edit is based on. With AnyBase the edit
	// replaces any version.
	Base    burdockid.Version
	AnyBase bool
}

// Writer writes operators' edits to the store.
type Writer struct {
	store burdockstore.Store
	mark  func() string
}

// NewWriter returns a writer to store.
func NewWriter(store burdockstore.Store) *Writer {
	return &Writer{store: store, mark: func() string { return string(burdockid.NewRequest()) }}
}

// Write applies an edit to the store and returns the resulting entry. An edit that changes
// nothing is not written.
func (w *Writer) Write(ctx context.Context, edit Edit) (burdockconfig.Entry, error) {
	var current burdockconfig.Entry
	var revision burdockstore.Revision
	err := w.retry(ctx, func() (err error) {
		current, revision, err = Read(ctx, w.store, edit.Key)
		return err
	})
	if err != nil {
		return burdockconfig.Entry{}, err // nothing was written
	}
	if !edit.AnyBase && current.Version != edit.Base {
		return current, ErrRace.New("%s is at version %d, the edit was made on version %d", edit.Key, current.Version, edit.Base)
	}
	if current.Version > 0 && current.Deleted == edit.Deleted && bytes.Equal(current.Value, edit.Value) {
		return current, nil
	}
	next := burdockconfig.Entry{
		Key:     edit.Key,
		Version: current.Version + 1,
		Mark:    w.mark(),
		Deleted: edit.Deleted,
		Value:   edit.Value,
	}
	return w.swap(ctx, next, revision)
}

// swap replaces a revision of an entry, and retries until the store gives a definite
// answer.
//
// The store's answer may be lost after the write took effect; a plain second attempt then
// reports a conflict with the writer's own first one. Here each attempt is the same write
// over the same revision, so at most one takes effect, and on a conflict the entry's mark
// shows which writer wrote it.
func (w *Writer) swap(ctx context.Context, next burdockconfig.Entry, revision burdockstore.Revision) (burdockconfig.Entry, error) {
	value, err := burdockconfig.Encode(next)
	if err != nil {
		return burdockconfig.Entry{}, errorx.Decorate(err, "encode %s", next.Key)
	}
	unanswered := false
	err = w.retry(ctx, func() error {
		_, err := w.store.CompareAndSwap(ctx, burdockconfig.StorePrefix+next.Key, revision, value)
		unanswered = unanswered || errorx.IsOfType(err, burdockstore.ErrUnavailable)
		return err
	})
	switch {
	case err == nil:
		return next, nil
	case errorx.IsOfType(err, burdockstore.ErrConflict):
		return w.resolveConflict(ctx, next)
	case errorx.IsOfType(err, burdockstore.ErrRefused) && !unanswered:
		return burdockconfig.Entry{}, err // no attempt was written
	default:
		return burdockconfig.Entry{}, ErrOutcomeUnknown.Wrap(err, "%s version %d mark %s", next.Key, next.Version, next.Mark)
	}
}

// resolveConflict reads the entry after a conflict and returns it without an error if it is
// the one that this writer wrote.
func (w *Writer) resolveConflict(ctx context.Context, written burdockconfig.Entry) (burdockconfig.Entry, error) {
	var current burdockconfig.Entry
	err := w.retry(ctx, func() (err error) {
		current, _, err = Read(ctx, w.store, written.Key)
		return err
	})
	switch {
	case err != nil:
		return burdockconfig.Entry{}, ErrOutcomeUnknown.Wrap(err, "%s version %d mark %s", written.Key, written.Version, written.Mark)
	case current.Mark == written.Mark:
		return current, nil
	case current.Version > written.Version:
		// This write may have taken effect and been replaced since.
		return current, ErrOutcomeUnknown.New("%s is at version %d by now; the edit was version %d, mark %s", written.Key, current.Version, written.Version, written.Mark)
	default:
		return current, ErrRace.New("%s: another edit became version %d first", written.Key, current.Version)
	}
}

// Read returns the entry of key in the store and its revision. A key that the store does
// not have is at version and revision 0.
func Read(ctx context.Context, store burdockstore.Store, key string) (burdockconfig.Entry, burdockstore.Revision, error) {
	stored, err := store.Get(ctx, burdockconfig.StorePrefix+key)
	if errorx.IsOfType(err, burdockstore.ErrNotFound) {
		return burdockconfig.Entry{Key: key}, 0, nil
	}
	if err != nil {
		return burdockconfig.Entry{}, 0, err
	}
	e, err := burdockconfig.Decode(stored)
	return e, stored.Revision, err
}

// retry repeats an idempotent call while the store gives no answer, up to writeAttempts
// times.
func (w *Writer) retry(ctx context.Context, call func() error) error {
	var err error
	for range writeAttempts {
		err = call()
		if !errorx.IsOfType(err, burdockstore.ErrUnavailable) || ctx.Err() != nil {
			return err
		}
		sleep(ctx, writeRetryPause)
	}
	return err
}
