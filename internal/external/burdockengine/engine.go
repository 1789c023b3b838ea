// Package burdockengine is the agent's HTTP client for its upstream: a model engine or a
// plain service on the same VM.
package burdockengine

import (
	"context"
	"io"
	"net/http"

	"github.com/joomcode/errorx"
)

// PriorityHeader states the priority of a request, a number from 0 (most urgent) to 9. An
// engine that has more requests than it can run starts the more urgent ones first.
const PriorityHeader = "Burdock-Request-Priority"

// Call is one request to send to the upstream.
type Call struct {
	Method string
	Path   string
	Query  string
	Header http.Header
	Body   []byte
	// Priority is sent as PriorityHeader, 0 being the most urgent; nil if none is stated.
	Priority *int
	// BeforeSend, if not nil, is called once, right before the first byte may be
	// written. Until then the upstream has received nothing of the call.
	BeforeSend func()
}

// Answer is the upstream's response. The caller must close Body.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Framed reports whether the end of Body can be told from a broken connection: the
	// response has a length or is chunked.
	Framed bool
}

// Engine sends calls to the upstream.
type Engine interface {
	// Do sends the call at most once. After an ErrNotSent no byte of it was written;
	// after any other error it is unknown whether the upstream ran it.
	Do(ctx context.Context, call Call) (Answer, error)
	// Check returns nil if a connection to the upstream can be opened.
	Check(ctx context.Context) error
}

// Errors is the namespace of the errors that an Engine returns.
var Errors = errorx.NewNamespace("engine")

var (
	// ErrNotSent reports that the upstream received nothing of the call.
	ErrNotSent = Errors.NewType("notSent")
	// ErrBroken reports that no usable answer came to a call that may have been sent.
	ErrBroken = Errors.NewType("broken")
)
