package burdocktransport

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

const (
	peerDialTimeout = time.Second
	// peerIdleTimeout bounds how long an unused connection is believed in: a
	// device between two VMs may lose track of it without a word.
	peerIdleTimeout = 10 * time.Second
	// peerMaxIdle covers the streams that one entry has open at one agent.
	peerMaxIdle = 64
)

// Peers reaches the system's own processes.
type Peers struct {
	Client *http.Client
	scheme string
}

// NewPeers returns the way to other processes. With a nil config it is plain
// TCP, which the settings must accept in words.
func NewPeers(cfg *tls.Config) *Peers {
	scheme := "http"
	if cfg != nil {
		scheme = "https"
	}
	return &Peers{
		scheme: scheme,
		Client: &http.Client{Transport: NewOnce(&http.Transport{
			DialContext:         (&net.Dialer{Timeout: peerDialTimeout}).DialContext,
			TLSClientConfig:     cfg,
			TLSHandshakeTimeout: peerDialTimeout,
			MaxIdleConnsPerHost: peerMaxIdle,
			IdleConnTimeout:     peerIdleTimeout,
			DisableCompression:  true,
		})},
	}
}

// URL returns the base address of the process at an IP and port.
func (p *Peers) URL(address string) string { return p.scheme + "://" + address }

// DropIdle closes the connections that no request uses.
//
// Failure: something between two VMs has lost track of open connections while
// new ones work. Symptom: each request that gets such a connection waits for
// the silence limit. Once one is found silent, none of its idle siblings is
// handed out again.
func (p *Peers) DropIdle() { p.Client.CloseIdleConnections() }
