package burdockhostedproof

import (
	"net/http"
	"testing"
	"time"
)

// Guards against an entry that has just started and answers 404 for a route that it would
// know if it had not read an old copy of the configuration.
func TestStartedEntryKnowsTheLatestConfiguration(t *testing.T) {
	s := startSite(t, 1, 1, nil)
	s.store.FreezeStale(time.Second)
	s.routes = append(s.routes, route{Name: "new", Hostname: host, Prefix: "/new/", Type: "idempotent", Timeout: 800, Objective: 100, Service: service, Attempts: 2})
	s.configure()
	e := s.entries[0]
	e.Kill()
	e.start(t)
	e.waitReady(t)
	if got, want := e.get(t, "/new/1"), http.StatusNotFound; got == want {
		t.Errorf("got status %d of an entry that is ready, want that of a replica", got)
	}
}
