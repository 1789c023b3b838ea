// Package burdocktransport holds the HTTP and RPC transport settings that hops share.
package burdocktransport

import (
	"net/http"
	"net/http/httptrace"

	"github.com/joomcode/errorx"
)

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("transport")

// roundTripper is what New returns.
type roundTripper struct{ next *http.Transport }

// New returns the RoundTripper for all HTTP clients. It sends each request at most once.
//
// An answer with an invalid head is not returned; it fails with ErrMalformedHead, and its connection
// is closed. The body of an answer that only the end of its connection ends fails with ErrCutShort, in
// place of io.EOF, unless the whole request has been sent.
//
// New changes t, which must not be used otherwise.
func New(t *http.Transport) http.RoundTripper {
	t.DialContext = checked(t.DialContext)
	return roundTripper{t}
}

// CloseIdleConnections closes the idle connections. It is called by
// http.Client.CloseIdleConnections.
func (r roundTripper) CloseIdleConnections() { r.next.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (r roundTripper) RoundTrip(req *http.Request) (*http.Response, error) {
	s := &sending{}
	ctx := httptrace.WithClientTrace(req.Context(), s.trace())
	res, err := r.next.RoundTrip(sendableOnce(ctx, req))
	if err != nil {
		return nil, err
	}
	if err := checkHead(res); err != nil { // with TLS, the connection doesn't see heads
		_ = res.Body.Close()
		s.closeConn()
		return nil, err
	}
	if !Framed(res) && res.Body != http.NoBody {
		res.Body = &unframedBody{ReadCloser: res.Body, ctx: ctx, sending: s}
	}
	return res, nil
}

// Framed reports whether a response has a length or is chunked. Otherwise a broken connection
// may look like the end of the body.
func Framed(res *http.Response) bool {
	return res.ContentLength >= 0 || len(res.TransferEncoding) > 0
}
