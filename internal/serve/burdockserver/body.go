package burdockserver

import (
	"io"
	"net/http"
	"time"
)

// bounded gives each request's body a time in which it must have come.
//
// A sender that trickles its body would hold a connection and memory for as
// long as it likes. The time starts with the body, so a connection that waits
// for its next request isn't counted, and ends with its last byte: after that
// the server reads on only to learn that the sender has gone.
func bounded(timeout time.Duration, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != nil && r.Body != http.NoBody {
			control := http.NewResponseController(w)
			_ = control.SetReadDeadline(time.Now().Add(timeout))
			r.Body = &boundedBody{ReadCloser: r.Body, control: control}
		}
		next.ServeHTTP(w, r)
	})
}

// boundedBody lifts the time limit once the whole body has come.
type boundedBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}
