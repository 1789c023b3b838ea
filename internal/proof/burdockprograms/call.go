package burdockprograms

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"burdockbend.example/burdockbend/internal/standin/burdockfakeengine"
)

// Call is one request of a caller.
type Call struct {
	Method string
	Path   string
	Body   string
	Header map[string]string
}

// Answer is what the caller saw.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	// Err is set when no answer came, or when it broke off.
	Err error
}

// NotRun reports whether the answer says that the request did not run.
func (a Answer) NotRun() bool { return a.Header.Get("Burdock-Not-Run") == "true" }

// Whole reports whether the caller has a whole answer of the upstream.
func (a Answer) Whole() bool { return a.Err == nil && a.Status == http.StatusOK }

// Chat returns a call for tokens words of an answer to prompt.
func Chat(prompt string, tokens int, stream bool) Call {
	return Call{
		Method: http.MethodPost,
		Path:   "/v1/chat/completions",
		Body: fmt.Sprintf(`{"model":%q,"stream":%v,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
			Model, stream, tokens, prompt),
	}
}

// ChatWords returns the text that a whole answer to Chat holds.
func ChatWords(prompt string, tokens int) string {
	messages := fmt.Sprintf(`[{"role":"user","content":%q}]`, prompt)
	return strings.Join(burdockfakeengine.Words(messages, tokens), "")
}

// Send sends a call to an entry.
func (f *Fleet) Send(ctx context.Context, e *Entry, call Call) Answer {
	return f.SendWith(ctx, http.DefaultClient, e, call)
}

// SendWith sends a call with a client, whose connections may be kept alive.
func (f *Fleet) SendWith(ctx context.Context, client *http.Client, e *Entry, call Call) Answer {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+e.Callers+call.Path, bytes.NewReader([]byte(call.Body)))
	if err != nil {
		return Answer{Err: err, Header: http.Header{}}
	}
	req.Header.Set("Authorization", "Bearer "+f.Key)
	req.Header.Set("Content-Type", "application/json")
	for name, value := range call.Header {
		req.Header.Set(name, value)
	}
	res, err := client.Do(req)
	if err != nil {
		return Answer{Err: err, Header: http.Header{}}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return Answer{Status: res.StatusCode, Header: res.Header, Body: string(body), Err: err}
}
