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

// notReadyRetry is when a caller may come back to an entry that has not yet
// got its configuration.
const notReadyRetry = burdockclock.Second

// OutcomeCounts holds the number of ended requests by outcome.
type OutcomeCounts map[outcomeName]int

// outcomeName is how a request ended, for the log, the metrics and the dump.
type outcomeName string

const (
	outcomeAnswered outcomeName = "answered"
	outcomeInvalid  outcomeName = "invalid"
	outcomeRefused  outcomeName = "refused"
	outcomeUnknown  outcomeName = "unknown"
	outcomeCut      outcomeName = "cut"
	outcomeGone     outcomeName = "callerGone"
)

type accounts struct {
	mu     sync.Mutex
	counts OutcomeCounts
}

func (a *accounts) add(name outcomeName) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.counts == nil {
		a.counts = OutcomeCounts{}
	}
	a.counts[name]++
}

func (a *accounts) copy() OutcomeCounts {
	a.mu.Lock()
	defer a.mu.Unlock()
	copied := OutcomeCounts{}
	for name, n := range a.counts {
		copied[name] = n
	}
	return copied
}

// ending is how one request ended, for its line in the log.
type ending struct {
	outcome   outcomeName
	upstream  burdockid.Upstream
	reason    string
	offers    int
	firstByte burdockclock.Millis
	begun     bool // the first byte came
}

// serve answers one caller's request.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request) {
	e.open.Add(1)
	defer e.open.Add(-1)
	fleet := e.deps.Fleet.Now()
	req := &request{
		id:      burdockid.NewRequest(),
		arrived: e.deps.Clock.Boot(),
		method:  r.Method,
		path:    r.URL.EscapedPath(),
		query:   r.URL.RawQuery,
	}
	w.Header().Set(headerID, string(req.id))
	if len(fleet.Services) == 0 {
		e.reject(w, req, &burdockapi.Problem{
			Status: http.StatusServiceUnavailable, Code: burdockapi.CodeNotReady, NotRun: true,
			Message: "this entry has no configuration yet", RetryAfter: notReadyRetry,
		})
		return
	}
	rd := &reader{entry: e, fleet: fleet, w: w, r: r, req: req}
	if r.URL.Path == burdockapi.PathModels && r.Method == http.MethodGet {
		e.serveModels(w, rd)
		return
	}
	if problem := rd.read(); problem != nil {
		e.reject(w, req, problem)
		return
	}
	o := newOffers(e, fleet, req, newCaller(w, r, e.cfg.Limits))
	aborts := true
	defer func() { e.end(req, o.ending, aborts) }()
	o.serve(r.Context())
	aborts = false
}

// end counts and logs the end of a request.
func (e *Entry) end(req *request, end ending, aborted bool) {
	e.accounts.add(end.outcome)
	e.meters.ended(req.service, end)
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
		zap.Int64("totalMillis", int64(e.deps.Clock.Boot()-req.arrived)))
}

func (e *Entry) reject(w http.ResponseWriter, req *request, problem *burdockapi.Problem) {
	problem.Write(w)
	e.meters.rejected(problem.Code)
	e.end(req, ending{outcome: outcomeInvalid, reason: problem.Error()}, false)
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

// serveModels lists the models that callers can name.
func (e *Entry) serveModels(w http.ResponseWriter, rd *reader) {
	if problem := rd.authenticate(); problem != nil {
		e.reject(w, rd.req, problem)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(modelsOf(rd.fleet))
	e.end(rd.req, ending{outcome: outcomeAnswered}, false)
}

func modelsOf(fleet *burdockfleet.Snapshot) modelList {
	list := modelList{Object: "list", Data: []modelItem{}}
	for name := range fleet.ByModel {
		list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: "burdockbend"})
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	return list
}
