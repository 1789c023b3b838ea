package burdockdirect

import (
	"net/http"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// CallerHeaders is what a caller's headers say.
type CallerHeaders struct {
	// ID is the caller's own for this attempt; upstreams echo it.
	ID burdockid.Request
	// Key is what the caller shows for its customer.
	Key string
	// Budget is how long the caller waits; 0 if it doesn't say.
	Budget burdockclock.Millis
	// Prompt and Answer are the sizes of the prompt and, at most, the answer.
	Prompt, Answer burdockid.Tokens
	// LastEvent is the event after which a stream is to go on.
	LastEvent string
}

// UpstreamHeaders is what an offer tells an upstream.
type UpstreamHeaders struct {
	Customer burdockid.Customer
	// Upstream is the one that is meant; another one at its address refuses.
	Upstream  burdockid.Upstream
	Budget    burdockclock.Millis
	LastEvent string
}

// Load is what an upstream tells of itself.
type Load struct{ Running, Waiting, Slots int }

// AnswerHeaders is what an upstream's headers say.
type AnswerHeaders struct {
	// ID is the request that the answer is for.
	ID burdockid.Request
	// NotRun says that the upstream has not run the request and never will.
	NotRun bool
	// Signed says that the answer is the upstream's own.
	Signed bool
	Load   *Load
	// Culprit is the upstream that a refusal is due to, if it is another one.
	Culprit burdockid.Upstream
}

// Dialect translates headers. It decides nothing.
type Dialect interface {
	Request(h http.Header) CallerHeaders
	// Prepare makes a caller's headers those of an offer.
	Prepare(h http.Header, out UpstreamHeaders)
	Answer(status int, h http.Header) AnswerHeaders
}
