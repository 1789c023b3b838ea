// Package burdockserver runs the HTTP servers of a process: with limits on
// what a sender may cost, and a stop that cuts nothing.
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
	"github.com/joomcode/errorx"
	"go.uber.org/zap"
)

// Server is one listener and what answers on it.
type Server struct {
	name     string
	server   *http.Server
	listener *limitedListener
	served   net.Listener // listener, with TLS around it if that is asked for
	log      *zap.Logger
	draining atomic.Bool
	done     chan struct{}
}

// Config says how a server listens.
type Config struct {
	Name    string // for the log
	Address string
	TLS     *tls.Config // nil for plain TCP
	Limits  burdocksettings.Limits
	Log     *zap.Logger
}

// headerSlack is how far beyond the limit headers are still read, so that who
// sent a little too much gets an answer in the API's shape. Beyond that the
// library answers 431 in its own words and closes the connection.
const headerSlack = 2

// Listen opens the listener and begins to serve.
func Listen(cfg Config, handler http.Handler) (*Server, error) {
	opened, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, errorx.Decorate(err, "listen for %s", cfg.Name)
	}
	limited := &limitedListener{Listener: opened, limit: int64(cfg.Limits.MaxConnections)}
	var served net.Listener = limited
	if cfg.TLS != nil {
		served = tls.NewListener(limited, cfg.TLS)
	}
	s := &Server{name: cfg.Name, listener: limited, served: served, log: cfg.Log, done: make(chan struct{})}
	s.server = &http.Server{
		Handler:           s.closing(bounded(cfg.Limits.BodyTimeoutMillis.Duration(), handler)),
		MaxHeaderBytes:    headerSlack * cfg.Limits.MaxHeaderBytes,
		ReadHeaderTimeout: cfg.Limits.ReadHeaderTimeoutMillis.Duration(),
		IdleTimeout:       cfg.Limits.IdleTimeoutMillis.Duration(),
		ErrorLog:          zap.NewStdLog(cfg.Log),
	}
	go s.run()
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Name returns what the listener is for.
func (s *Server) Name() string { return s.name }

// Connections returns how many connections are open.
func (s *Server) Connections() int { return int(s.listener.open.Load()) }

// MaxConnections returns how many connections may be open.
func (s *Server) MaxConnections() int { return int(s.listener.limit) }

// RefusedConnections returns how many connections were closed because as many
// as may be were open.
func (s *Server) RefusedConnections() int { return int(s.listener.refused.Load()) }

func (s *Server) run() {
	defer close(s.done)
	if err := s.server.Serve(s.served); !errors.Is(err, http.ErrServerClosed) {
		s.log.Error("server ended", zap.String("server", s.name), zap.Error(err))
	}
}

// closing adds "Connection: close" to each answer once the server drains.
//
// Failure: a stop closes an idle kept-alive connection while the next request
// is on its way. Symptom: the caller sees a cut and can't tell whether it ran.
// With this header each caller closes its own connection after an answer, so
// by the end of the grace time none is left in use.
func (s *Server) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Drain asks callers to close their connections. New ones are still taken.
func (s *Server) Drain() { s.draining.Store(true) }

// Close stops listening, waits for open requests up to grace, and ends.
func (s *Server) Close(grace time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if err := s.server.Shutdown(ctx); err != nil {
		s.log.Warn("requests were still open at the end of the grace time", zap.String("server", s.name), zap.Error(err))
		_ = s.server.Close()
	}
	<-s.done
}
