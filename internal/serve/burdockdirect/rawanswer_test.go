package burdockdirect

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"burdockbend.example/burdockbend/internal/standin/burdockraw"
)

// putRaw adds an upstream that answers each request with raw bytes, in which ID stands for the
// request's ID.
func (f *fixture) putRaw(t *testing.T, answer burdockraw.Answer) *burdockraw.Server {
	t.Helper()
	s := burdockraw.Start(t, func(r *http.Request) burdockraw.Answer {
		named := answer
		named.Text = strings.ReplaceAll(answer.Text, "ID", r.Header.Get("X-Id"))
		return named
	})
	f.putAddress(s.Address())
	return s
}

// upload sends a request with a body on a connection of its own.
func (f *fixture) upload(ctx context.Context, path, id string, body []byte) reply {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.web.URL+path, bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set("X-Id", id)
	req.Header.Set("X-Key", "key")
	transport := &http.Transport{DisableKeepAlives: true}
	res, err := transport.RoundTrip(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	return reply{status: res.StatusCode, header: res.Header, body: string(text), err: err}
}
