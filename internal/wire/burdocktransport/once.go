package burdocktransport

import (
	"bytes"
	"context"
	"io"
	"net/http"
)

// sendableOnce returns a copy of a request, with another context, that net/http sends at most once.
//
// When a kept-alive connection breaks, net/http's Transport sends a GET again, and a POST
// that has an Idempotency-Key header, so that the server may run it twice unnoticed. It does
// so only if the request's body is absent or can be read again. A body that can be read only
// once, even an empty one, prevents that for every method.
func sendableOnce(ctx context.Context, req *http.Request) *http.Request {
	sent := req.WithContext(ctx) // a shallow copy
	sent.GetBody = nil
	switch {
	case sent.Body != nil && sent.Body != http.NoBody:
		sent.Body = onceBody{sent.Body}
	case lacksBodyUsually(sent.Method):
		sent.Body, sent.ContentLength = emptyBody(), unknownLength
		// Without a coding, net/http tries for a while to read a byte of a body of unknown
		// length, and sends the request in chunks if that takes too long.
		sent.TransferEncoding = []string{"identity"}
	case hasIdempotencyKey(sent.Header):
		sent.Body, sent.ContentLength = emptyBody(), unknownLength
	default:
		sent.Body, sent.ContentLength = http.NoBody, 0
	}
	return sent
}

// unknownLength is the ContentLength of a body whose length is not known. With 0, net/http
// would treat an empty body as absent.
const unknownLength = -1

// lacksBodyUsually reports whether net/http repeats requests with this method unless they
// have a body.
func lacksBodyUsually(method string) bool {
	switch method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// hasIdempotencyKey reports whether net/http repeats a bodiless request with these headers.
func hasIdempotencyKey(h http.Header) bool {
	return len(h["Idempotency-Key"]) > 0 || len(h["X-Idempotency-Key"]) > 0
}

// emptyBody returns an empty body that net/http does not recognize as such.
func emptyBody() io.ReadCloser { return io.NopCloser(onceReader{bytes.NewReader(nil)}) }

// onceReader and onceBody hide methods by which the wrapped body could be read again.
type onceReader struct{ io.Reader }

type onceBody struct{ io.ReadCloser }
