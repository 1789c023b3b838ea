// Package burdockmember holds the operators' view of the fleet: its data
// centres, services, upstreams, entries and customers. It says who belongs;
// what runs at this moment is for the membership list and the agents to say.
package burdockmember

import (
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Fleet is the whole membership of one site.
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

// Kind tells a service of model replicas from a plain HTTP service.
type Kind string

// The kinds of a service.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// Service is what callers ask for. Models are asked for by the names in
// Models; a plain service by its routes.
type Service struct {
	Name    burdockid.Service `toml:"name" json:"name"`
	Kind    Kind              `toml:"kind" json:"kind"`
	Profile burdockid.Profile `toml:"profile" json:"profile"`
	// Models are the names by which callers know the model.
	Models []string `toml:"models" json:"models,omitempty"`
	Routes []Route  `toml:"route" json:"route,omitempty"`
	// MaxPromptTokens is the longest prompt that the model takes.
	MaxPromptTokens burdockid.Tokens `toml:"maxPromptTokens" json:"maxPromptTokens,omitempty"`
}

// Route is a part of a plain service that is treated alike.
type Route struct {
	// PathPrefix matches a path that is equal to it or goes on after a "/".
	PathPrefix string `toml:"pathPrefix" json:"pathPrefix"`
	// Methods are HTTP methods; none means every method.
	Methods []string `toml:"methods" json:"methods,omitempty"`
	// Idempotent says that a call may be repeated. It is never inferred from
	// the method, as some plain services have a GET that may not be repeated.
	Idempotent bool `toml:"idempotent" json:"idempotent"`
	// Class names a class of the service's profile; empty means its default.
	Class string `toml:"class" json:"class,omitempty"`
}

// Upstream is one replica of a service. Its agent is the only way to it.
type Upstream struct {
	Name       burdockid.Upstream   `toml:"name" json:"name"`
	Service    burdockid.Service    `toml:"service" json:"service"`
	VM         burdockid.VM         `toml:"vm" json:"vm"`
	DataCentre burdockid.DataCentre `toml:"dataCentre" json:"dataCentre"`
	// Agent is the IP:port where the upstream's agent listens for the
	// system's own processes.
	Agent string `toml:"agent" json:"agent"`
	// Fenced says that the engine refuses an order with an old fencing number.
	Fenced bool `toml:"fenced" json:"fenced"`
	// Group names the lock-stepped group; empty for an upstream of none.
	Group string         `toml:"group" json:"group,omitempty"`
	Rank  burdockid.Rank `toml:"rank" json:"rank,omitempty"`
}

// Entry is one VM that takes callers' requests.
type Entry struct {
	VM         burdockid.VM         `toml:"vm" json:"vm"`
	DataCentre burdockid.DataCentre `toml:"dataCentre" json:"dataCentre"`
	// Peer is the IP:port where the entry listens for the system's own processes.
	Peer string `toml:"peer" json:"peer"`
}

// Customer is one customer and the hash of its key.
type Customer struct {
	Name burdockid.Customer `toml:"name" json:"name"`
	// KeyHash is "sha256:" and the hash in lower-case hexadecimal digits.
	KeyHash string `toml:"keyHash" json:"keyHash"`
}
