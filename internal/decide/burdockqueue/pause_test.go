package burdockqueue

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// While an engine is stalled for a second, requests that can wait must not be refused, and
// none may be started, since those would fill the engine.
func TestPauseKeepsQueuedRequests(t *testing.T) {
	const slots, maxWait, gap = 4, 1400, 50
	q := New(Config{Slots: slots, MaxQueued: 100, Classes: []ClassConfig{{MaxWait: maxWait}}}, rand.New(rand.NewPCG(1, 1)))
	now := burdockclock.Millis(1000)
	for i := range 40 { // 200 ms each: exactly the capacity of the engine
		id := burdockid.Request(fmt.Sprint("before ", i))
		q.Offer(now, Request{ID: id, Customer: "a", Cost: 10, Arrived: now})
		q.Dispatch(now)
		now += gap
		if i >= slots-1 {
			q.Finish(now, burdockid.Request(fmt.Sprint("before ", i-slots+1)), 10)
			q.Dispatch(now)
		}
	}
	q.Pause(now, true)
	for i := range 20 {
		d := q.Offer(now, Request{ID: burdockid.Request(fmt.Sprint("paused ", i)), Customer: "a", Cost: 10, Arrived: now})
		if _, waits := d.(Wait); !waits {
			t.Fatalf("offer %d while paused: got %T, want Wait", i, d)
		}
		for _, event := range q.Dispatch(now) {
			t.Errorf("while paused: got %v, want nothing", event)
		}
		now += gap
	}
	q.AllowProbe(now)
	if got, want := len(q.Dispatch(now)), 1; got != want {
		t.Errorf("started by AllowProbe: got %d, want %d", got, want)
	}
	if d, refused := q.Offer(now, Request{ID: "last", Customer: "a", Cost: 10, Arrived: now}).(Refuse); refused {
		t.Errorf("offer after a second of pause: refused with %v, want Wait", d.Reason)
	}
	q.CheckInvariants()
	q.Pause(now, false)
	q.CheckInvariants()
	if got, want := len(q.Dispatch(now)), 0; got != want {
		t.Errorf("dropped or started at the end of the pause with all slots taken: got %d, want %d", got, want)
	}
}

// Callers must not be asked to retry while the engine is still stalled.
func TestRetryAfterGrowsWithPause(t *testing.T) {
	q := New(Config{Slots: 1, MaxQueued: 100, MaxRetryAfter: 5000, RetrySpread: 100, Classes: []ClassConfig{{MaxWait: 100}}}, rand.New(rand.NewPCG(1, 1)))
	q.Pause(1000, true)
	q.Offer(3000, Request{ID: "a", Customer: "a", Cost: 10, Arrived: 3000})
	events := q.Dispatch(3100)
	if len(events) != 1 {
		t.Fatalf("events: got %d, want 1", len(events))
	}
	if got, want := events[0].(Dropped).RetryAfter, burdockclock.Millis(2100); got < want {
		t.Errorf("RetryAfter after a pause of 2100 ms: got %d, want at least %d", got, want)
	}
}
