package burdockserver

import (
	"io"
	"net/http"
	"time"
)

// withBodyTimeout limits the time in which a request's whole body must arrive.
//
// Without a limit, a sender that trickles its body holds a connection and memory
// indefinitely. The deadline starts with the body, so an idle connection that waits for
// its next request isn't affected. It is lifted after the last byte, because from then
// on the server reads only to detect that the sender has disconnected.
func withBodyTimeout(timeout time.Duration, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != nil && r.Body != http.NoBody {
			control := http.NewResponseController(w)
			_ = control.SetReadDeadline(time.Now().Add(timeout))
			r.Body = &deadlineBody{ReadCloser: r.Body, control: control}
		}
		next.ServeHTTP(w, r)
	})
}

// deadlineBody clears the read deadline once the whole body has been read.
type deadlineBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read implements io.Reader.
func (b *deadlineBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}
