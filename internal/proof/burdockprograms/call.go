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

// Call is a request that a test sends to an entry.
type Call struct {
	Method string
	Path   string
	Body   string
	Header map[string]string
}

// Answer is the response to a Call as the caller received it.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	// Err is set if there was no response or its body was incomplete.
	Err error
}

// NotRun reports whether the answer states that the request was not executed.
func (a Answer) NotRun() bool { return a.Header.Get("Burdock-Not-Run") == "true" }

// Whole reports whether the answer is a complete response with status 200.
func (a Answer) Whole() bool { return a.Err == nil && a.Status == http.StatusOK }

// Chat returns a chat completion call with the given prompt and max_tokens.
func Chat(prompt string, tokens int, stream bool) Call {
	return Call{
		Method: http.MethodPost,
		Path:   "/v1/chat/completions",
		Body: fmt.Sprintf(`{"model":%q,"stream":%v,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
			Model, stream, tokens, prompt),
	}
}

// ChatWords returns the text of the complete answer to a Chat call.
func ChatWords(prompt string, tokens int) string {
	messages := fmt.Sprintf(`[{"role":"user","content":%q}]`, prompt)
	return strings.Join(burdockfakeengine.Words(messages, tokens), "")
}

// Send sends a call to an entry.
func (f *Fleet) Send(ctx context.Context, e *Entry, call Call) Answer {
	return f.SendWith(ctx, http.DefaultClient, e, call)
}

// SendWith sends a call to an entry through the given HTTP client.
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
