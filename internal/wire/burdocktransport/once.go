// Package burdocktransport holds the HTTP and RPC transport settings that hops share.
package burdocktransport

import (
	"bytes"
	"io"
	"net/http"
)

// once is a RoundTripper that gives each request a body that can't be read again.
type once struct{ next http.RoundTripper }

// NewOnce returns a RoundTripper that sends each request at most once.
//
// When a kept-alive connection breaks, net/http's Transport sends a GET again, and a POST
// that has an Idempotency-Key header, so that the server may run it twice unnoticed. It does
// so only if the request's body is absent or can be read again. A body that can be read only
// once, even an empty one, prevents that for every method.
func NewOnce(next http.RoundTripper) http.RoundTripper { return once{next: next} }

// CloseIdleConnections closes the idle connections of the wrapped RoundTripper. It is called by
// http.Client.CloseIdleConnections.
func (o once) CloseIdleConnections() {
	if c, ok := o.next.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// RoundTrip implements http.RoundTripper.
func (o once) RoundTrip(req *http.Request) (*http.Response, error) {
	sent := req.WithContext(req.Context()) // a shallow copy
	sent.GetBody = nil
	if sent.Body == nil || sent.Body == http.NoBody {
		sent.Body = io.NopCloser(onceReader{bytes.NewReader(nil)})
		// With an unknown length net/http reads the body, finds it empty and sends none.
		// With a length of 0 it would treat the body as absent.
		sent.ContentLength = -1
	} else {
		sent.Body = onceBody{sent.Body}
	}
	return o.next.RoundTrip(sent)
}

// onceReader and onceBody hide methods by which the wrapped body could be read again.
type onceReader struct{ io.Reader }

type onceBody struct{ io.ReadCloser }
