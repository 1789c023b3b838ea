// Package burdockmember defines the configured fleet of a site: its data centres,
// services, upstreams, entries and customers. It contains what operators configure; what
// currently runs is known from the membership list and the agents.
package burdockmember

import (
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Fleet is the configuration of all members of one site.
type Fleet struct {
	Site        string       `toml:"site" json:"site"`
	DataCentres []DataCentre `toml:"dataCentre" json:"dataCentre"`
	Services    []Service    `toml:"service" json:"service"`
	Upstreams   []Upstream   `toml:"upstream" json:"upstream"`
	Entries     []Entry      `toml:"entry" json:"entry"`
	Customers   []Customer   `toml:"customer" json:"customer"`
}

// DataCentre is one data centre of the site.
type DataCentre struct {
	Name burdockid.DataCentre `toml:"name" json:"name"`
}

// Kind is the kind of a service: model replicas or a plain HTTP service.
type Kind string

// The kinds of a service.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// Service is the target of callers' requests. Requests select a model service by a name
// in Models, and a plain service by its routes.
type Service struct {
	Name    burdockid.Service `toml:"name" json:"name"`
	Kind    Kind              `toml:"kind" json:"kind"`
	Profile burdockid.Profile `toml:"profile" json:"profile"`
	// Models are the model names that callers may use in requests.
	Models []string `toml:"models" json:"models,omitempty"`
	Routes []Route  `toml:"route" json:"route,omitempty"`
	// MaxPromptTokens is the length of the longest prompt that the model accepts.
	MaxPromptTokens burdockid.Tokens `toml:"maxPromptTokens" json:"maxPromptTokens,omitempty"`
}

// Route is a set of a plain service's requests with the same class and retry rule.
type Route struct {
	// PathPrefix matches a path that equals it or continues with a "/" after it.
	PathPrefix string `toml:"pathPrefix" json:"pathPrefix"`
	// Methods are the HTTP methods of the route; empty means every method.
	Methods []string `toml:"methods" json:"methods,omitempty"`
	// Idempotent allows retries of a request. It is never inferred from the method, because
	// some plain services have a GET that must not be repeated.
	Idempotent bool `toml:"idempotent" json:"idempotent"`
	// Class is a priority class of the service's profile; empty means the default class.
	Class string `toml:"class" json:"class,omitempty"`
}

// Upstream is one replica of a service. All requests reach it through its agent.
type Upstream struct {
	Name       burdockid.Upstream   `toml:"name" json:"name"`
	Service    burdockid.Service    `toml:"service" json:"service"`
	VM         burdockid.VM         `toml:"vm" json:"vm"`
	DataCentre burdockid.DataCentre `toml:"dataCentre" json:"dataCentre"`
	// Agent is the IP:port where the upstream's agent listens for other processes of the
	// system.
	Agent string `toml:"agent" json:"agent"`
	// Fenced is set if the engine refuses an order with an old fencing token.
	Fenced bool `toml:"fenced" json:"fenced"`
	// Group is the name of the lock-stepped group; empty if the upstream is in none.
	Group string         `toml:"group" json:"group,omitempty"`
	Rank  burdockid.Rank `toml:"rank" json:"rank,omitempty"`
}

// Entry is one VM that accepts requests of callers.
type Entry struct {
	VM         burdockid.VM         `toml:"vm" json:"vm"`
	DataCentre burdockid.DataCentre `toml:"dataCentre" json:"dataCentre"`
	// Peer is the IP:port where the entry listens for other processes of the system.
	Peer string `toml:"peer" json:"peer"`
}

// Customer is one customer and the hash of its API key.
type Customer struct {
	Name burdockid.Customer `toml:"name" json:"name"`
	// KeyHash is "sha256:" followed by the hash in lower-case hexadecimal digits.
	KeyHash string `toml:"keyHash" json:"keyHash"`
}
