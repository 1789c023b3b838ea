package burdockagent

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/external/burdockengine"
)

// Guards against requests that are sent to an engine in the pause that it has asked for.
func TestPauseOfTheEngineIsKept(t *testing.T) {
	e := newTestEnv(t, 0)
	e.engine.AskForPause("2.5")
	if got := e.run(t, chatRequest("first")).GetEnd(); got == nil {
		t.Fatal("first request: got no answer, want the engine's 503")
	}
	e.engine.AskForPause("")
	refusal := e.run(t, chatRequest("second")).GetRefused()
	if refusal == nil || refusal.GetRetryAfterMillis() != 2500 {
		t.Errorf("request in the pause: got %v, want a refusal for 2,500 ms", refusal)
	}
	if got := e.runCount("second"); got != 0 {
		t.Errorf("runs in the pause: got %d, want none", got)
	}
	e.clock.Advance(2500 * burdockclock.Millis(1))
	if got := e.run(t, chatRequest("third")); got.GetEnd() == nil || e.runCount("third") != 1 {
		t.Errorf("request after the pause: got %v, want an answer", got)
	}
}

// Guards against queued requests that start in the pause, or never.
func TestQueuedRequestsWaitForTheEndOfThePause(t *testing.T) {
	const slots, requests = 4, 6
	e := newTestEnv(t, 50*time.Millisecond)
	var done sync.WaitGroup
	for i := range requests {
		done.Go(func() { e.run(t, chatRequest(fmt.Sprint("r", i))) })
	}
	waitFor(t, "all slots are taken and the others queued", func() bool { return e.queued() == requests-slots })
	e.agent.recordPause(burdockengine.Answer{Status: http.StatusServiceUnavailable, Header: http.Header{"Retry-After": {"2"}}})
	waitFor(t, "the running requests have ended", func() bool { return e.engine.Runs().Finished == slots })
	if got := e.queued(); got != requests-slots {
		t.Errorf("queued in the pause: got %d, want %d", got, requests-slots)
	}
	e.clock.Advance(2 * burdockclock.Second)
	done.Wait()
	if got := e.engine.Runs().Finished; got != requests {
		t.Errorf("finished after the pause: got %d, want %d", got, requests)
	}
}

func (e *testEnv) queued() int {
	e.agent.mu.Lock()
	defer e.agent.mu.Unlock()
	return e.agent.queue.Load().Queued
}
