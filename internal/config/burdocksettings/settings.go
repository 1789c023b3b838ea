// Package burdocksettings holds the settings of the system's processes. They
// are read once, when a process starts; what operators change while it runs
// is in profiles and membership.
package burdocksettings

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/config/burdockmember"
)

// Common is what every process of the system needs to know.
type Common struct {
	Site       string               `toml:"site" json:"site"`
	DataCentre burdockid.DataCentre `toml:"dataCentre" json:"dataCentre"`
	VM         burdockid.VM         `toml:"vm" json:"vm"`
	// PeerListen is the IP:port for the system's own processes.
	PeerListen string `toml:"peerListen" json:"peerListen"`
	// AdminListen is the IP:port for operators: state dump, metrics, health.
	AdminListen string `toml:"adminListen" json:"adminListen"`
	// StoreAddresses are the IP:port addresses of the configuration store.
	StoreAddresses []string `toml:"storeAddresses" json:"storeAddresses"`
	// Peers are the IP:port addresses of some entries. A process that starts
	// while the store is out gets its configuration from one of them.
	Peers []string `toml:"peers" json:"peers,omitempty"`
	// MembershipAddress is the IP:port of the platform's membership list.
	MembershipAddress string `toml:"membershipAddress" json:"membershipAddress"`
	LogLevel          string `toml:"logLevel" json:"logLevel"`
	// PlainText is empty, or PlainTextAccepted in place of TLS.
	PlainText string `toml:"plainText" json:"plainText,omitempty"`
	TLS       TLS    `toml:"tls" json:"tls"`
	Limits    Limits `toml:"limits" json:"limits"`
}

// PlainTextAccepted is what the settings must say, word for word, before
// the system's own processes talk over TCP without TLS. A bare switch could
// be set by mistake; these words can't.
const PlainTextAccepted = "accepted on this network"

// TLSModeMutual is the one TLS mode: both ends show a certificate.
const TLSModeMutual = "mutual"

// TLS holds the keys with which the system's own processes know each other.
// Cert, Key and CA each hold PEM text, or the path of a file with it.
type TLS struct {
	Mode string `toml:"mode" json:"mode,omitempty"`
	Cert string `toml:"cert" json:"cert,omitempty"`
	Key  string `toml:"key" json:"-"`
	CA   string `toml:"ca" json:"ca,omitempty"`
}

// Limits bound what one sender may cost a process.
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
	// DrainGraceMillis bounds the time for requests in flight on a planned
	// stop; the graceMillis of a request's profile holds when it is shorter.
	DrainGraceMillis burdockclock.Millis `toml:"drainGraceMillis" json:"drainGraceMillis"`
}

// Agent is the settings of the agent beside one upstream.
type Agent struct {
	Common
	Upstream burdockid.Upstream `toml:"upstream" json:"upstream"`
	// EngineAddress is the IP:port of the upstream itself.
	EngineAddress string             `toml:"engineAddress" json:"engineAddress"`
	Kind          burdockmember.Kind `toml:"kind" json:"kind"`
	// Slots is the number of requests that the upstream runs at a time.
	Slots int `toml:"slots" json:"slots"`
	// Fenced says that the engine refuses an order with an old fencing number.
	Fenced bool `toml:"fenced" json:"fenced"`
	// DrainGraceMillis bounds the time for requests in flight on a planned
	// stop; the graceMillis of the service's profile holds when it is shorter.
	DrainGraceMillis burdockclock.Millis `toml:"drainGraceMillis" json:"drainGraceMillis"`
}
