package burdockdirect

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

const (
	// defaultMaxBody bounds a request body when the configuration sets no limit.
	defaultMaxBody = 8 << 20
	// defaultBodyTimeout bounds the reading of a body. A caller that sends slowly would
	// otherwise hold a connection and memory for as long as it likes.
	defaultBodyTimeout = 10 * burdockclock.Second
)

func (c Config) bodyTimeout() time.Duration {
	if c.BodyTimeoutMillis > 0 {
		return c.BodyTimeoutMillis.Duration()
	}
	return defaultBodyTimeout.Duration()
}

// readBody reads the body of at most limit bytes; 0 selects the default limit.
func (req *request) readBody(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) *refusal {
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if req.body != nil { // read while the entry started
		if int64(len(req.body)) > limit {
			return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
		}
		return nil
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(timeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	_ = control.SetReadDeadline(time.Time{})
	if err != nil {
		// The rest of the body is not awaited.
		w.Header().Set("Connection", "close")
		return bodyRefusal(err)
	}
	req.body = body
	return nil
}

// bodyRefusal returns the refusal of a request whose body could not be read.
func bodyRefusal(err error) *refusal {
	var tooLarge *http.MaxBytesError
	var network net.Error
	switch {
	case errors.As(err, &tooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	case errors.As(err, &network) && network.Timeout():
		return &refusal{status: http.StatusRequestTimeout, reason: "not run: the body did not arrive in time"}
	}
	return &refusal{status: http.StatusBadRequest, reason: "body not read: " + err.Error()}
}
