package burdockdirect

import (
	"net/http"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockbackpressure"
	"burdockbend.example/burdockbend/internal/decide/burdockratelimit"
)

// CallerHeaders holds what a caller's headers contain.
type CallerHeaders struct {
	// ID is the caller's own ID of this attempt; upstreams echo it.
	ID burdockid.Request
	// APIKey identifies the caller's customer.
	APIKey string
	// TimeBudget is how long the caller waits; 0 if unknown.
	TimeBudget burdockclock.Millis
	// PromptTokens is the size of the prompt, MaxOutputTokens the maximum size of the
	// answer; 0 if unknown.
	PromptTokens, MaxOutputTokens burdockid.Tokens
	// LengthHint is how many tokens the caller expects in the answer; 0 if unknown.
	LengthHint burdockid.Tokens
	// LastEventID is the event after which the stream resumes.
	LastEventID string
	// SharedParts holds the parts of the prompt that other requests may have too, in their
	// order and each once.
	SharedParts []burdockid.PromptPart
}

// UpstreamHeaders holds what an offer passes to an upstream in headers.
type UpstreamHeaders struct {
	Customer burdockid.Customer
	// ExpectedUpstream is the upstream that is meant; any other one at its address
	// refuses.
	ExpectedUpstream burdockid.Upstream
	TimeBudget       burdockclock.Millis
	LastEventID      string
	// Priority is the priority at the upstream, from 0 (most urgent) to 9; nil if none is
	// stated. A priority that the caller's headers state is removed either way.
	Priority *int
}

// Load is the load that an upstream reports.
type Load struct{ Running, Waiting, Slots int }

// ResponseHeaders holds what an upstream's response headers contain.
type ResponseHeaders struct {
	// RequestID is the request that this response belongs to.
	RequestID burdockid.Request
	// NotRun reports that the upstream has not run the request and never will.
	NotRun bool
	// FromUpstream reports that the upstream itself created the response.
	FromUpstream bool
	Load         *Load
	// RefusingUpstream is the upstream that the refusal is due to, "" if it isn't stated.
	RefusingUpstream burdockid.Upstream
	// RateLimit is the limit that the upstream names for all entries together.
	RateLimit burdockratelimit.Statement
	// Pause is how long the upstream, which refused, wants nothing from this entry.
	Pause burdockbackpressure.Pause
	// Leaving reports that the upstream is leaving.
	Leaving bool
}

// Dialect translates between a platform's headers and the entry's types. It decides
// nothing.
type Dialect interface {
	ParseRequest(h http.Header) CallerHeaders
	// Prepare turns the headers of a caller into those of an offer.
	Prepare(h http.Header, out UpstreamHeaders)
	ParseResponse(status int, h http.Header) ResponseHeaders
}
