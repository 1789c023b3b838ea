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
	// ErrRace says that another operator's edit came first. Nothing was written.
	ErrRace = writeErrors.NewType("race")
	// ErrOutcomeUnknown says that no answer came in time: the edit may or may
	// not be in the store.
	ErrOutcomeUnknown = writeErrors.NewType("outcomeUnknown")
)

const (
	writeTries      = 6
	writeRetryPause = 500 * burdockclock.Millis(1)
)

// Edit is one change of one key.
type Edit struct {
	Key     string
	Value   []byte
	Deleted bool
	// Base is the version that the operator's edit started from. With AnyBase
	// it replaces whatever is there.
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

// Write carries an edit out and returns the entry that is then in the store.
// An edit that changes nothing writes nothing.
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

// swap writes the entry over a revision until the store gives a clear answer.
//
// Failure: the store's answer is lost after the write took effect. Symptom:
// the writer can't tell, and a plain second try is reported as a lost race
// against itself. Each try here is the same write over the same revision, so
// at most one takes effect; on a conflict the mark tells whose write is there.
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
		return w.whose(ctx, next)
	case errorx.IsOfType(err, burdockstore.ErrRefused) && !unanswered:
		return burdockconfig.Entry{}, err // no try was written
	default:
		return burdockconfig.Entry{}, ErrOutcomeUnknown.Wrap(err, "%s version %d mark %s", next.Key, next.Version, next.Mark)
	}
}

// whose tells after a conflict whether the store holds the writer's own entry.
func (w *Writer) whose(ctx context.Context, own burdockconfig.Entry) (burdockconfig.Entry, error) {
	var current burdockconfig.Entry
	err := w.retry(ctx, func() (err error) {
		current, _, err = Read(ctx, w.store, own.Key)
		return err
	})
	switch {
	case err != nil:
		return burdockconfig.Entry{}, ErrOutcomeUnknown.Wrap(err, "%s version %d mark %s", own.Key, own.Version, own.Mark)
	case current.Mark == own.Mark:
		return current, nil
	case current.Version > own.Version:
		// The own write may have taken effect and been replaced since.
		return current, ErrOutcomeUnknown.New("%s is at version %d by now; the edit was version %d, mark %s", own.Key, current.Version, own.Version, own.Mark)
	default:
		return current, ErrRace.New("%s: another edit became version %d first", own.Key, current.Version)
	}
}

// Read returns the entry of key in the store and its revision. A key that the
// store does not have is at version 0.
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

// retry repeats what can be repeated while the store gives no answer.
func (w *Writer) retry(ctx context.Context, call func() error) error {
	var err error
	for range writeTries {
		err = call()
		if !errorx.IsOfType(err, burdockstore.ErrUnavailable) || ctx.Err() != nil {
			return err
		}
		sleep(ctx, writeRetryPause)
	}
	return err
}
