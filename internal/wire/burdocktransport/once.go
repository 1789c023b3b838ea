// Package burdocktransport holds the HTTP client side that every hop shares.
package burdocktransport

import (
	"bytes"
	"io"
	"net/http"
)

// once is a RoundTripper that gives each request a body that can't be rewound.
type once struct{ next http.RoundTripper }

// NewOnce returns a RoundTripper that sends each request at most once.
//
// When a kept-alive connection dies, net/http's Transport by itself sends a
// GET again, and a POST that has an Idempotency-Key header: the other side
// would run it twice and nobody would know. It does so only for a request
// whose body is absent or can be had again. A body that can be read once,
// though empty, rules that out for every method.
func NewOnce(next http.RoundTripper) http.RoundTripper { return once{next: next} }

// CloseIdleConnections lets http.Client.CloseIdleConnections reach through.
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
		// Length unknown: net/http then looks, finds nothing and sends no body.
		// With a stated length of 0 it would take the body for absent.
		sent.ContentLength = -1
	} else {
		sent.Body = onceBody{sent.Body}
	}
	return o.next.RoundTrip(sent)
}

// onceReader and onceBody hide that what is below them can be rewound.
type onceReader struct{ io.Reader }

type onceBody struct{ io.ReadCloser }
