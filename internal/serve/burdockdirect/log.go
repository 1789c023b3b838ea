package burdockdirect

import (
	"net/http"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockplace"
	"burdockbend.example/burdockbend/internal/decide/burdocktimeliness"
	"go.uber.org/zap"
)

// unknownAge is logged as the age of a configuration that there is none of.
const unknownAge burdockclock.Millis = -1

// maxLoggedID bounds the length of a request's ID in a line: callers choose it, and lines
// wait in memory for the reader of the log.
const maxLoggedID = 128

// maxLoggedParts bounds the parts of a prompt that are named in a line.
const maxLoggedParts = 8

func requestID(id burdockid.Request) zap.Field {
	return zap.String("requestId", string(id[:min(len(id), maxLoggedID)]))
}

// Describe returns the log fields that tell by what an answer was decided: the request's
// ID, and the version and age of the configuration; r is nil for a request that could not
// be parsed.
func (e *Entry) Describe(r *http.Request) []zap.Field {
	var id burdockid.Request
	if r != nil {
		id = e.deps.Dialect.ParseRequest(r.Header).ID
	}
	version, age := burdockid.Version(0), unknownAge
	if cfg := e.deps.Site.Now().Config; cfg != nil {
		version, age = cfg.Version, e.now()-cfg.AppliedAt
	}
	return []zap.Field{
		requestID(id),
		zap.Uint64("configVersion", uint64(version)), zap.Int64("configAgeMillis", int64(age)),
	}
}

// logEnd writes the log line of a failed request or of an offer.
func (e *Entry) logEnd(req *request, outcome string, fields ...zap.Field) {
	var service burdockid.Service
	var route string
	if req != nil {
		service = req.service
		if req.route != nil {
			route = req.route.Name
		}
	}
	if req.late != burdocktimeliness.ReasonNone {
		fields = append(fields, zap.Stringer("late", req.late))
	}
	e.deps.Log.Info(outcome, append([]zap.Field{
		requestID(req.ID), zap.String("route", route), zap.String("service", string(service)),
		zap.Int64("tookMillis", int64(e.now()-req.arrived)),
	}, fields...)...)
}

// outcome names how an offer ended, for logs and metrics.
type outcome string

// Outcomes of an offer.
const (
	outcomeAnswered  outcome = "answered"
	outcomeNotRun    outcome = "notRun"
	outcomeUnreached outcome = "unreached"
	outcomeUnknown   outcome = "unknown"
	outcomeBroken    outcome = "broken"
	outcomeEnded     outcome = "ended" // the caller left, or its time is over
)

// describe returns the outcome of a result, and its cause if one is known.
func describe(res result) (outcome, string) {
	switch res := res.(type) {
	case notRun:
		return outcomeNotRun, http.StatusText(res.status)
	case unreached:
		return outcomeUnreached, res.err.Error()
	case unknown:
		return outcomeUnknown, res.reason
	case broken:
		return outcomeBroken, res.reason
	case ended:
		return outcomeEnded, ""
	}
	return outcomeAnswered, ""
}

// logOffer logs the end of an offer and records it in the metrics.
func (o *offers) logOffer(att *attempt, reason burdockplace.Reason, res result) {
	took := o.entry.now() - att.startedAt
	outcome, cause := describe(res)
	o.entry.meters.recordOffer(o.req.service, outcome, took)
	load := o.pool.gate.load()
	fields := []zap.Field{zap.String("outcome", string(outcome)), zap.String("cause", cause),
		zap.Int("status", att.status), zap.Bool("fromUpstream", att.fromUpstream),
		zap.String("upstream", string(att.target.ID)), zap.String("placed", string(reason)), zap.Int("offers", o.sent+o.unreached+1),
		zap.Bool("keptConnection", att.reused.Load()),
		zap.Int64("waitMillis", int64(o.admittedAt-o.req.arrived)), zap.Int64("firstEventMillis", int64(o.firstEventTime)),
		zap.Int64("offerMillis", int64(took)), zap.Int("events", o.eventCount), zap.Int64("longestPauseMillis", int64(o.maxEventGap)),
		zap.Int("running", load.Running), zap.Int("waiting", load.Queued), zap.Int("limit", load.Slots),
		zap.Int("rateLimitedUpstreams", o.pool.rateLimited()), zap.Int("pausingUpstreams", o.pool.pausing())}
	if connectionBroke(res) {
		fields = append(fields, sharedParts(o.req.SharedParts))
	}
	o.entry.logEnd(o.req, "offer ended", fields...)
}

// sharedParts returns the log field that names the last shared parts of a prompt: prompts of one
// route begin alike.
func sharedParts(parts []burdockid.PromptPart) zap.Field {
	return zap.Strings("sharedParts", partNames(parts[max(len(parts)-maxLoggedParts, 0):]))
}

func partNames(parts []burdockid.PromptPart) []string {
	names := make([]string, len(parts))
	for i, part := range parts {
		names[i] = string(part)
	}
	return names
}
