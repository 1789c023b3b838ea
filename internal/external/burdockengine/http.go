package burdockengine

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"burdockbend.example/burdockbend/internal/wire/burdocktransport"
)

const (
	dialTimeout = time.Second
	idleTimeout = 30 * time.Second
	// maxIdleConns covers the slots of one engine. With fewer, the end of a burst closes
	// connections that the next burst has to open again.
	maxIdleConns = 128
)

// httpEngine is the HTTP client of the upstream at one address.
type httpEngine struct {
	transport http.RoundTripper
	address   string
	base      string
}

// NewHTTP returns the Engine at address, an IP and port.
func NewHTTP(address string) Engine {
	return &httpEngine{
		address: address,
		base:    "http://" + address,
		transport: burdocktransport.New(&http.Transport{
			MaxResponseHeaderBytes: burdocktransport.MaxResponseHeader,
			DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost:    maxIdleConns,
			IdleConnTimeout:        idleTimeout,
			DisableCompression:     true, // bodies pass through unchanged
		}),
	}
}

// Do implements Engine.
func (e *httpEngine) Do(ctx context.Context, call Call) (Answer, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		if !connected.Swap(true) && call.BeforeSend != nil {
			call.BeforeSend()
		}
	}}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), call.Method, e.url(call), bytes.NewReader(call.Body))
	if err != nil {
		return Answer{}, ErrNotSent.Wrap(err, "build request")
	}
	if call.Header != nil {
		req.Header = call.Header
	}
	if call.Priority != nil {
		req.Header = req.Header.Clone()
		req.Header.Set(PriorityHeader, strconv.Itoa(*call.Priority))
	}
	res, err := e.transport.RoundTrip(req)
	if err != nil && !connected.Load() {
		return Answer{}, ErrNotSent.Wrap(err, "no connection to %s", e.base)
	}
	if err != nil {
		return Answer{}, ErrBroken.Wrap(err, "no answer from %s", e.base)
	}
	return Answer{Status: res.StatusCode, Header: res.Header, Body: res.Body, Framed: burdocktransport.Framed(res)}, nil
}

// Check implements Engine.
func (e *httpEngine) Check(ctx context.Context) error {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", e.address)
	if err != nil {
		return ErrNotSent.Wrap(err, "no connection to %s", e.address)
	}
	return conn.Close()
}

func (e *httpEngine) url(call Call) string {
	if call.Query == "" {
		return e.base + call.Path
	}
	return e.base + call.Path + "?" + call.Query
}
