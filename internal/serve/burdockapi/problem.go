// Package burdockapi holds the shapes of the model clients' HTTP API: what a
// request must look like and how an error is told.
package burdockapi

import (
	"encoding/json"
	"net/http"
	"strconv"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// Code is the machine-readable name of a problem.
type Code string

// Codes of problems. docs/OPERATIONS.md says what to do about each.
const (
	CodeUnauthenticated  Code = "unauthenticated"
	CodeBadRequest       Code = "badRequest"
	CodeBadContentType   Code = "badContentType"
	CodeTooLarge         Code = "tooLarge"
	CodePromptTooLong    Code = "promptTooLong"
	CodeUnknownModel     Code = "unknownModel"
	CodeUnknownRoute     Code = "unknownRoute"
	CodeMethodNotAllowed Code = "methodNotAllowed"
	CodeSlowSender       Code = "slowSender"
	CodeOverShare        Code = "overShare"
	CodeBusy             Code = "busy"
	CodeDeadline         Code = "deadline"
	CodeLeaving          Code = "leaving"
	CodeNoUpstream       Code = "noUpstream"
	CodeOutcomeUnknown   Code = "outcomeUnknown"
	CodeAnswerCut        Code = "answerCut"
	CodeKeyReused        Code = "idempotencyKeyReused"
	CodeAnswerGone       Code = "answerGone"
	CodeKeyOwnerMoving   Code = "keyHomeMoving"
	CodeNotReady         Code = "notReady"
)

// NotRun tells whether a request that failed was handed to an upstream.
type NotRun bool

// Problem is an error as callers see it.
type Problem struct {
	Status  int
	Code    Code
	Message string
	Param   string
	// NotRun is set when the request was truly not run and may be sent again.
	NotRun NotRun
	// RetryAfter is when to come back; 0 says nothing about it.
	RetryAfter burdockclock.Millis
}

// Error implements the error interface.
func (p *Problem) Error() string { return string(p.Code) + ": " + p.Message }

type problemBody struct {
	Error problemDetail `json:"error"`
}

type problemDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    Code    `json:"code"`
	NotRun  NotRun  `json:"notRun"`
}

// Body returns the problem as the API's JSON.
func (p *Problem) Body() []byte {
	detail := problemDetail{Message: p.Message, Type: p.kind(), Code: p.Code, NotRun: p.NotRun}
	if p.Param != "" {
		detail.Param = &p.Param
	}
	body, err := json.Marshal(problemBody{Error: detail})
	if err != nil {
		panic(err) // strings and booleans can always be encoded
	}
	return body
}

func (p *Problem) kind() string {
	switch {
	case p.Status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case p.Status == http.StatusUnauthorized:
		return "authentication_error"
	case p.Status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

// Write answers a request with the problem.
func (p *Problem) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Burdock-Not-Run", strconv.FormatBool(bool(p.NotRun)))
	// Stock clients repeat a request by themselves on most failures. This
	// header, which they honour, stops that where the request may have run.
	h.Set("X-Should-Retry", strconv.FormatBool(bool(p.NotRun) && p.RetryAfter > 0))
	if p.RetryAfter > 0 {
		seconds := (p.RetryAfter + burdockclock.Second - 1) / burdockclock.Second
		h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
		h.Set("Retry-After-Ms", strconv.FormatInt(int64(p.RetryAfter), 10))
	}
	body := p.Body()
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(p.Status)
	_, _ = w.Write(body)
}
