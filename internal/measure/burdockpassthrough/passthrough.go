// Package burdockpassthrough is a bare hop written for the benchmark: it
// passes each request on to one address and the answer back, and does nothing
// else. What the balancer costs is told as a multiple of it.
package burdockpassthrough

import (
	"context"
	"io"
	"maps"
	"net/http"
)

const (
	bufferBytes = 32 << 10
	// maxIdle covers the requests of one benchmark.
	maxIdle = 1024
)

// handler passes requests on.
type handler struct {
	base      string
	transport *http.Transport
}

// NewHandler returns a handler that passes each request on to target.
func NewHandler(target string) http.Handler {
	return &handler{base: "http://" + target, transport: &http.Transport{
		MaxIdleConns:        maxIdle,
		MaxIdleConnsPerHost: maxIdle,
		DisableCompression:  true,
	}}
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	res, err := h.send(r.Context(), r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer func() { _ = res.Body.Close() }()
	maps.Copy(w.Header(), res.Header)
	w.WriteHeader(res.StatusCode)
	if copyFlushing(w, res.Body) != nil {
		panic(http.ErrAbortHandler) // the caller must not take part for all
	}
}

func (h *handler) send(ctx context.Context, r *http.Request) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, h.base+r.URL.RequestURI(), r.Body)
	if err != nil {
		return nil, err
	}
	req.Header = r.Header
	req.ContentLength = r.ContentLength
	return h.transport.RoundTrip(req)
}

// copyFlushing passes bytes on as they come, each read flushed.
func copyFlushing(w http.ResponseWriter, body io.Reader) error {
	control := http.NewResponseController(w)
	buffer := make([]byte, bufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return err
			}
			if err := control.Flush(); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
