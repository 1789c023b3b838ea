package burdockqueue

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Guards against refusing, while an engine stands for a second, callers who could
// wait for it, and against starting what would fill it meanwhile.
func TestPausedQueueKeepsWhatCanWait(t *testing.T) {
	const slots, most, gap = 4, 1400, 50
	q := New(Config{Slots: slots, MaxQueued: 100, Classes: []ClassConfig{{MaxWait: most}}}, rand.New(rand.NewPCG(1, 1)))
	now := burdockclock.Millis(1000)
	for i := range 40 { // each takes 200 ms: as much as the engine serves
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
			t.Fatalf("offer %d while paused: got %T, want to wait", i, d)
		}
		for _, event := range q.Dispatch(now) {
			t.Errorf("while paused: got %v, want nothing", event)
		}
		now += gap
	}
	q.AllowProbe(now)
	if got, want := len(q.Dispatch(now)), 1; got != want {
		t.Errorf("started on permission: got %d, want %d", got, want)
	}
	if d, refused := q.Offer(now, Request{ID: "last", Customer: "a", Cost: 10, Arrived: now}).(Refuse); refused {
		t.Errorf("offer after a second of pause: refused as %v, want to wait", d.Reason)
	}
	q.CheckInvariants()
	q.Pause(now, false)
	q.CheckInvariants()
	if got, want := len(q.Dispatch(now)), 0; got != want {
		t.Errorf("dropped or started as the pause ends, all slots being taken: got %d, want %d", got, want)
	}
}

// Guards against callers who are told to come back while the engine still stands.
func TestTimeToComeBackGrowsWithThePause(t *testing.T) {
	q := New(Config{Slots: 1, MaxQueued: 100, MaxRetryAfter: 5000, RetrySpread: 100, Classes: []ClassConfig{{MaxWait: 100}}}, rand.New(rand.NewPCG(1, 1)))
	q.Pause(1000, true)
	q.Offer(3000, Request{ID: "a", Customer: "a", Cost: 10, Arrived: 3000})
	events := q.Dispatch(3100)
	if len(events) != 1 {
		t.Fatalf("events: got %d, want 1", len(events))
	}
	if got, least := events[0].(Dropped).RetryAfter, burdockclock.Millis(2100); got < least {
		t.Errorf("time to come back after 2100 ms of pause: got %d, want %d at least", got, least)
	}
}
