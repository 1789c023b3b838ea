// Package burdockfakeengine implements a fake model engine and a fake plain
// service, for tests and for trying the system out. An answer depends on the
// request only, so tests can compare it byte by byte.
package burdockfakeengine

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/external/burdockengine"
	"github.com/cespare/xxhash/v2"
)

// RequestIDHeader is the header that carries the request ID to the upstream.
const RequestIDHeader = "Burdock-Request-Id"

// EndsEarly in a chat prompt makes the stand-in send half of a streamed
// answer and then close the response normally, without the final [DONE] event.
const EndsEarly = "[ends early]"

const (
	defaultMaxTokens = 16
	maxBodyBytes     = 16 << 20
)

// Config sets the behaviour of a stand-in engine.
type Config struct {
	// Step is the time between two tokens of an answer.
	Step time.Duration
	// Prefill is the time to the first token.
	Prefill time.Duration
	// Models are the model names listed by GET /v1/models.
	Models []string
	// Rank, if its Lockstep is set, makes the stand-in the engine of one rank of a
	// lock-stepped group.
	Rank RankConfig
}

// Runs holds the stand-in's request counts, which tests compare with the callers'
// results.
type Runs struct {
	Started map[burdockid.Request]int `json:"started"`
	// ByKey counts started requests by idempotency key, for requests that have one.
	ByKey map[burdockid.IdempotencyKey]int `json:"byKey"`
	// ByPriority counts started requests by the priority that they state.
	ByPriority map[string]int `json:"byPriority,omitempty"`
	Finished   int            `json:"finished"`
	Abandoned  int            `json:"abandoned"`
	Running    int            `json:"running"`
}

// Server is one stand-in engine.
type Server struct {
	cfg Config
	mux *http.ServeMux

	mu   sync.Mutex
	runs Runs
	// retryAfter is what the engine asks for in refusing all requests; "" if it serves.
	retryAfter string
}

// AskForPause makes the engine answer all requests 503 with a Retry-After; "" makes it serve.
func (s *Server) AskForPause(retryAfter string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryAfter = retryAfter
}

// New returns a stand-in engine.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, mux: http.NewServeMux(), runs: Runs{
		Started: map[burdockid.Request]int{}, ByKey: map[burdockid.IdempotencyKey]int{}, ByPriority: map[string]int{},
	}}
	s.mux.HandleFunc("POST /v1/chat/completions", s.counted(s.chat))
	s.mux.HandleFunc("POST /v1/completions", s.counted(s.completion))
	s.mux.HandleFunc("GET /v1/models", s.models)
	s.mux.HandleFunc("GET /runs", s.serveRuns)
	if cfg.Rank.Lockstep != "" {
		newRankEngine(cfg.Rank).register(s.mux)
	}
	s.mux.HandleFunc("/", s.counted(s.plain))
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Runs returns a copy of the counts.
func (s *Server) Runs() Runs {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := s.runs
	copied.Started = maps.Clone(s.runs.Started)
	copied.ByKey = maps.Clone(s.runs.ByKey)
	copied.ByPriority = maps.Clone(s.runs.ByPriority)
	return copied
}

func (s *Server) serveRuns(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Runs())
}

// counted wraps a handler. It counts a request as started before serve is called, and
// as finished only if serve reports that the complete answer was written.
func (s *Server) counted(serve func(http.ResponseWriter, *http.Request) bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		retryAfter := s.retryAfter
		s.runs.Started[burdockid.Request(r.Header.Get(RequestIDHeader))]++
		if key := r.Header.Get("Idempotency-Key"); key != "" {
			s.runs.ByKey[burdockid.IdempotencyKey(key)]++
		}
		if priority := r.Header.Get(burdockengine.PriorityHeader); priority != "" {
			s.runs.ByPriority[priority]++
		}
		s.runs.Running++
		s.mu.Unlock()
		complete := true
		if retryAfter != "" {
			w.Header().Set("Retry-After", retryAfter)
			http.Error(w, "overloaded", http.StatusServiceUnavailable)
		} else {
			complete = serve(w, r)
		}
		s.mu.Lock()
		s.runs.Running--
		if complete {
			s.runs.Finished++
		} else {
			s.runs.Abandoned++
		}
		s.mu.Unlock()
	}
}

func (s *Server) models(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list"}
	for _, name := range s.cfg.Models {
		list.Data = append(list.Data, model{ID: name, Object: "model"})
	}
	writeJSON(w, list)
}

type completionRequest struct {
	Model     string          `json:"model"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

func (s *Server) chat(w http.ResponseWriter, r *http.Request) bool {
	return s.generate(w, r, chatFormat{})
}

func (s *Server) completion(w http.ResponseWriter, r *http.Request) bool {
	return s.generate(w, r, textFormat{})
}

func (s *Server) generate(w http.ResponseWriter, r *http.Request, af answerFormat) bool {
	var req completionRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return true
	}
	if req.MaxTokens <= 0 {
		req.MaxTokens = defaultMaxTokens
	}
	words := Words(string(req.Messages)+string(req.Prompt), req.MaxTokens)
	if req.Stream && strings.Contains(string(req.Messages), EndsEarly) {
		return s.streamEvents(w, r, af, req.Model, words[:len(words)/2]) && false
	}
	if req.Stream {
		return s.stream(w, r, af, req.Model, words)
	}
	if !s.pause(r, s.cfg.Prefill+time.Duration(len(words))*s.cfg.Step) {
		return false
	}
	writeJSON(w, af.complete(req.Model, words))
	return true
}

// stream writes the words as server-sent events, followed by the final [DONE] event.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, af answerFormat, model string, words []string) bool {
	if !s.streamEvents(w, r, af, model, words) {
		return false
	}
	_, err := io.WriteString(w, "data: [DONE]\n\n")
	return err == nil
}

func (s *Server) streamEvents(w http.ResponseWriter, r *http.Request, af answerFormat, model string, words []string) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	if !s.pause(r, s.cfg.Prefill) {
		return false
	}
	next := time.Now()
	for i, word := range words {
		event, _ := json.Marshal(af.delta(model, word, i == len(words)-1))
		if _, err := fmt.Fprintf(w, "data: %s\n\n", event); err != nil {
			return false
		}
		if flusher.Flush() != nil {
			return false
		}
		next = next.Add(s.cfg.Step)
		if !s.pause(r, time.Until(next)) {
			return false
		}
	}
	return true
}

// pause waits for d. It reports false if the caller disconnects meanwhile.
func (s *Server) pause(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return r.Context().Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// PlainAnswer is the answer to a plain service request; it echoes the request.
type PlainAnswer struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Query  string `json:"query"`
	Body   string `json:"body"`
}

func (s *Server) plain(w http.ResponseWriter, r *http.Request) bool {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil || !s.pause(r, s.cfg.Prefill) {
		return false
	}
	writeJSON(w, PlainAnswer{Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Body: string(body)})
	return true
}

// Words returns the n words that answer a prompt. They depend only on prompt and n.
func Words(prompt string, n int) []string {
	seed := xxhash.Sum64String(prompt)
	words := make([]string, n)
	for i := range words {
		words[i] = fmt.Sprintf("w%x-%d ", seed&0xffff, i)
	}
	return words
}

func writeJSON(w http.ResponseWriter, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = w.Write(body)
}
