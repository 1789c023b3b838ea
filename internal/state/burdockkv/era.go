package burdockkv

import (
	"context"
	"strconv"
	"sync"
)

// EraTracker keeps the highest era that a store has told. It is safe for concurrent use.
//
// A call that was sent before the store was restored may be answered after it, for example
// on a connection that was slow. Such an answer describes a history that no longer exists,
// so it is rejected.
type EraTracker struct {
	mu      sync.Mutex
	era     Era
	known   bool // an answer has told an era
	waiting map[*waitingCall]struct{}
}

// waitingCall is a call that is of no use once the store has been restored.
type waitingCall struct{ cancel context.CancelCauseFunc }

// Observe records the era that an answer tells, as text, and returns it. A platform that
// tells none has era 0. It returns an ErrEra if the answer must not be used.
func (t *EraTracker) Observe(text string) (Era, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if text == "" && !t.known {
		return 0, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	switch era := Era(n); {
	case err != nil || n <= 0:
		return 0, ErrEra.New("era %q is not a positive number", text)
	case era < t.era:
		return 0, ErrEra.New("answer of era %d, but the store is in era %d", era, t.era)
	case era > t.era:
		t.advance(era)
	}
	t.known = true
	return t.era, nil
}

// advance begins a new era and cancels the calls that wait in the one before. The lock must
// be held.
func (t *EraTracker) advance(era Era) {
	for call := range t.waiting {
		call.cancel(ErrRestored.New("the store went from era %d to %d", t.era, era))
	}
	t.era, t.waiting = era, nil
}

// Era returns the highest era that an answer has told.
func (t *EraTracker) Era() Era {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era
}

// During returns a context that is cancelled with an ErrRestored when the era is over, and
// a function that releases it. It returns an ErrRestored if the era is over already.
func (t *EraTracker) During(ctx context.Context, era Era) (context.Context, func(), error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if era != t.era {
		return nil, nil, ErrRestored.New("era %d is over; the store is in era %d", era, t.era)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	call := &waitingCall{cancel}
	if t.waiting == nil {
		t.waiting = map[*waitingCall]struct{}{}
	}
	t.waiting[call] = struct{}{}
	return ctx, func() { t.release(call) }, nil
}

func (t *EraTracker) release(call *waitingCall) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiting, call)
	call.cancel(nil)
}
