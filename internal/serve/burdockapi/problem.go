// Package burdockapi defines the HTTP API for model clients: the format of requests and
// of error responses.
package burdockapi

import (
	"encoding/json"
	"net/http"
	"strconv"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// Code identifies the kind of problem for programs.
type Code string

// Codes of problems. docs/OPERATIONS.md describes how to handle each.
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

// NotRun is true if it is certain that no upstream ran the failed request.
type NotRun bool

// Problem is an error response to a caller.
type Problem struct {
	Status  int
	Code    Code
	Message string
	Param   string
	// NotRun is set if the request was certainly not run and can safely be retried.
	NotRun NotRun
	// RetryAfter is how long the caller should wait before a retry; 0 sends no hint.
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

// Body returns the problem as JSON in the API's error format.
func (p *Problem) Body() []byte {
	detail := problemDetail{Message: p.Message, Type: p.errorType(), Code: p.Code, NotRun: p.NotRun}
	if p.Param != "" {
		detail.Param = &p.Param
	}
	body, err := json.Marshal(problemBody{Error: detail})
	if err != nil {
		panic(err) // unreachable: strings and booleans always encode
	}
	return body
}

func (p *Problem) errorType() string {
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

// Write sends the problem as the response.
func (p *Problem) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Burdock-Not-Run", strconv.FormatBool(bool(p.NotRun)))
	// Common client libraries retry most failures automatically. They honour this
	// header, which prevents a retry of a request that may have run.
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
