package burdockhostedproof

import (
	"net/http"
	"testing"
	"time"
)

// configurationBound is the time within which an accepted configuration is in force.
const configurationBound = 2 * time.Second

// Guards against a route that is answered 404 for as long as a watch waits, because the
// store has lost the watch while its connection stands.
func TestLostWatchDeniesNoProperRequest(t *testing.T) {
	s := startSite(t, 2, 1, nil)
	time.Sleep(time.Second) // all watches wait
	s.store.LoseWatches()
	s.routes = append(s.routes, route{Name: "new", Hostname: host, Prefix: "/new/", Type: "idempotent", Timeout: 800, Objective: 100, Service: service, Attempts: 2})
	s.configure()
	time.Sleep(configurationBound)
	for _, e := range s.entries {
		if got, want := e.get(t, "/new/1"), http.StatusNotFound; got == want {
			t.Errorf("%s: got status %d %v after the configuration was accepted, want that of a replica", e.name, got, configurationBound)
		}
	}
}
