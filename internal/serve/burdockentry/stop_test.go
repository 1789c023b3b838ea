package burdockentry

import (
	"net/http"
	"strings"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
)

// Guards against requests that are accepted during a planned stop although it may cut them off.
func TestNoRequestIsAcceptedWhoseDeadlineComesAfterTheStop(t *testing.T) {
	agent := &scriptedAgent{script: func(id string) []*burdockwire.RunEvent {
		return []*burdockwire.RunEvent{admitted(id), head(id), chunk(id, 0, "abc"), end(id, 3)}
	}}
	e, server, key := newEntry(t, agent)
	e.Drain(e.deps.Clock.Boot() + burdockclock.Second)
	status, body, err := post(server.URL+"/cards/1", key)
	if err != nil || status != http.StatusServiceUnavailable || !strings.Contains(body, `"notRun":true`) {
		t.Errorf("got status %d body %q err %v, want 503 and not run", status, body, err)
	}
	if got, want := agent.runs.Load(), int64(0); got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

// Guards against refusing requests during a planned stop that ends long after them.
func TestRequestIsServedWhoseDeadlineComesBeforeTheStop(t *testing.T) {
	agent := &scriptedAgent{script: func(id string) []*burdockwire.RunEvent {
		return []*burdockwire.RunEvent{admitted(id), head(id), chunk(id, 0, "abc"), end(id, 3)}
	}}
	e, server, key := newEntry(t, agent)
	e.Drain(e.deps.Clock.Boot() + 60*burdockclock.Minute)
	if status, body, err := post(server.URL+"/cards/1", key); err != nil || status != http.StatusOK || body != "abc" {
		t.Errorf("got status %d body %q err %v, want 200", status, body, err)
	}
}
