package burdockentry

import (
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/config/burdockkey"
	"burdockbend.example/burdockbend/internal/config/burdockprofile"
	"burdockbend.example/burdockbend/internal/decide/burdockplace"
	"burdockbend.example/burdockbend/internal/serve/burdockapi"
	"burdockbend.example/burdockbend/internal/state/burdockfleet"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
)

// Headers of requests and responses, and constants for reading them.
const (
	headerClass          = "Burdock-Class"
	headerTimeout        = "Burdock-Timeout-Millis"
	headerIdempotencyKey = "Idempotency-Key"
	headerID             = "Burdock-Request-Id"
	headerPrefix         = "Burdock-"
	// maxIdempotencyKeyBytes bounds what an agent stores for each key.
	maxIdempotencyKeyBytes = 255
	// bytesPerToken converts the body size of a plain request to tokens, in which
	// shares are counted.
	bytesPerToken = 4
)

// request is one caller's request, parsed and validated.
type request struct {
	id             burdockid.Request
	customer       burdockid.Customer
	service        burdockid.Service
	class          string
	idempotencyKey burdockid.IdempotencyKey
	idempotent     bool
	eventStream    bool
	prefix         []uint64
	cost           burdockid.Tokens
	promptTokens   burdockid.Tokens
	receivedAt     burdockclock.Millis
	deadline       burdockclock.Millis
	method         string
	path           string
	query          string
	headers        []*burdockwire.Header
	body           []byte
}

// requestReader parses and validates one caller's request.
type requestReader struct {
	entry *Entry
	fleet *burdockfleet.Snapshot
	w     http.ResponseWriter
	r     *http.Request
	req   *request
}

// read fills in the request. It returns a problem if the request is invalid.
func (rd *requestReader) read() *burdockapi.Problem {
	steps := []func() *burdockapi.Problem{rd.checkHeaderSize, rd.authenticate, rd.readIdempotencyKey, rd.route}
	for _, step := range steps {
		if problem := step(); problem != nil {
			return problem
		}
	}
	rd.req.headers = forwardedHeaders(rd.r.Header)
	return nil
}

// headerOverhead is the length of the colon, the space and the line end of one header.
const headerOverhead = 4

// checkHeaderSize rejects headers beyond the limit. They stay in memory, and are sent
// to the agent, as long as the request is open.
func (rd *requestReader) checkHeaderSize() *burdockapi.Problem {
	size, maxSize := len(rd.r.RequestURI), rd.entry.cfg.Limits.MaxHeaderBytes
	for name, values := range rd.r.Header {
		for _, value := range values {
			size += len(name) + len(value) + headerOverhead
		}
	}
	if size <= maxSize {
		return nil
	}
	return &burdockapi.Problem{
		Status: http.StatusRequestHeaderFieldsTooLarge, Code: burdockapi.CodeTooLarge, NotRun: true,
		Message: "the headers must be no larger than " + strconv.Itoa(maxSize) + " bytes",
	}
}

// authenticate identifies the customer. A wrong API key and a missing one get the same
// response.
func (rd *requestReader) authenticate() *burdockapi.Problem {
	key, ok := burdockkey.FromAuthorization(rd.r.Header.Get("Authorization"))
	customer, known := rd.fleet.ByKeyHash[burdockkey.Hash(key)]
	if !ok || !known {
		return &burdockapi.Problem{
			Status: http.StatusUnauthorized, Code: burdockapi.CodeUnauthenticated, NotRun: true,
			Message: "the Authorization header must hold a valid key",
		}
	}
	rd.req.customer = customer
	return nil
}

func (rd *requestReader) readIdempotencyKey() *burdockapi.Problem {
	key := rd.r.Header.Get(headerIdempotencyKey)
	if len(key) > maxIdempotencyKeyBytes {
		return badHeader(headerIdempotencyKey, "must be no longer than "+strconv.Itoa(maxIdempotencyKeyBytes)+" bytes")
	}
	rd.req.idempotencyKey = burdockid.IdempotencyKey(key)
	return nil
}

func badHeader(name, message string) *burdockapi.Problem {
	return &burdockapi.Problem{
		Status: http.StatusBadRequest, Code: burdockapi.CodeBadRequest, Param: name, NotRun: true,
		Message: name + " " + message,
	}
}

// route finds the service and reads the parts of the request that its kind needs.
func (rd *requestReader) route() *burdockapi.Problem {
	switch rd.r.URL.Path {
	case burdockapi.PathChat, burdockapi.PathCompletions:
		return rd.readCompletion()
	}
	route, ok := rd.fleet.Route(rd.r.Method, rd.r.URL.Path)
	if !ok {
		return &burdockapi.Problem{
			Status: http.StatusNotFound, Code: burdockapi.CodeUnknownRoute, NotRun: true,
			Message: "no service is routed at " + rd.r.Method + " " + rd.r.URL.Path,
		}
	}
	return rd.readPlain(route)
}

