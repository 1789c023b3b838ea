// Package burdocksite holds the state of a site whose platform stores the routes and the
// membership itself: the current configuration and the current upstreams. An adapter
// decodes the platform's records into these types. Readers get an immutable snapshot
// without a lock.
package burdocksite

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/state/burdockkv"
)

// Repeat tells whether a request may run more than once.
type Repeat string

// Values of Repeat.
const (
	// RepeatNever means that the request runs at most once.
	RepeatNever Repeat = "never"
	// RepeatAlways means that the request is idempotent.
	RepeatAlways Repeat = "always"
)

// Share is the share of a route's requests that one service gets.
type Share struct {
	Service burdockid.Service
	// Weight is relative to the other shares of the route.
	Weight float64
}

// Route assigns requests to services by their host and the prefix of their path.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Timeout is the maximum time that a request may wait.
	Timeout burdockclock.Millis
	// Objective is the target latency of an answer, or of the first event of a
	// stream.
	Objective burdockclock.Millis
	// MaxEventGap is the maximum time between two events of a stream that callers
	// accept; 0 for a route without streams.
	MaxEventGap burdockclock.Millis
	// EventTimeout is the maximum time that callers wait for the first or the next
	// event of a stream; 0 if they wait until their deadline.
	EventTimeout burdockclock.Millis
	// Priority is the priority of the route's requests; 0 is the most urgent.
	Priority int
	Repeat   Repeat
	Stream   bool
	// Resumable means that another upstream can continue a stream after its last
	// event.
	Resumable bool
	// MaxAttempts is the maximum number of upstreams that a request is offered to.
	MaxAttempts int
	// Public means that requests need no key.
	Public bool
	Shares []Share

	prefix string // Prefix in the form that Match compares
}

// Repeatable reports whether a request may be offered to another upstream after an
// unknown outcome.
func (r *Route) Repeatable() bool { return r.Repeat == RepeatAlways || r.Stream && r.Resumable }

// Engine holds the figures that operators publish for the engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine runs at a time.
	Slots int
	// StepsPerEvent is the number of token steps between two events of a stream.
	StepsPerEvent int
	// BaseStepMillis is the fixed part of the duration of a token step.
	// StepMillisPerRequest is added to it for each running request, and
	// StepMillisPerThousandTokens for each thousand tokens of context of the
	// running requests.
	BaseStepMillis              float64
	StepMillisPerRequest        float64
	StepMillisPerThousandTokens float64
	// PrefillRate is the number of prompt tokens processed per millisecond.
	PrefillRate float64
	// Layers and Experts are the dimensions of an expert map: the number of sets of
	// layers and the number of experts in each. ExpertSlots is the number of experts
	// of each set that one rank has memory for.
	Layers      int
	Experts     int
	ExpertSlots int
	// MaxLoads is the number of new experts of one layer that a rank can load in
	// addition to those in use.
	MaxLoads    int
	ExpertBytes burdockid.Bytes
	CopyRate    burdockid.BytesPerSecond
	// ExpertShare is the share of the per-request step time that experts take.
	ExpertShare float64
	// MeanPromptTokens and MeanAnswerTokens are the mean lengths of prompts and answers.
	MeanPromptTokens burdockid.Tokens
	MeanAnswerTokens burdockid.Tokens
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name burdockid.Service
	// Engine is nil for a plain service.
	Engine *Engine
	// ColdRate is the number of requests per second that a cold upstream accepts from all
	// entries together; 0 if it is not published.
	ColdRate float64
}

// Limits are the limits on requests.
type Limits struct {
	// BodyBytes is the maximum size of a request body; 0 if it is not published.
	BodyBytes int64
}

// Customer is a customer with its API keys.
type Customer struct {
	Name burdockid.Customer
	Keys []string
	// Priority overrides the priority of the route; nil if the customer has none.
	Priority *int
}

// Config is one version of the operators' configuration.
type Config struct {
	Version  burdockid.Version
	Routes   []Route
	Services map[burdockid.Service]Service
	// Customers is empty if requests need no key.
	Customers []Customer
	Limits    Limits
	// AppliedAt is the boot time at which this process received the version.
	AppliedAt burdockclock.Millis

	byHost map[string][]*Route
	byKey  map[string]*Customer
}

// Upstream is a replica as recorded in the platform's membership.
type Upstream struct {
	ID         burdockid.Upstream
	Service    burdockid.Service
	Address    string // IP:port
	DataCentre burdockid.DataCentre
	Slots      int
	// Leaving means that the upstream finishes its requests and accepts no new ones.
	Leaving bool
	// ColdFor is how much longer the upstream is cold, as of its record; 0 if it is not.
	ColdFor burdockclock.Millis
	// StartedAt is the wall-clock time at which the upstream's process started; 0 if
	// unknown. A process may start again under the ID of the one before.
	StartedAt burdockclock.Millis
	// Created is where in the store's history the record was created; zero if unknown.
	Created burdockkv.Position
}

