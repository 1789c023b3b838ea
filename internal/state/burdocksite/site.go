// Package burdocksite holds what a process knows of a site whose platform keeps
// the routes and the membership itself: the configuration in force and the
// upstreams that are there. An adapter decodes the platform's records into
// these types; readers get an immutable snapshot without a lock.
package burdocksite

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Repeat says how often a request may run.
type Repeat string

// Kinds of repetition.
const (
	// RepeatNever: the request runs once at most.
	RepeatNever Repeat = "never"
	// RepeatAlways: the request is idempotent.
	RepeatAlways Repeat = "always"
)

// Share is a part of a route's requests that goes to one service.
type Share struct {
	Service burdockid.Service
	// Weight is relative to the other shares of the route.
	Weight float64
}

// Route leads requests of one host whose path begins with a prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Timeout is the longest time that a request may be kept waiting.
	Timeout burdockclock.Millis
	// Objective is the time in which an answer, or the first event of a
	// stream, should come.
	Objective burdockclock.Millis
	// MaxEventGap is the longest pause between events of a stream that callers accept;
	// 0 for a route that has no streams.
	MaxEventGap burdockclock.Millis
	// EventTimeout is how long callers wait for the first event of a stream, or for
	// the next; 0 if they wait until their deadline.
	EventTimeout burdockclock.Millis
	// Priority orders routes by urgency; 0 is the most urgent.
	Priority int
	Repeat   Repeat
	Stream   bool
	// Resumable streams may go on at another upstream after their last event.
	Resumable bool
	// MaxAttempts is the number of upstreams that one request may be offered to.
	MaxAttempts int
	// Public routes take requests without a key.
	Public bool
	Shares []Share
}

// Repeatable reports whether an outcome that is unknown may be followed by
// another offer.
func (r *Route) Repeatable() bool { return r.Repeat == RepeatAlways || r.Stream && r.Resumable }

// Engine is what the operators publish of the engines of a model's service.
type Engine struct {
	// Slots is the number of requests that one engine runs at a time.
	Slots int
	// StepsPerEvent is the number of token steps in one pass.
	StepsPerEvent int
	// BaseStepMillis, SequenceMillis and ContextMillis make up a token step: its
	// fixed part, the part for each running request, and the part for each
	// thousand tokens of a running request's context.
	BaseStepMillis              float64
	StepMillisPerRequest        float64
	StepMillisPerThousandTokens float64
	// PrefillRate is the number of prompt tokens read in a millisecond.
	PrefillRate float64
	// Layers, Experts and Places are the shape of an expert map: sets of
	// layers, experts in each, and experts that one rank has room for.
	Layers      int
	Experts     int
	ExpertSlots int
	// MaxLoads is the number of new experts of one layer that a rank can take up
	// beside those in use.
	MaxLoads    int
	ExpertBytes burdockid.Bytes
	CopyRate    burdockid.BytesPerSecond
	// ExpertShare is the part of the work for tokens that experts do.
	ExpertShare float64
	// MeanPromptTokens and UsualAnswer are mean lengths.
	MeanPromptTokens burdockid.Tokens
	MeanAnswerTokens burdockid.Tokens
}

// Service is a group of upstreams that do the same work.
type Service struct {
	Name burdockid.Service
	// Engine is nil for a plain service.
	Engine *Engine
}

// Limits bound what a caller may send.
type Limits struct {
	// BodyBytes is the size of a body; 0 if it is not told.
	BodyBytes int64
}

// Customer is one customer and its keys.
type Customer struct {
	Name burdockid.Customer
	Keys []string
	// Priority goes before that of the route; nil if the customer has none.
	Priority *int
}

// Config is one version of the operators' configuration.
type Config struct {
	Version  burdockid.Version
	Routes   []Route
	Services map[burdockid.Service]Service
	// Customers is empty when requests need no key.
	Customers []Customer
	Limits    Limits

	byHost map[string][]*Route
	byKey  map[string]*Customer
}

// Upstream is one replica as the platform's membership shows it.
type Upstream struct {
	ID         burdockid.Upstream
	Service    burdockid.Service
	Address    string // IP:port
	DataCentre burdockid.DataCentre
	Slots      int
	// Leaving upstreams finish what they have and take nothing new.
	Leaving bool
	// CreateRevision orders upstreams by when their records were first written; 0 if that
	// isn't known.
	CreateRevision Revision
}

