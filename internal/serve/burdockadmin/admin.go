// Package burdockadmin answers operators: the state of a process, its metrics,
// and whether the platform's balancer should send it work. It listens apart
// from callers.
package burdockadmin

import (
	"encoding/json"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// Paths that an operator or the platform asks for.
const (
	PathState   = "/state"
	PathMetrics = "/metrics"
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
)

// Process is what the handler shows.
type Process interface {
	// Dump returns the state of the process, to be shown as JSON.
	Dump() any
	// Ready returns why the process should get no work, or "".
	Ready() string
	// Metrics returns the set of metrics of the process.
	Metrics() *metrics.Set
}

// NewHandler returns what operators are served by.
func NewHandler(p Process) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathState, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(p.Dump())
	})
	mux.HandleFunc("GET "+PathMetrics, func(w http.ResponseWriter, _ *http.Request) {
		p.Metrics().WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET "+PathHealth, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.Handle("GET "+PathReady, NewReady(p))
	return mux
}

// NewReady returns the readiness check alone, for the listener that the
// platform's balancer can reach.
func NewReady(p Process) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if reason := p.Ready(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
}
