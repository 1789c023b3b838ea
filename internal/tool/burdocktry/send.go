package burdocktry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"burdockbend.example/burdockbend/internal/wire/burdocktransport"
	"github.com/joomcode/errorx"
)

const sendTimeout = 30 * time.Second

// sampleRequest is a request that the trial sends, with the status that it expects.
type sampleRequest struct {
	title  string
	method string
	path   string
	body   string
	status int
}

var sampleRequests = []sampleRequest{
	{"chat", http.MethodPost, "/v1/chat/completions", chatBody(false), http.StatusOK},
	{"chat, streamed", http.MethodPost, "/v1/chat/completions", chatBody(true), http.StatusOK},
	{"plain service, may be repeated", http.MethodGet, "/licence/17", "", http.StatusOK},
	{"plain service, runs at most once", http.MethodPost, "/model-cards/lookup", `{"part":"BC547"}`, http.StatusOK},
	{"models", http.MethodGet, "/v1/models", "", http.StatusOK},
	{"unknown model", http.MethodPost, "/v1/completions", `{"model":"none","prompt":"x"}`, http.StatusNotFound},
}

func chatBody(stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%v,"max_tokens":5,"messages":[{"role":"user","content":"a two-stage amplifier"}]}`, modelName, stream)
}

// sendSampleRequests sends the sample requests to the entries in turn and prints the
// answers.
func (f *fleet) sendSampleRequests(ctx context.Context, w io.Writer, key string) error {
	client := &http.Client{Transport: burdocktransport.New(&http.Transport{}), Timeout: sendTimeout}
	defer client.CloseIdleConnections()
	for i, r := range sampleRequests {
		base := "http://" + f.entries[i%len(f.entries)].Address()
		status, body, err := r.send(ctx, client, base, key)
		if err != nil {
			return errorx.Decorate(err, "%s", r.title)
		}
		_, _ = fmt.Fprintf(w, "== %s: %s %s -> %d\n%s\n\n", r.title, r.method, r.path, status, strings.TrimSpace(body))
		if status != r.status {
			return errorx.ExternalError.New("%s: status %d, want %d", r.title, status, r.status)
		}
	}
	return nil
}

func (r sampleRequest) send(ctx context.Context, client *http.Client, base, key string) (int, string, error) {
	req, err := http.NewRequestWithContext(ctx, r.method, base+r.path, strings.NewReader(r.body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	res, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return res.StatusCode, string(body), err
}