// Revision numbers events of the platform's store. It only grows.
type Revision int64

// Snapshot is what is known at one instant. It is never changed once it can be
// seen.
type Snapshot struct {
	// Config is nil until a configuration has been read.
	Config    *Config
	Upstreams map[burdockid.Upstream]Upstream
	// Generation grows with each change.
	Generation uint64
}

// Members returns the upstreams of a service that take new work, by id.
//
// Failure: upstreams lose power and start again at once, while the records of
// their former processes take seconds to lapse. Symptom: half of all offers are
// made to a process that is gone, and are refused by the one that has taken its
// address. One address has one process, so the record that came last stands.
func (s *Snapshot) Members(service burdockid.Service) []Upstream {
	latest := map[string]Revision{}
	for _, u := range s.Upstreams {
		latest[u.Address] = max(latest[u.Address], u.CreateRevision)
	}
	var members []Upstream
	for _, u := range s.Upstreams {
		if u.Service == service && !u.Leaving && u.CreateRevision >= latest[u.Address] {
			members = append(members, u)
		}
	}
	slices.SortFunc(members, func(a, b Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return members
}

// Match returns the route of a request: among those of its host, the one with
// the longest prefix that begins the path.
func (c *Config) Match(host, path string) (*Route, bool) {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// ByKey returns the customer that holds a key.
func (c *Config) ByKey(key string) (*Customer, bool) {
	customer, ok := c.byKey[key]
	return customer, ok
}

// index prepares Match and ByKey.
func (c *Config) index() {
	c.byHost, c.byKey = map[string][]*Route{}, map[string]*Customer{}
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Customers {
		for _, key := range c.Customers[i].Keys {
			c.byKey[key] = &c.Customers[i]
		}
	}
}

// Site follows the platform's records.
type Site struct {
	current atomic.Pointer[Snapshot]
	mu      sync.Mutex
	changed []func(*Snapshot)
}

// New returns a site of which nothing is known yet.
func New() *Site {
	s := &Site{}
	s.current.Store(&Snapshot{})
	return s
}

// Now returns what is known now.
func (s *Site) Now() *Snapshot { return s.current.Load() }

// Subscribe calls fn after each change, one at a time. It must be called before
// the first change.
func (s *Site) Subscribe(fn func(*Snapshot)) { s.changed = append(s.changed, fn) }

// SetConfig takes over a configuration, and reports whether it is news.
//
// Failure: a read that was answered late, or by a store that was set back,
// brings an older version. Symptom: a route or key that was removed works
// again. A version never gives way to a lower one, whoever brings it.
func (s *Site) SetConfig(cfg Config) bool {
	cfg.index()
	return s.change(func(next *Snapshot) bool {
		if next.Config != nil && cfg.Version <= next.Config.Version {
			return false
		}
		next.Config = &cfg
		return true
	})
}

// SetUpstreams replaces all upstreams, as after a listing.
func (s *Site) SetUpstreams(upstreams map[burdockid.Upstream]Upstream) bool {
	return s.change(func(next *Snapshot) bool {
		if maps.Equal(next.Upstreams, upstreams) {
			return false
		}
		next.Upstreams = upstreams
		return true
	})
}

// PutUpstream adds or replaces one upstream.
func (s *Site) PutUpstream(u Upstream) bool {
	return s.change(func(next *Snapshot) bool {
		if old, ok := next.Upstreams[u.ID]; ok && old == u {
			return false
		}
		next.Upstreams = copyOf(next.Upstreams)
		next.Upstreams[u.ID] = u
		return true
	})
}

// DropUpstream removes one upstream.
func (s *Site) DropUpstream(id burdockid.Upstream) bool {
	return s.change(func(next *Snapshot) bool {
		if _, ok := next.Upstreams[id]; !ok {
			return false
		}
		next.Upstreams = copyOf(next.Upstreams)
		delete(next.Upstreams, id)
		return true
	})
}

func copyOf(m map[burdockid.Upstream]Upstream) map[burdockid.Upstream]Upstream {
	if m == nil {
		return map[burdockid.Upstream]Upstream{}
	}
	return maps.Clone(m)
}

func (s *Site) change(apply func(*Snapshot) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.current.Load()
	if !apply(&next) {
		return false
	}
	next.Generation++
	s.current.Store(&next)
	for _, fn := range s.changed {
		fn(&next)
	}
	return true
}
