// Package burdockadmin serves the operators' endpoint: the state and metrics of a
// process, its health, and its readiness for the platform's balancer. The endpoint has a
// listener of its own, separate from the callers'.
package burdockadmin

import (
	"encoding/json"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// Paths that operators and the platform request.
const (
	PathState   = "/state"
	PathMetrics = "/metrics"
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
)

// Process is the process that the handlers report on.
type Process interface {
	// Dump returns the state of the process, which is encoded as JSON.
	Dump() any
	// Ready returns why the process should get no requests, or "" if it is ready.
	Ready() string
	// Metrics returns the metrics of the process.
	Metrics() *metrics.Set
}

// NewHandler returns the handler of the operators' endpoint.
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

// NewReady returns a handler for the readiness check alone, for the listener that the
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
