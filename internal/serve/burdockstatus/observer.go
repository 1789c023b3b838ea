// Package burdockstatus logs and counts the responses with a 3xx or 4xx status that an HTTP
// server sends, whichever layer sent them.
//
// net/http answers a request that it can't parse by itself, before any handler runs. Only
// the connection sees that response, so the status is read from what is written to it.
package burdockstatus

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// Layer is the part of a server that sent a response.
type Layer string

// Layers of a server.
const (
	// LayerHandler is the server's handler.
	LayerHandler Layer = "handler"
	// LayerHTTP is net/http itself; no handler has seen the request.
	LayerHTTP Layer = "http"
)

// Observer observes the connections of one server.
type Observer struct {
	server   string
	log      *zap.Logger
	set      *metrics.Set
	describe Describe
}

// Describe returns the log fields for a request; r is nil if no handler has seen it. It
// must not call methods of r.Body.
type Describe func(r *http.Request) []zap.Field

// New returns an observer for the server with the given name. A nil describe adds no fields.
func New(server string, log *zap.Logger, set *metrics.Set, describe Describe) *Observer {
	if describe == nil {
		describe = func(*http.Request) []zap.Field { return nil }
	}
	return &Observer{server: server, log: log, set: set, describe: describe}
}

type connKey struct{}

// Observe makes a server report its responses. It returns the listener that the server
// must serve: l, for plain TCP connections. It must be called before the server serves. A
// ConnState that the server has already goes on being called, with the connections of l.
func (o *Observer) Observe(s *http.Server, l net.Listener) net.Listener {
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.handlerStarts(r)
		}
		next.ServeHTTP(w, r)
	})
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	before := s.ConnState
	s.ConnState = func(nc net.Conn, state http.ConnState) {
		c, ok := nc.(*conn)
		if !ok {
			return
		}
		if state == http.StateIdle {
			c.awaitRequest()
		}
		if before != nil {
			before(c.Conn, state)
		}
	}
	return &listener{Listener: l, observer: o}
}

// maxLogged bounds what a caller can make a line hold: lines wait in memory for the reader
// of the log.
const maxLogged = 200

func shorten(s string) string { return s[:min(len(s), maxLogged)] }

// report logs and counts one response. The path is logged without its query, which may
// hold what callers keep private.
func (o *Observer) report(c net.Conn, r *http.Request, line string, status int) {
	layer := LayerHandler
	fields := []zap.Field{zap.String("server", o.server), zap.Int("status", status), zap.String("remote", c.RemoteAddr().String())}
	if r == nil {
		layer = LayerHTTP
		fields = append(fields, zap.String("requestLine", line))
	} else {
		fields = append(fields, zap.String("method", shorten(r.Method)), zap.String("host", shorten(r.Host)), zap.String("path", shorten(r.URL.EscapedPath())))
	}
	fields = append(fields, zap.String("layer", string(layer)))
	o.log.Info("3xx or 4xx sent", append(fields, o.describe(r)...)...)
	// There are few servers, layers and statuses.
	labels := fmt.Sprintf("{server=%q,layer=%q,status=%q}", o.server, layer, strconv.Itoa(status))
	o.set.GetOrCreateCounter("burdock_http_client_errors_total" + labels).Inc()
}
