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
	// APIKey identifies the caller's customer.
	APIKey string
	// TimeBudget is how long the caller waits; 0 if unknown.
	TimeBudget burdockclock.Millis
	// PromptTokens is the size of the prompt, MaxOutputTokens the maximum size of the
	// answer; 0 if unknown.
	PromptTokens, MaxOutputTokens burdockid.Tokens
	// LastEventID is the event after which the stream resumes.
	LastEventID string
}

// UpstreamHeaders is what an offer tells an upstream.
type UpstreamHeaders struct {
	Customer burdockid.Customer
	// ExpectedUpstream is the one that is meant; another one at its address refuses.
	ExpectedUpstream burdockid.Upstream
	TimeBudget       burdockclock.Millis
	LastEventID      string
}

// Load is what an upstream tells of itself.
type Load struct{ Running, Waiting, Slots int }

// ResponseHeaders is what an upstream's headers say.
type ResponseHeaders struct {
	// RequestID is the request that this response belongs to.
	RequestID burdockid.Request
	// NotRun says that the upstream has not run the request and never will.
	NotRun bool
	// FromUpstream says that the answer is the upstream's own.
	FromUpstream bool
	Load         *Load
	// RefusingUpstream is the upstream that a refusal is due to, if it is another one.
	RefusingUpstream burdockid.Upstream
}

// Dialect translates headers. It decides nothing.
type Dialect interface {
	ParseRequest(h http.Header) CallerHeaders
	// Prepare makes a caller's headers those of an offer.
	Prepare(h http.Header, out UpstreamHeaders)
	ParseResponse(status int, h http.Header) ResponseHeaders
}
