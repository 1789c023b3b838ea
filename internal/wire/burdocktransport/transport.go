// Package burdocktransport holds the HTTP and RPC transport settings that hops share.
package burdocktransport

import "net/http"

// roundTripper is what New returns.
type roundTripper struct{ next *http.Transport }

// New returns the RoundTripper for all HTTP clients. It sends each request at most once.
func New(t *http.Transport) http.RoundTripper { return roundTripper{t} }

// CloseIdleConnections closes the idle connections. It is called by
// http.Client.CloseIdleConnections.
func (r roundTripper) CloseIdleConnections() { r.next.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (r roundTripper) RoundTrip(req *http.Request) (*http.Response, error) {
	return r.next.RoundTrip(sendableOnce(req.Context(), req))
}
