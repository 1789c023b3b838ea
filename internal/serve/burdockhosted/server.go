package burdockhosted

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockparts"
	"burdockbend.example/burdockbend/internal/serve/burdockdirect"
	"burdockbend.example/burdockbend/internal/serve/burdockstatus"
	"github.com/VictoriaMetrics/metrics"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"
)

const (
	// headerTimeout and idleTimeout are longer than any caller needs, so that callers
	// close first.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeader is several times the size that the platform allows callers to send.
	maxHeader = 64 << 10
)

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader}
}

// adminHandler serves the metrics and, if entry is not nil, what it has found out about requests
// that crash upstreams.
func adminHandler(set *metrics.Set, entry *burdockdirect.Entry) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { set.WritePrometheus(w) })
	if entry == nil {
		return mux
	}
	mux.HandleFunc("GET /suspects", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, entry.CrashingRequests()) })
	mux.HandleFunc("GET /suspects/parts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, entry.SuspectedParts()) })
	mux.HandleFunc("DELETE /suspects/parts/{service}/{part}", func(w http.ResponseWriter, r *http.Request) {
		key := burdockparts.Key{Service: burdockid.Service(r.PathValue("service")), Part: burdockid.PromptPart(r.PathValue("part"))}
		if !entry.FreePart(key) {
			http.Error(w, "part "+string(key.Part)+" of service "+string(key.Service)+" is not quarantined", http.StatusNotFound)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// If writing fails, the client has gone.
	_ = json.NewEncoder(w).Encode(value)
}

// endpoint is a server and the address where it listens.
type endpoint struct {
	name    string
	server  *http.Server
	address string
	// describe returns the log fields of a request; nil for none.
	describe burdockstatus.Describe
	// connections bounds the open connections; nil for no bound.
	connections *connections
}

// listenAll starts all servers. Their 3xx and 4xx responses are logged, and counted in set.
func listenAll(log *zap.Logger, set *metrics.Set, all ...endpoint) error {
	for _, l := range all {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return errorx.Decorate(err, "listen for %s", l.name)
		}
		if l.connections != nil {
			listener = l.connections.bound(l.server, listener)
		}
		observed := burdockstatus.New(l.name, log, set, l.describe).Observe(l.server, listener)
		go server{l.server, observed, log}.run()
	}
	return nil
}

// server serves one listener.
type server struct {
	server   *http.Server
	listener net.Listener
	log      *zap.Logger
}

func (s server) run() {
	if err := s.server.Serve(s.listener); err != nil && err != http.ErrServerClosed {
		s.log.Error("listener failed", zap.Error(err))
	}
}
