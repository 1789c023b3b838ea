// Package burdocksettings contains the settings of the system's processes. A process
// reads them when it starts. What operators change at run time is in profiles and
// membership.
package burdocksettings

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/config/burdockmember"
)

// Common is the settings that entries and agents share.
type Common struct {
	Site       string               `toml:"site" json:"site"`
	DataCentre burdockid.DataCentre `toml:"dataCentre" json:"dataCentre"`
	VM         burdockid.VM         `toml:"vm" json:"vm"`
	// PeerListen is the IP:port for connections from the system's other processes.
	PeerListen string `toml:"peerListen" json:"peerListen"`
	// AdminListen is the IP:port for operators: state dump, metrics, health.
	AdminListen string `toml:"adminListen" json:"adminListen"`
	// StoreAddresses are the IP:port addresses of the configuration store.
	StoreAddresses []string `toml:"storeAddresses" json:"storeAddresses"`
	// Peers are the IP:port addresses of some entries. A process that starts while the
	// store is unavailable gets its configuration from one of them.
	Peers []string `toml:"peers" json:"peers,omitempty"`
	// MembershipAddress is the IP:port of the platform's membership list.
	MembershipAddress string `toml:"membershipAddress" json:"membershipAddress"`
	LogLevel          string `toml:"logLevel" json:"logLevel"`
	// PlainText is empty, or PlainTextAccepted to run without TLS.
	PlainText string `toml:"plainText" json:"plainText,omitempty"`
	TLS       TLS    `toml:"tls" json:"tls"`
	Limits    Limits `toml:"limits" json:"limits"`
}

// PlainTextAccepted is the exact value of PlainText that allows the system's processes
// to connect to each other without TLS. Unlike a boolean, it can't be set by mistake.
const PlainTextAccepted = "accepted on this network"

// TLSModeMutual is the only TLS mode: client and server both present a certificate.
const TLSModeMutual = "mutual"

// TLS is the key material with which the system's processes authenticate each other.
// Cert, Key and CA each contain PEM text or the path of a PEM file.
type TLS struct {
	Mode string `toml:"mode" json:"mode,omitempty"`
	Cert string `toml:"cert" json:"cert,omitempty"`
	Key  string `toml:"key" json:"-"`
	CA   string `toml:"ca" json:"ca,omitempty"`
}

// Limits bounds the resources that connections and requests may take in a process.
type Limits struct {
	MaxHeaderBytes          int                 `toml:"maxHeaderBytes" json:"maxHeaderBytes"`
	MaxBodyBytes            int64               `toml:"maxBodyBytes" json:"maxBodyBytes"`
	ReadHeaderTimeoutMillis burdockclock.Millis `toml:"readHeaderTimeoutMillis" json:"readHeaderTimeoutMillis"`
	BodyTimeoutMillis       burdockclock.Millis `toml:"bodyTimeoutMillis" json:"bodyTimeoutMillis"`
	IdleTimeoutMillis       burdockclock.Millis `toml:"idleTimeoutMillis" json:"idleTimeoutMillis"`
	WriteStallMillis        burdockclock.Millis `toml:"writeStallMillis" json:"writeStallMillis"`
	MaxConnections          int                 `toml:"maxConnections" json:"maxConnections"`
}

// Entry is the settings of an entry.
type Entry struct {
	Common
	// Listen is the IP:port for callers.
	Listen string `toml:"listen" json:"listen"`
	// DrainGraceMillis limits how long a planned stop waits for requests in flight. A
	// shorter graceMillis in a request's profile takes precedence.
	DrainGraceMillis burdockclock.Millis `toml:"drainGraceMillis" json:"drainGraceMillis"`
}

// Agent is the settings of the agent of one upstream.
type Agent struct {
	Common
	Upstream burdockid.Upstream `toml:"upstream" json:"upstream"`
	// EngineAddress is the IP:port of the upstream's engine.
	EngineAddress string             `toml:"engineAddress" json:"engineAddress"`
	Kind          burdockmember.Kind `toml:"kind" json:"kind"`
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int `toml:"slots" json:"slots"`
	// Fenced reports whether the engine refuses an order with an outdated fencing number.
	Fenced bool `toml:"fenced" json:"fenced"`
	// DrainGraceMillis limits how long a planned stop waits for requests in flight. A
	// shorter graceMillis in the service's profile takes precedence.
	DrainGraceMillis burdockclock.Millis `toml:"drainGraceMillis" json:"drainGraceMillis"`
}
