// Package burdockprocess puts the parts of an entry or an agent together into
// a process: configuration, servers, and a planned stop.
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

// lateGrace is how long a stopping process goes on taking requests that were
// on their way, or that come from those who have not yet heard of the stop.
const lateGrace = 3 * burdockclock.Second

// idleCheck is how often a stopping process looks whether it is idle.
const idleCheck = 50 * time.Millisecond

// node is what entries and agents have in common.
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
	n.meter()
	return n, nil
}

// peerTLS returns the two sides of mutual TLS, or nothing when the settings
// accept plain TCP in words.
func peerTLS(settings burdocksettings.Common) (server, client *tls.Config, err error) {
	if settings.PlainText == burdocksettings.PlainTextAccepted {
		return nil, nil, nil
	}
	server, client, err = settings.TLS.Configs()
	if err != nil {
		return nil, nil, errorx.Decorate(err, "keys of the system's own processes")
	}
	return server, client, nil
}

// listen opens the listeners that every process has.
func (n *node) listen(peerHandler http.Handler, p burdockadmin.Process) error {
	var err error
	n.peer, err = burdockserver.Listen(burdockserver.Config{
		Name: "peers", Address: n.settings.PeerListen, TLS: n.serverTLS, Limits: n.settings.Limits, Log: n.log,
	}, peerHandler)
	if err != nil {
		return err
	}
	n.admin, err = burdockserver.Listen(burdockserver.Config{
		Name: "operators", Address: n.settings.AdminListen, Limits: n.settings.Limits, Log: n.log,
	}, burdockadmin.NewHandler(p))
	if err != nil {
		n.peer.Close(0)
		return err
	}
	n.meterServer(n.peer)
	n.meterServer(n.admin)
	return nil
}

// handlerOptions returns how calls of other processes are taken.
func (n *node) handlerOptions() []connect.HandlerOption {
	return burdocktransport.HandlerOptions(n.settings.Limits.MaxBodyBytes, n.settings.Limits.MaxHeaderBytes)
}

// entryPeers returns the addresses of all entries that are known, without
// this process's own.
//
// Failure: settings that all entries share name each entry to itself. Symptom:
// an entry that is cut off hears from itself and goes on as verified, with
// duties that others have taken over.
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
	moved, err := n.stop.Fire(e)
	if err != nil {
		panic(err)
	}
	return moved
}

// stopState returns how far a planned stop has come.
func (n *node) stopState() burdockcharts.StopState {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stop.State()
}

// ready returns why the process should get no work, or "".
func (n *node) ready() string {
	switch {
	case n.stopState() != burdockcharts.StopServing:
		return "stopping"
	case !n.source.Ready():
		return "no configuration yet"
	}
	return ""
}

// drain waits until idle holds and the grace for late arrivals is over, but no
// longer than most.
func (n *node) drain(idle func() bool, most burdockclock.Millis) {
	began := n.clock.Boot()
	for {
		time.Sleep(idleCheck)
		waited := n.clock.Boot() - began
		if waited >= lateGrace && idle() {
			n.fire(burdockcharts.StopEventDrained)
			return
		}
		if waited > most {
			n.fire(burdockcharts.StopEventTimeout)
			n.log.Warn("the grace time of the stop is over, requests are still open")
			return
		}
	}
}

// Dump is what a dump shows of every process.
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

// ConfigDump is what a dump shows of the configuration.
type ConfigDump struct {
	Digest burdockconfig.Digest `json:"digest"`
	Keys   int                  `json:"keys"`
}

// versionDump is one key of the configuration.
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

// Digest returns the digest of the configuration that is in force here.
func (n *node) Digest() burdockconfig.Digest { return n.view.Digest() }
