package burdockentry

import (
	"net/http"

	"burdockbend.example/burdockbend/internal/decide/burdockretry"
	"burdockbend.example/burdockbend/internal/serve/burdockapi"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
)

// problemFor returns the API problem for a request that is given up. res is the result
// of the last offer, or of an earlier one if its outcome is unknown. It is nil when no
// upstream was left.
func problemFor(g burdockretry.GiveUp, res result) *burdockapi.Problem {
	problem := &burdockapi.Problem{
		Status: http.StatusServiceUnavailable, Code: burdockapi.CodeBusy, NotRun: true, RetryAfter: g.RetryAfter,
		Message: "not run: " + string(g.Reason),
	}
	switch res := res.(type) {
	case unknownOutcome:
		return unknownOutcomeProblem(res)
	case refused:
		applyRefusal(problem, res.refusal)
	case connectFailed:
		problem.Code = burdockapi.CodeNoUpstream
		problem.Message = "not run: no upstream could be reached"
	case nil:
		problem.Code = burdockapi.CodeNoUpstream
		problem.Message = "not run: no upstream can take the request now"
	}
	return problem
}

func unknownOutcomeProblem(u unknownOutcome) *burdockapi.Problem {
	if u.completed {
		return &burdockapi.Problem{Status: http.StatusConflict, Code: burdockapi.CodeAnswerGone, Message: u.reason}
	}
	problem := &burdockapi.Problem{
		Status: http.StatusBadGateway, Code: burdockapi.CodeOutcomeUnknown,
		Message: "the outcome is unknown, the request may have run: " + u.reason,
	}
	if u.deadlineExceeded {
		problem.Status = http.StatusGatewayTimeout
	}
	return problem
}

// applyRefusal sets the fields of problem from an agent's refusal.
func applyRefusal(problem *burdockapi.Problem, refusal *burdockwire.Refused) {
	problem.Message = "not run: " + refusal.GetExplanation()
	switch refusal.GetReason() {
	case burdockwire.RefusedReason_REFUSED_REASON_OVER_SHARE, burdockwire.RefusedReason_REFUSED_REASON_DISPLACED:
		problem.Status, problem.Code = http.StatusTooManyRequests, burdockapi.CodeOverShare
	case burdockwire.RefusedReason_REFUSED_REASON_DEADLINE, burdockwire.RefusedReason_REFUSED_REASON_WAITED_TOO_LONG:
		problem.Code = burdockapi.CodeDeadline
	case burdockwire.RefusedReason_REFUSED_REASON_LEAVING:
		problem.Code = burdockapi.CodeLeaving
	case burdockwire.RefusedReason_REFUSED_REASON_UPSTREAM_DOWN:
		problem.Code = burdockapi.CodeNoUpstream
	case burdockwire.RefusedReason_REFUSED_REASON_KEY_NOT_HERE:
		problem.Code = burdockapi.CodeKeyOwnerMoving
	case burdockwire.RefusedReason_REFUSED_REASON_KEY_REUSED:
		problem.Status, problem.Code, problem.RetryAfter = http.StatusUnprocessableEntity, burdockapi.CodeKeyReused, 0
	}
}