func (rd *requestReader) readCompletion() *burdockapi.Problem {
	if rd.r.Method != http.MethodPost {
		rd.w.Header().Set("Allow", http.MethodPost)
		return &burdockapi.Problem{
			Status: http.StatusMethodNotAllowed, Code: burdockapi.CodeMethodNotAllowed, NotRun: true,
			Message: rd.r.URL.Path + " takes POST alone",
		}
	}
	if problem := rd.readBody(); problem != nil {
		return problem
	}
	c, problem := burdockapi.ParseCompletion(rd.r.URL.Path, rd.r.Header.Get("Content-Type"), rd.req.body)
	if problem != nil {
		return problem
	}
	service, ok := rd.fleet.ByModel[c.Model]
	if !ok {
		return &burdockapi.Problem{
			Status: http.StatusNotFound, Code: burdockapi.CodeUnknownModel, Param: "model", NotRun: true,
			Message: "the model " + strconv.Quote(c.Model) + " does not exist",
		}
	}
	if maxPrompt := rd.fleet.Services[service].MaxPromptTokens; maxPrompt > 0 && c.PromptTokens > maxPrompt {
		return &burdockapi.Problem{
			Status: http.StatusBadRequest, Code: burdockapi.CodePromptTooLong, Param: "messages", NotRun: true,
			Message: "the prompt is about " + strconv.FormatInt(int64(c.PromptTokens), 10) + " tokens; the model takes " + strconv.FormatInt(int64(maxPrompt), 10),
		}
	}
	rd.req.service = service
	rd.req.eventStream = c.Stream
	rd.req.prefix = burdockplace.PrefixBlocks(c.Prompt)
	rd.req.promptTokens = c.PromptTokens
	rd.req.cost = c.PromptTokens + c.MaxTokens
	return rd.readClassAndDeadline("")
}

func (rd *requestReader) readPlain(route burdockfleet.Route) *burdockapi.Problem {
	if problem := rd.readBody(); problem != nil {
		return problem
	}
	rd.req.service = route.Service
	rd.req.idempotent = route.Idempotent
	if route.Idempotent {
		rd.req.idempotencyKey = "" // any upstream may run the request again, even without a key
	}
	rd.req.cost = burdockid.Tokens(len(rd.req.body)/bytesPerToken + 1)
	rd.req.promptTokens = rd.req.cost
	return rd.readClassAndDeadline(route.Class)
}

// readClassAndDeadline determines the priority class and the deadline. The caller's
// header takes precedence over the route, and the route over the profile's default.
func (rd *requestReader) readClassAndDeadline(routeClass string) *burdockapi.Problem {
	profile := rd.fleet.Profile(rd.req.service)
	requested := rd.r.Header.Get(headerClass)
	name := profile.DefaultClass
	switch {
	case requested != "":
		name = requested
	case routeClass != "":
		name = routeClass
	}
	i := slices.IndexFunc(profile.Classes, func(c burdockprofile.Class) bool { return c.Name == name })
	if i < 0 && requested != "" {
		return badHeader(headerClass, "must be one of "+strings.Join(classNames(profile), ", "))
	}
	class := profile.Classes[max(i, 0)]
	rd.req.class = class.Name
	maxWait, problem := rd.timeout(class.DeadlineMillis)
	if problem != nil {
		return problem
	}
	rd.req.deadline = rd.req.receivedAt + maxWait
	return nil
}

func classNames(p burdockprofile.Profile) []string {
	names := make([]string, len(p.Classes))
	for i, c := range p.Classes {
		names[i] = c.Name
	}
	return names
}

// timeout returns the timeout that the caller asked for, limited to that of the class.
func (rd *requestReader) timeout(classTimeout burdockclock.Millis) (burdockclock.Millis, *burdockapi.Problem) {
	text := rd.r.Header.Get(headerTimeout)
	if text == "" {
		return classTimeout, nil
	}
	requested, err := strconv.ParseInt(text, 10, 64)
	if err != nil || requested < 1 {
		return 0, badHeader(headerTimeout, "must be a whole number of milliseconds, 1 or more")
	}
	return min(burdockclock.Millis(requested), classTimeout), nil
}

// readBody reads the whole body, up to the size limit. The HTTP server enforces the
// time limit.
func (rd *requestReader) readBody() *burdockapi.Problem {
	limits := rd.entry.cfg.Limits
	body, err := io.ReadAll(http.MaxBytesReader(rd.w, rd.r.Body, limits.MaxBodyBytes))
	if err == nil {
		rd.req.body = body
		return nil
	}
	var tooLarge *http.MaxBytesError
	var timeout net.Error
	switch {
	case errors.As(err, &tooLarge):
		return &burdockapi.Problem{
			Status: http.StatusRequestEntityTooLarge, Code: burdockapi.CodeTooLarge, NotRun: true,
			Message: "the body must be no larger than " + strconv.FormatInt(limits.MaxBodyBytes, 10) + " bytes",
		}
	case errors.As(err, &timeout) && timeout.Timeout():
		return &burdockapi.Problem{
			Status: http.StatusRequestTimeout, Code: burdockapi.CodeSlowSender, NotRun: true,
			Message: "the body did not arrive within " + strconv.FormatInt(int64(limits.BodyTimeoutMillis), 10) + " ms",
		}
	default:
		return &burdockapi.Problem{
			Status: http.StatusBadRequest, Code: burdockapi.CodeBadRequest, NotRun: true,
			Message: "the body could not be read",
		}
	}
}

// hopHeaders are the hop-by-hop headers, which are not forwarded.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// forwardedHeaders returns the headers that are forwarded to the upstream. The caller's
// API key is not: an upstream could use it to act as the customer.
func forwardedHeaders(h http.Header) []*burdockwire.Header {
	dropped := map[string]bool{"Authorization": true, "Content-Length": true}
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			dropped[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	var headers []*burdockwire.Header
	for name, values := range h {
		if hopHeaders[name] || dropped[name] || strings.HasPrefix(name, headerPrefix) {
			continue
		}
		for _, value := range values {
			headers = append(headers, &burdockwire.Header{Name: name, Value: value})
		}
	}
	return headers
}
