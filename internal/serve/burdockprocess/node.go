// Package burdockprocess assembles an entry or an agent into a process:
// configuration, servers and graceful shutdown.
package burdockprocess

import (
	"crypto/tls"
	"net/http"
	"slices"
	"sync"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/config/burdocksettings"
	"burdockbend.example/burdockbend/internal/external/burdockstore"
	"burdockbend.example/burdockbend/internal/serve/burdockadmin"
	"burdockbend.example/burdockbend/internal/serve/burdockserver"
	"burdockbend.example/burdockbend/internal/state/burdockcharts"
	"burdockbend.example/burdockbend/internal/state/burdockconfig"
	"burdockbend.example/burdockbend/internal/state/burdockfleet"
	"burdockbend.example/burdockbend/internal/state/burdocksync"
	"burdockbend.example/burdockbend/internal/wire/burdocktransport"
	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"
)

// lateRequestGrace is the minimum time for which a stopping process still answers
// requests: those in transit and those of senders that don't know of the stop yet.
const lateRequestGrace = 3 * burdockclock.Second

// idleCheckInterval is how often a stopping process checks whether it is idle.
const idleCheckInterval = 50 * time.Millisecond

// node holds the parts that entries and agents have in common.
type node struct {
	settings  burdocksettings.Common
	clock     burdockclock.Clock
	log       *zap.Logger
	view      *burdockconfig.View
	fleet     *burdockfleet.Fleet
	source    *burdocksync.Source
	store     burdockstore.Store
	peers     *burdocktransport.Peers
	serverTLS *tls.Config
	metrics   *metrics.Set
	admin     *burdockserver.Server
	peer      *burdockserver.Server

	mu   sync.Mutex
	stop burdockcharts.StopMachine
}

func newNode(settings burdocksettings.Common, log *zap.Logger) (*node, error) {
	serverTLS, clientTLS, err := peerTLS(settings)
	if err != nil {
		return nil, err
	}
	clock := burdockclock.System()
	view := burdockconfig.NewView()
	n := &node{
		settings:  settings,
		clock:     clock,
		log:       log,
		view:      view,
		fleet:     burdockfleet.Follow(view),
		source:    burdocksync.NewSource(clock),
		store:     burdockstore.NewHTTP(settings.StoreAddresses),
		peers:     burdocktransport.NewPeers(clientTLS),
		serverTLS: serverTLS,
		metrics:   metrics.NewSet(),
		stop:      burdockcharts.NewStop(),
	}
	n.registerMetrics()
	return n, nil
}

// peerTLS returns the server and client configurations of mutual TLS, or nil for
// both if the settings explicitly accept plain TCP.
func peerTLS(settings burdocksettings.Common) (server, client *tls.Config, err error) {
	if settings.PlainText == burdocksettings.PlainTextAccepted {
		return nil, nil, nil
	}
	server, client, err = settings.TLS.Configs()
	if err != nil {
		return nil, nil, errorx.Decorate(err, "load the TLS keys for peer connections")
	}
	return server, client, nil
}

// listen opens the peer and the operator listener, which every process has.
func (n *node) listen(peerHandler http.Handler, p burdockadmin.Process) error {
	var err error
	n.peer, err = burdockserver.Listen(burdockserver.Config{
		Name: "peers", Address: n.settings.PeerListen, TLS: n.serverTLS, Limits: n.settings.Limits, Log: n.log, Metrics: n.metrics,
	}, peerHandler)
	if err != nil {
		return err
	}
	n.admin, err = burdockserver.Listen(burdockserver.Config{
		Name: "operators", Address: n.settings.AdminListen, Limits: n.settings.Limits, Log: n.log, Metrics: n.metrics,
	}, burdockadmin.NewHandler(p))
	if err != nil {
		n.peer.Close(0)
		return err
	}
	n.registerServerMetrics(n.peer)
	n.registerServerMetrics(n.admin)
	return nil
}

// handlerOptions returns the size limits for RPCs of other processes.
func (n *node) handlerOptions() []connect.HandlerOption {
	return burdocktransport.HandlerOptions(n.settings.Limits.MaxBodyBytes, n.settings.Limits.MaxHeaderBytes)
}

// entryPeers returns the addresses of all known entries except this process.
//
// Entries may share one settings file, in which case each finds its own address
// among the peers. An entry that is cut off and synchronizes with itself would stay
// verified and go on with tasks that others have taken over.
func (n *node) entryPeers() []string {
	addresses := slices.Clone(n.settings.Peers)
	for _, e := range n.fleet.Now().Entries {
		addresses = append(addresses, e.Peer)
	}
	return slices.DeleteFunc(addresses, func(a string) bool { return a == n.settings.PeerListen })
}

func (n *node) fire(e burdockcharts.StopEvent) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	changed, err := n.stop.Fire(e)
	if err != nil {
		panic(err)
	}
	return changed
}

// stopState returns the current state of the planned stop.
func (n *node) stopState() burdockcharts.StopState {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stop.State()
}

// ready returns why the process should get no requests, or "" if it is ready.
func (n *node) ready() string {
	switch {
	case n.stopState() != burdockcharts.StopServing:
		return "stopping"
	case !n.source.Ready():
		return "no configuration yet"
	}
	return ""
}

// drain waits until idle returns true and lateRequestGrace has passed, but no longer
// than maxWait.
func (n *node) drain(idle func() bool, maxWait burdockclock.Millis) {
	start := n.clock.Boot()
	for {
		time.Sleep(idleCheckInterval)
		waited := n.clock.Boot() - start
		if waited >= lateRequestGrace && idle() {
			n.fire(burdockcharts.StopEventDrained)
			return
		}
		if waited > maxWait {
			n.fire(burdockcharts.StopEventTimeout)
			n.log.Warn("the grace time of the stop is over, requests are still open")
			return
		}
	}
}

// Dump is the state dump of a process. Entry, Agent and Group are set for the
// processes that have them.
type Dump struct {
	Role     string                  `json:"role"`
	Stop     burdockcharts.StopState `json:"stop"`
	Settings burdocksettings.Common  `json:"settings"`
	Config   ConfigDump              `json:"config"`
	Entry    any                     `json:"entry,omitempty"`
	Agent    any                     `json:"agent,omitempty"`
	Group    any                     `json:"group,omitempty"`
	Versions map[string]versionDump  `json:"versions"`
	Source   burdocksync.SourceState `json:"source"`
	Findings []string                `json:"findings"`
}

// ConfigDump summarizes the configuration in a state dump.
type ConfigDump struct {
	Digest burdockconfig.Digest `json:"digest"`
	Keys   int                  `json:"keys"`
}

// versionDump is the version of one configuration key.
type versionDump struct {
	Version uint64 `json:"version"`
	Mark    string `json:"mark"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (n *node) dump(role string) Dump {
	d := Dump{
		Role:     role,
		Stop:     n.stopState(),
		Settings: n.settings,
		Config:   ConfigDump{Digest: n.view.Digest(), Keys: n.view.Len()},
		Versions: map[string]versionDump{},
		Source:   n.source.State(),
		Findings: []string{},
	}
	for _, e := range n.view.All() {
		d.Versions[e.Key] = versionDump{Version: uint64(e.Version), Mark: e.Mark, Deleted: e.Deleted}
	}
	for _, f := range n.fleet.Findings() {
		d.Findings = append(d.Findings, f.String())
	}
	return d
}

// Digest returns the digest of the configuration that this process uses.
func (n *node) Digest() burdockconfig.Digest { return n.view.Digest() }
