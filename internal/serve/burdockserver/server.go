// Package burdockserver runs the HTTP servers of a process. It limits the resources
// that a sender can use and shuts down gracefully.
package burdockserver

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"burdockbend.example/burdockbend/internal/config/burdocksettings"
	"burdockbend.example/burdockbend/internal/serve/burdockstatus"
	"github.com/VictoriaMetrics/metrics"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"
)

// Server is an HTTP server on one listener.
type Server struct {
	name          string
	server        *http.Server
	listener      *limitedListener
	serveListener net.Listener // listener, wrapped in TLS if configured
	log           *zap.Logger
	draining      atomic.Bool
	done          chan struct{}
}

// Config configures a Server.
type Config struct {
	Name    string // in log messages and metric labels
	Address string
	TLS     *tls.Config // nil for plain TCP
	Limits  burdocksettings.Limits
	Log     *zap.Logger
	Metrics *metrics.Set
}

// headerSlackFactor times the header limit is what the server still reads, so that a
// request slightly over the limit gets an error in the API's format. Beyond that,
// net/http answers 431 with its own text and closes the connection.
const headerSlackFactor = 2

// Listen opens the listener and starts serving.
func Listen(cfg Config, handler http.Handler) (*Server, error) {
	tcp, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, errorx.Decorate(err, "listen for %s", cfg.Name)
	}
	limited := &limitedListener{Listener: tcp, limit: int64(cfg.Limits.MaxConnections)}
	s := &Server{name: cfg.Name, listener: limited, log: cfg.Log, done: make(chan struct{})}
	s.server = &http.Server{
		Handler:           s.closeWhileDraining(withBodyTimeout(cfg.Limits.BodyTimeoutMillis.Duration(), handler)),
		MaxHeaderBytes:    headerSlackFactor * cfg.Limits.MaxHeaderBytes,
		ReadHeaderTimeout: cfg.Limits.ReadHeaderTimeoutMillis.Duration(),
		IdleTimeout:       cfg.Limits.IdleTimeoutMillis.Duration(),
		ErrorLog:          zap.NewStdLog(cfg.Log),
	}
	if cfg.TLS != nil {
		s.serveListener = tls.NewListener(limited, cfg.TLS)
	} else {
		s.serveListener = burdockstatus.New(cfg.Name, cfg.Log, cfg.Metrics, nil).Observe(s.server, limited)
	}
	go s.run()
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Name returns the server's name from Config.
func (s *Server) Name() string { return s.name }

// Connections returns the number of open connections.
func (s *Server) Connections() int { return int(s.listener.open.Load()) }

// MaxConnections returns the limit on open connections.
func (s *Server) MaxConnections() int { return int(s.listener.limit) }

// RefusedConnections returns the number of connections that were closed because
// MaxConnections were open.
func (s *Server) RefusedConnections() int { return int(s.listener.refused.Load()) }

func (s *Server) run() {
	defer close(s.done)
	if err := s.server.Serve(s.serveListener); !errors.Is(err, http.ErrServerClosed) {
		s.log.Error("server stopped unexpectedly", zap.String("server", s.name), zap.Error(err))
	}
}

// closeWhileDraining adds "Connection: close" to each response while the server drains.
//
// A shutdown that closes an idle keep-alive connection may do so while the next request
// is in transit; the caller then sees a connection error and can't tell whether the
// request ran. With this header callers close their connections after a response, so
// none is in use at the end of the grace time.
func (s *Server) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Drain asks callers to close their connections. New connections are still accepted.
func (s *Server) Drain() { s.draining.Store(true) }

// Close stops listening, waits up to grace for open requests, then closes all remaining
// connections.
func (s *Server) Close(grace time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if err := s.server.Shutdown(ctx); err != nil {
		s.log.Warn("requests still open at the end of the grace time; closing their connections", zap.String("server", s.name), zap.Error(err))
		_ = s.server.Close()
	}
	<-s.done
}
