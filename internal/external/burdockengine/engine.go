// Package burdockengine is the agent's view of its upstream: a model engine or
// a plain service on the same VM, reached over HTTP.
package burdockengine

import (
	"context"
	"io"
	"net/http"

	"github.com/joomcode/errorx"
)

// Call is one request to hand to the upstream.
type Call struct {
	Method string
	Path   string
	Query  string
	Header http.Header
	Body   []byte
	// BeforeSend, when set, is called once, right before the first byte may be
	// written. Until then the upstream knows nothing of the call.
	BeforeSend func()
}

// Answer is what the upstream sends back. The body must be closed.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Framed says that an end of the body is known to be its whole.
	Framed bool
}

// Engine runs calls on the upstream.
type Engine interface {
	// Do hands the call over, once. An ErrNotSent says that no byte of it was
	// written; any other error leaves open whether the upstream ran it.
	Do(ctx context.Context, call Call) (Answer, error)
	// Check returns nil when a connection to the upstream can be made.
	Check(ctx context.Context) error
}

// Errors is the namespace of the errors that an Engine returns.
var Errors = errorx.NewNamespace("engine")

var (
	// ErrNotSent says that the upstream never saw the call.
	ErrNotSent = Errors.NewType("notSent")
	// ErrBroken says that the connection broke after the call was begun.
	ErrBroken = Errors.NewType("broken")
)
