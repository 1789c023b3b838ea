package burdocktransport

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

const (
	peerDialTimeout = time.Second
	// peerIdleTimeout bounds how long an unused connection is kept: a network device
	// between two VMs may silently drop its state of the connection.
	peerIdleTimeout = 10 * time.Second
	// peerMaxIdleConns covers the streams that one entry has open to one agent.
	peerMaxIdleConns = 64
)

// Peers is the HTTP client for entries and agents.
type Peers struct {
	Client *http.Client
	scheme string
}

// NewPeers returns a client that uses TLS with cfg. A nil cfg stands for plain TCP, which
// the settings must allow explicitly.
func NewPeers(cfg *tls.Config) *Peers {
	scheme := "http"
	if cfg != nil {
		scheme = "https"
	}
	return &Peers{
		scheme: scheme,
		Client: &http.Client{Transport: New(&http.Transport{
			MaxResponseHeaderBytes: MaxResponseHeader,
			DialContext:            (&net.Dialer{Timeout: peerDialTimeout}).DialContext,
			TLSClientConfig:        cfg,
			TLSHandshakeTimeout:    peerDialTimeout,
			MaxIdleConnsPerHost:    peerMaxIdleConns,
			IdleConnTimeout:        peerIdleTimeout,
			DisableCompression:     true,
		})},
	}
}

// URL returns the base URL of the process at address, an IP and port.
func (p *Peers) URL(address string) string { return p.scheme + "://" + address }

// DropIdle closes the connections that no request uses.
//
// A network device between two VMs may have dropped its state of open connections while new
// ones work. Each request on such a connection then waits for the whole silence timeout.
// After one connection has timed out, the caller drops the idle ones as well.
func (p *Peers) DropIdle() { p.Client.CloseIdleConnections() }
