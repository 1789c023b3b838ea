package burdockdirect

import (
	"math/rand/v2"
	"net/http"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockcrash"
	"burdockbend.example/burdockbend/internal/decide/burdockqueue"
	"burdockbend.example/burdockbend/internal/decide/burdocktimeliness"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
)

const (
	// defaultTimeout applies where neither route nor caller sets a timeout.
	defaultTimeout = burdockclock.Minute
	// noConfigRetryAfter is the Retry-After of an entry that has just started: its first
	// read of the store takes tens of milliseconds.
	noConfigRetryAfter burdockclock.Millis = 300
	// stopRetryAfter is the Retry-After of an entry that stops: callers return at once,
	// since other entries serve.
	stopRetryAfter burdockclock.Millis = 20
	// outputTokenCost is the cost of one output token in prompt tokens. An engine reads
	// some ten prompt tokens in the time of writing one.
	outputTokenCost = 10
)

// request is a caller's request that has been read and validated.
type request struct {
	CallerHeaders
	method   string
	target   string // path and query exactly as the caller sent them
	host     string
	header   http.Header
	body     []byte
	route    *burdocksite.Route
	service  burdockid.Service
	customer burdockid.Customer
	class    burdockqueue.Class
	// enginePriority is the priority that offers state; nil if they state none.
	enginePriority *int
	arrived        burdockclock.Millis
	deadline       burdockclock.Millis
	cost           burdockid.Tokens
	// outputTokens is the number of output tokens that cost is computed from.
	outputTokens burdockid.Tokens
	// late is why the request went behind those that can be in time, if the service has
	// shared admission.
	late burdocktimeliness.Reason
	// trial means that the request may go to an upstream although a part of its prompt is
	// quarantined. The guard's lock protects it.
	trial bool
	// contentDigest is computed when it is first needed. Only the request's own goroutine uses it.
	contentDigest *burdockcrash.Digest
}

// refusal is an answer by the entry itself.
type refusal struct {
	status     int
	reason     string
	retryAfter burdockclock.Millis
}

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.active.Add(1)
	defer e.active.Add(-1)
	if e.drainingAt.Load() != 0 {
		w.Header().Set("Connection", "close")
	}
	req, rejection := e.readRequest(w, r)
	c := &caller{entry: e, w: w, control: http.NewResponseController(w)}
	if rejection != nil {
		c.refuse(req, *rejection)
		return
	}
	e.meters.requests.Inc()
	e.serve(r, req, c)
	if !c.answered {
		// net/http would send an empty success.
		c.abort()
	}
}

// readRequest reads and validates a request, the cheapest checks first.
func (e *Entry) readRequest(w http.ResponseWriter, r *http.Request) (*request, *refusal) {
	req := &request{
		CallerHeaders: e.deps.Dialect.ParseRequest(r.Header),
		method:        r.Method, target: originForm(r.RequestURI), host: r.Host, header: r.Header, arrived: e.now(),
	}
	if rejection := e.readWhileStarting(w, r, req); rejection != nil {
		return req, rejection
	}
	cfg := e.deps.Site.Now().Config
	if cfg == nil {
		return req, &refusal{http.StatusServiceUnavailable, "no configuration yet", noConfigRetryAfter}
	}
	route, ok := cfg.Match(r.Host, targetPath(req.target))
	if !ok {
		return req, &refusal{status: http.StatusNotFound, reason: "no route"}
	}
	req.route = route
	if rejection := req.authenticate(cfg); rejection != nil {
		return req, rejection
	}
	if rejection := req.readBody(w, r, cfg.Limits.BodyBytes, e.cfg.bodyTimeout()); rejection != nil {
		return req, rejection
	}
	req.service = pickService(route.Shares)
	req.enginePriority = enginePriority(cfg, req.service, e.cfg.SharedAdmission, req.class)
	req.outputTokens = e.outputTokens(req)
	req.cost = costOf(req.PromptTokens, req.outputTokens)
	timeout := defaultTimeout
	if route.Timeout > 0 {
		timeout = route.Timeout
	}
	if req.TimeBudget > 0 {
		timeout = min(timeout, req.TimeBudget)
	}
	req.deadline = req.arrived + timeout
	return req, nil
}

// costOf returns the cost of a request in prompt tokens.
func costOf(prompt, output burdockid.Tokens) burdockid.Tokens {
	return max(prompt+outputTokenCost*output, 1)
}

func (req *request) authenticate(cfg *burdocksite.Config) *refusal {
	req.class = burdockqueue.Class(max(req.route.Priority, 0))
	if len(cfg.Customers) == 0 || req.route.Public {
		return nil
	}
	customer, ok := cfg.ByKey(req.APIKey)
	if !ok {
		return &refusal{status: http.StatusUnauthorized, reason: "unknown key"}
	}
	req.customer = customer.Name
	if customer.Priority != nil {
		req.class = burdockqueue.Class(max(*customer.Priority, 0))
	}
	return nil
}

// pickService selects the service of a split route at random, by the weights of its
// shares.
func pickService(shares []burdocksite.Share) burdockid.Service {
	total := 0.0
	for _, s := range shares {
		total += max(s.Weight, 0)
	}
	at := rand.Float64() * total
	for _, s := range shares {
		if at -= max(s.Weight, 0); at < 0 {
			return s.Service
		}
	}
	if len(shares) > 0 {
		return shares[len(shares)-1].Service
	}
	return ""
}
