package burdocksync

import (
	"context"
	"testing"

	"github.com/joomcode/errorx"
)

// The store refuses an operator's entry because it is too large. Nothing was written, so
// the operator must not get an unknown outcome after six attempts.
func TestRefusedWriteIsNotUnknown(t *testing.T) {
	s := newRewindableStore(t)
	const tooLarge = 1 << 20
	_, err := NewWriter(s.store).Write(context.Background(), Edit{Key: "profile/bench", Value: make([]byte, tooLarge), AnyBase: true})
	if err == nil || errorx.IsOfType(err, ErrOutcomeUnknown) {
		t.Errorf("got %v, want an error other than an unknown outcome", err)
	}
	if got, want := s.faults.Counts()["PUT /v1/key"], 1; got != want {
		t.Errorf("writes: got %d, want %d", got, want)
	}
}
