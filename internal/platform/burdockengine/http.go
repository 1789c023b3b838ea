package burdockengine

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

const (
	dialTimeout = time.Second
	idleTimeout = 30 * time.Second
	// maxIdle covers the slots of one engine, so that a burst that ends doesn't
	// close connections that the next one opens again.
	maxIdle = 128
)

// httpEngine speaks to an upstream at one address.
type httpEngine struct {
	transport *http.Transport
	base      string
}

// NewHTTP returns the Engine at address, an IP and port.
func NewHTTP(address string) Engine {
	return &httpEngine{
		base: "http://" + address,
		transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: maxIdle,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true, // bodies pass through unchanged
		},
	}
}

// Do implements Engine.
func (e *httpEngine) Do(ctx context.Context, call Call) (Answer, error) {
	var begun atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { begun.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), call.Method, e.url(call), nil)
	if err != nil {
		return Answer{}, ErrNotSent.Wrap(err, "build request")
	}
	if call.Header != nil {
		req.Header = call.Header
	}
	setBodyOnce(req, call.Body)
	res, err := e.transport.RoundTrip(req)
	if err != nil && !begun.Load() {
		return Answer{}, ErrNotSent.Wrap(err, "no connection to %s", e.base)
	}
	if err != nil {
		return Answer{}, ErrBroken.Wrap(err, "no answer from %s", e.base)
	}
	return Answer{Status: res.StatusCode, Header: res.Header, Body: res.Body}, nil
}

func (e *httpEngine) url(call Call) string {
	if call.Query == "" {
		return e.base + call.Path
	}
	return e.base + call.Path + "?" + call.Query
}

// setBodyOnce gives req a body that net/http cannot rewind.
//
// When a kept-alive connection dies, net/http's Transport by itself sends a
// GET again, and a POST that has an Idempotency-Key header: the upstream would
// run it twice and nobody would know. It does so only for a request whose body
// is absent or can be had again. A body that can be read once, though empty,
// rules that out for every method.
func setBodyOnce(req *http.Request, body []byte) {
	req.Body = io.NopCloser(onceReader{bytes.NewReader(body)})
	req.ContentLength = int64(len(body))
	if len(body) == 0 {
		// Length unknown: net/http then looks, finds nothing and sends no body.
		// With a stated length of 0 it would take the body for absent.
		req.ContentLength = -1
	}
	req.GetBody = nil
}

// onceReader hides that the reader below it can be rewound.
type onceReader struct{ io.Reader }
