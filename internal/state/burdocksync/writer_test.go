package burdocksync

import (
	"context"
	"testing"

	"github.com/joomcode/errorx"
)

// An operator's entry is larger than the store takes. The store says so, so
// nothing was written: the operator must not be told that it may have been,
// after six tries.
func TestRefusedWriteIsNotUnknown(t *testing.T) {
	o := newOldStore(t)
	const tooLarge = 1 << 20
	_, err := NewWriter(o.store).Write(context.Background(), Edit{Key: "profile/bench", Value: make([]byte, tooLarge), AnyBase: true})
	if err == nil || errorx.IsOfType(err, ErrOutcomeUnknown) {
		t.Errorf("got %v, want an error that leaves no doubt", err)
	}
	if got, want := o.faults.Counts()["PUT /v1/key"], 1; got != want {
		t.Errorf("writes: got %d, want %d", got, want)
	}
}
