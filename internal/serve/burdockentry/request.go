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

// Headers of callers.
const (
	headerClass   = "Burdock-Class"
	headerTimeout = "Burdock-Timeout-Millis"
	headerKey     = "Idempotency-Key"
	headerID      = "Burdock-Request-Id"
	headerPrefix  = "Burdock-"
	bearerPrefix  = "Bearer "
	// maxKeyBytes bounds what an agent keeps for each key.
	maxKeyBytes = 255
	// bytesPerToken converts the size of a plain call to the unit of shares.
	bytesPerToken = 4
)

// request is one caller's request, read and checked.
type request struct {
	id           burdockid.Request
	customer     burdockid.Customer
	service      burdockid.Service
	class        string
	key          burdockid.IdempotencyKey
	idempotent   bool
	eventStream  bool
	prefix       []uint64
	cost         burdockid.Tokens
	promptTokens burdockid.Tokens
	arrived      burdockclock.Millis
	deadline     burdockclock.Millis
	method       string
	path         string
	query        string
	headers      []*burdockwire.Header
	body         []byte
}

// reader reads one caller's request.
type reader struct {
	entry *Entry
	fleet *burdockfleet.Snapshot
	w     http.ResponseWriter
	r     *http.Request
	req   *request
}

// read returns the request or what is wrong with it.
func (rd *reader) read() *burdockapi.Problem {
	steps := []func() *burdockapi.Problem{rd.checkHeaderSize, rd.authenticate, rd.readKey, rd.route}
	for _, step := range steps {
		if problem := step(); problem != nil {
			return problem
		}
	}
	rd.req.headers = forwarded(rd.r.Header)
	return nil
}

// headerOverhead is the colon, the blank and the line's end of one header.
const headerOverhead = 4

// checkHeaderSize refuses headers beyond the limit. They are held, and sent on
// to the agent, for as long as the request lasts.
func (rd *reader) checkHeaderSize() *burdockapi.Problem {
	size, most := len(rd.r.RequestURI), rd.entry.cfg.Limits.MaxHeaderBytes
	for name, values := range rd.r.Header {
		for _, value := range values {
			size += len(name) + len(value) + headerOverhead
		}
	}
	if size <= most {
		return nil
	}
	return &burdockapi.Problem{
		Status: http.StatusRequestHeaderFieldsTooLarge, Code: burdockapi.CodeTooLarge, NotRun: true,
		Message: "the headers must be no larger than " + strconv.Itoa(most) + " bytes",
	}
}

// authenticate finds the customer. A wrong key and none get the same answer.
func (rd *reader) authenticate() *burdockapi.Problem {
	key, ok := strings.CutPrefix(rd.r.Header.Get("Authorization"), bearerPrefix)
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

func (rd *reader) readKey() *burdockapi.Problem {
	key := rd.r.Header.Get(headerKey)
	if len(key) > maxKeyBytes {
		return badHeader(headerKey, "must be no longer than "+strconv.Itoa(maxKeyBytes)+" bytes")
	}
	rd.req.key = burdockid.IdempotencyKey(key)
	return nil
}

func badHeader(name, message string) *burdockapi.Problem {
	return &burdockapi.Problem{
		Status: http.StatusBadRequest, Code: burdockapi.CodeBadRequest, Param: name, NotRun: true,
		Message: name + " " + message,
	}
}

// route finds the service, and reads what its kind needs.
func (rd *reader) route() *burdockapi.Problem {
	switch rd.r.URL.Path {
	case burdockapi.PathChat, burdockapi.PathCompletions:
		return rd.completion()
	}
	route, ok := rd.fleet.Route(rd.r.Method, rd.r.URL.Path)
	if !ok {
		return &burdockapi.Problem{
			Status: http.StatusNotFound, Code: burdockapi.CodeUnknownRoute, NotRun: true,
			Message: "no service is routed at " + rd.r.Method + " " + rd.r.URL.Path,
		}
	}
	return rd.plain(route)
}

func (rd *reader) completion() *burdockapi.Problem {
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
	if longest := rd.fleet.Services[service].MaxPromptTokens; longest > 0 && c.PromptTokens > longest {
		return &burdockapi.Problem{
			Status: http.StatusBadRequest, Code: burdockapi.CodePromptTooLong, Param: "messages", NotRun: true,
			Message: "the prompt is about " + strconv.FormatInt(int64(c.PromptTokens), 10) + " tokens; the model takes " + strconv.FormatInt(int64(longest), 10),
		}
	}
	rd.req.service = service
	rd.req.eventStream = c.Stream
	rd.req.prefix = burdockplace.PrefixBlocks(c.Prompt)
	rd.req.promptTokens = c.PromptTokens
	rd.req.cost = c.PromptTokens + c.MaxTokens
	return rd.terms("")
}

func (rd *reader) plain(route burdockfleet.Route) *burdockapi.Problem {
	if problem := rd.readBody(); problem != nil {
		return problem
	}
	rd.req.service = route.Service
	rd.req.idempotent = route.Idempotent
	if route.Idempotent {
		rd.req.key = "" // may be repeated as it is, anywhere
	}
	rd.req.cost = burdockid.Tokens(len(rd.req.body)/bytesPerToken + 1)
	rd.req.promptTokens = rd.req.cost
	return rd.terms(route.Class)
}

// terms finds the priority class and the deadline.
func (rd *reader) terms(routeClass string) *burdockapi.Problem {
	profile := rd.fleet.Profile(rd.req.service)
	asked := rd.r.Header.Get(headerClass)
	name := profile.DefaultClass
	switch {
	case asked != "":
		name = asked
	case routeClass != "":
		name = routeClass
	}
	i := slices.IndexFunc(profile.Classes, func(c burdockprofile.Class) bool { return c.Name == name })
	if i < 0 && asked != "" {
		return badHeader(headerClass, "must be one of "+strings.Join(classNames(profile), ", "))
	}
	class := profile.Classes[max(i, 0)]
	rd.req.class = class.Name
	left, problem := rd.timeout(class.DeadlineMillis)
	if problem != nil {
		return problem
	}
	rd.req.deadline = rd.req.arrived + left
	return nil
}

func classNames(p burdockprofile.Profile) []string {
	names := make([]string, len(p.Classes))
	for i, c := range p.Classes {
		names[i] = c.Name
	}
	return names
}

// timeout returns the time that the caller waits, at most that of the class.
func (rd *reader) timeout(usual burdockclock.Millis) (burdockclock.Millis, *burdockapi.Problem) {
	text := rd.r.Header.Get(headerTimeout)
	if text == "" {
		return usual, nil
	}
	asked, err := strconv.ParseInt(text, 10, 64)
	if err != nil || asked < 1 {
		return 0, badHeader(headerTimeout, "must be a whole number of milliseconds, 1 or more")
	}
	return min(burdockclock.Millis(asked), usual), nil
}

// readBody reads the whole body, within the limit on its size. The limit on
// its time is the server's.
func (rd *reader) readBody() *burdockapi.Problem {
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

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// forwarded returns the headers that go on to the upstream. The caller's key
// is for the balancer alone: an upstream could use it to act as the customer.
func forwarded(h http.Header) []*burdockwire.Header {
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