// Snapshot is the state of the site at one instant. It is immutable once published.
type Snapshot struct {
	// Config is nil until a configuration has been received.
	Config    *Config
	Upstreams map[burdockid.Upstream]Upstream
	// UpstreamsListed reports that Upstreams holds all upstreams, not only those that have
	// been read so far.
	UpstreamsListed bool
	// Evacuated holds the data centres whose upstreams get no new requests.
	Evacuated map[burdockid.DataCentre]bool
	// Generation is incremented with each change.
	Generation uint64
}

// Members returns the upstreams of a service that accept new requests, sorted by ID.
//
// When upstreams lose power and restart at once, the records of their former processes
// take seconds to expire. Half of all offers then go to a process that no longer exists,
// and are refused by the one that now has its address. An address belongs to one
// process, so only the record that was created last counts.
func (s *Snapshot) Members(service burdockid.Service) []Upstream {
	latest := make(map[string]burdockkv.Position, len(s.Upstreams))
	for _, u := range s.Upstreams {
		latest[u.Address] = latest[u.Address].Later(u.Created)
	}
	var members []Upstream
	for _, u := range s.Upstreams {
		if u.Service == service && s.Accepts(u) && u.Created == latest[u.Address] {
			members = append(members, u)
		}
	}
	slices.SortFunc(members, func(a, b Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return members
}

// Complete reports whether requests can be served or refused by this snapshot.
func (s *Snapshot) Complete() bool { return s.Config != nil && s.UpstreamsListed }

// Accepts reports whether an upstream may get new requests.
func (s *Snapshot) Accepts(u Upstream) bool { return !u.Leaving && !s.Evacuated[u.DataCentre] }

// ByKey returns the customer that a key belongs to.
func (c *Config) ByKey(key string) (*Customer, bool) {
	customer, ok := c.byKey[key]
	return customer, ok
}

// streamRoutes returns the routes whose streams a service may get.
func (c *Config) streamRoutes(service burdockid.Service) []*Route {
	var routes []*Route
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Stream && slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service }) {
			routes = append(routes, r)
		}
	}
	return routes
}

// HasStreams reports whether a service may get streams.
func (c *Config) HasStreams(service burdockid.Service) bool {
	return len(c.streamRoutes(service)) > 0
}

// MixedUrgency reports whether the streams of a service differ in urgency: their routes
// have different priorities or objectives.
func (c *Config) MixedUrgency(service burdockid.Service) bool {
	routes := c.streamRoutes(service)
	return slices.ContainsFunc(routes, func(r *Route) bool {
		return r.Priority != routes[0].Priority || r.Objective != routes[0].Objective
	})
}

// index builds the lookup maps of Match and ByKey.
func (c *Config) index() {
	c.indexRoutes()
	c.byKey = map[string]*Customer{}
	for i := range c.Customers {
		for _, key := range c.Customers[i].Keys {
			c.byKey[key] = &c.Customers[i]
		}
	}
}

// Site holds the latest snapshot. It is safe for concurrent use.
type Site struct {
	current     atomic.Pointer[Snapshot]
	mu          sync.Mutex
	subscribers []func(*Snapshot)
}

// New returns a site with an empty snapshot.
func New() *Site {
	s := &Site{}
	s.current.Store(&Snapshot{})
	return s
}

// Now returns the current snapshot.
func (s *Site) Now() *Snapshot { return s.current.Load() }

// Subscribe registers fn to be called after each change. Calls don't overlap. Subscribe
// must be called before the first change.
func (s *Site) Subscribe(fn func(*Snapshot)) { s.subscribers = append(s.subscribers, fn) }

// SetConfig applies a configuration and reports whether it is newer than the current
// one; see Batch.SetConfig.
func (s *Site) SetConfig(cfg Config) (changed bool) {
	s.Update(func(b *Batch) { changed = b.SetConfig(cfg) })
	return changed
}

// PutUpstream adds or replaces one upstream. It reports whether that changed anything.
func (s *Site) PutUpstream(u Upstream) (changed bool) {
	s.Update(func(b *Batch) { changed = b.PutUpstream(u) })
	return changed
}

// DropUpstream removes one upstream. It reports whether the upstream was present.
func (s *Site) DropUpstream(id burdockid.Upstream) (changed bool) {
	s.Update(func(b *Batch) { changed = b.DropUpstream(id) })
	return changed
}

// Update passes a batch to fn and publishes all its changes as one snapshot. If there are
// none, it publishes nothing. fn must not call methods of the site other than Now.
//
// Subscribers do work for all upstreams each time. When hundreds of upstreams register
// again after a power cut, one snapshot for each of them would keep an entry busy for
// seconds just when its callers return.
func (s *Site) Update(fn func(*Batch)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := &Batch{next: *s.current.Load()}
	fn(b)
	if !b.changed {
		return
	}
	b.next.Generation++
	s.current.Store(&b.next)
	for _, notify := range s.subscribers {
		notify(&b.next)
	}
}
