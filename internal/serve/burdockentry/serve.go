package burdockentry

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/serve/burdockapi"
	"burdockbend.example/burdockbend/internal/state/burdockfleet"
	"go.uber.org/zap"
)

const (
	// notReadyRetryAfter is the Retry-After of an entry that has no configuration yet.
	notReadyRetryAfter = burdockclock.Second
	// stopRetryAfter is the Retry-After of an entry that stops, since other entries serve.
	stopRetryAfter burdockclock.Millis = 20
)

// OutcomeCounts holds the number of ended requests by outcome.
type OutcomeCounts map[outcome]int

// outcome is how a request ended, for the log, the metrics and the state dump.
type outcome string

const (
	outcomeAnswered outcome = "answered"
	outcomeInvalid  outcome = "invalid"
	outcomeRefused  outcome = "refused"
	outcomeUnknown  outcome = "unknown"
	outcomeCut      outcome = "cut"
	outcomeGone     outcome = "callerGone"
)

type outcomes struct {
	mu     sync.Mutex
	counts OutcomeCounts
}

func (o *outcomes) add(name outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.counts == nil {
		o.counts = OutcomeCounts{}
	}
	o.counts[name]++
}

func (o *outcomes) copy() OutcomeCounts {
	o.mu.Lock()
	defer o.mu.Unlock()
	copied := OutcomeCounts{}
	for name, n := range o.counts {
		copied[name] = n
	}
	return copied
}

// requestEnd describes how one request ended, for the log and the metrics.
type requestEnd struct {
	outcome      outcome
	upstream     burdockid.Upstream
	reason       string
	offers       int
	firstByte    burdockclock.Millis
	hasFirstByte bool // firstByte is set
}

// serve handles one caller's request.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request) {
	e.openRequests.Add(1)
	defer e.openRequests.Add(-1)
	fleet := e.deps.Fleet.Now()
	req := &request{
		id:         burdockid.NewRequest(),
		receivedAt: e.deps.Clock.Boot(),
		method:     r.Method,
		path:       r.URL.EscapedPath(),
		query:      r.URL.RawQuery,
	}
	w.Header().Set(headerID, string(req.id))
	if len(fleet.Services) == 0 {
		e.reject(w, req, &burdockapi.Problem{
			Status: http.StatusServiceUnavailable, Code: burdockapi.CodeNotReady, NotRun: true,
			Message: "this entry has no configuration yet", RetryAfter: notReadyRetryAfter,
		})
		return
	}
	rd := &requestReader{entry: e, fleet: fleet, w: w, r: r, req: req}
	if r.URL.Path == burdockapi.PathModels && r.Method == http.MethodGet {
		e.serveModels(w, rd)
		return
	}
	if problem := rd.read(); problem != nil {
		e.reject(w, req, problem)
		return
	}
	if e.stopsBefore(req.deadline) {
		e.reject(w, req, &burdockapi.Problem{
			Status: http.StatusServiceUnavailable, Code: burdockapi.CodeLeaving, NotRun: true,
			Message: "this entry stops before the request's deadline", RetryAfter: stopRetryAfter,
		})
		return
	}
	d := newDispatcher(e, fleet, req, newResponse(w, r, e.cfg.Limits))
	aborted := true
	defer func() { e.end(req, d.requestEnd, aborted) }()
	d.serve(r.Context())
	aborted = false
}

// end counts and logs the end of a request.
func (e *Entry) end(req *request, end requestEnd, aborted bool) {
	e.outcomes.add(end.outcome)
	e.meters.requestEnded(req.service, end)
	e.deps.Log.Info("request ended",
		zap.String("requestId", string(req.id)),
		zap.String("customer", string(req.customer)),
		zap.String("service", string(req.service)),
		zap.String("class", req.class),
		zap.String("upstream", string(end.upstream)),
		zap.String("outcome", string(end.outcome)),
		zap.String("reason", end.reason),
		zap.Int("offers", end.offers),
		zap.Bool("connectionAborted", aborted),
		zap.Int64("firstByteMillis", int64(end.firstByte)),
		zap.Int64("totalMillis", int64(e.deps.Clock.Boot()-req.receivedAt)))
}

func (e *Entry) reject(w http.ResponseWriter, req *request, problem *burdockapi.Problem) {
	problem.Write(w)
	e.meters.requestRejected(problem.Code)
	e.end(req, requestEnd{outcome: outcomeInvalid, reason: problem.Error()}, false)
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// serveModels lists the models that callers may name.
func (e *Entry) serveModels(w http.ResponseWriter, rd *requestReader) {
	if problem := rd.authenticate(); problem != nil {
		e.reject(w, rd.req, problem)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(listModels(rd.fleet))
	e.end(rd.req, requestEnd{outcome: outcomeAnswered}, false)
}

func listModels(fleet *burdockfleet.Snapshot) modelList {
	list := modelList{Object: "list", Data: []modelItem{}}
	for name := range fleet.ByModel {
		list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: "burdockbend"})
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	return list
}
