// Package burdockpassthrough is a minimal reverse proxy for benchmarks, the bare hop: it
// forwards each request to one address and returns the answer. The cost of the balancer
// is given as a multiple of its cost.
package burdockpassthrough

import (
	"context"
	"io"
	"maps"
	"net/http"
)

const (
	bufferBytes = 32 << 10
	// maxIdle covers the concurrent requests of one benchmark.
	maxIdle = 1024
)

// handler forwards requests.
type handler struct {
	base      string
	transport *http.Transport
}

// NewHandler returns a handler that forwards each request to target.
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
		panic(http.ErrAbortHandler) // otherwise a truncated answer looks complete to the caller
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

// copyFlushing copies body to w and flushes after each read.
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
