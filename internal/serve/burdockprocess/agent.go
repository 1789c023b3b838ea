package burdockprocess

import (
	"math/rand/v2"
	"net/http"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/config/burdocksettings"
	"burdockbend.example/burdockbend/internal/external/burdockengine"
	"burdockbend.example/burdockbend/internal/serve/burdockagent"
	"burdockbend.example/burdockbend/internal/serve/burdockrank"
	"burdockbend.example/burdockbend/internal/state/burdockcharts"
	"burdockbend.example/burdockbend/internal/state/burdocksync"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// Agent is the process that runs one agent.
type Agent struct {
	*node
	agent    *burdockagent.Agent
	keySlots *burdockagent.KeySlotManager
	rank     *burdockrank.Host
	puller   *burdocksync.Puller
	reader   *burdocksync.Fallback
	grace    burdockclock.Millis
}

// StartAgent starts an agent with its listeners and background loops.
func StartAgent(settings burdocksettings.Agent, log *zap.Logger) (*Agent, error) {
	n, err := newNode(settings.Common, log)
	if err != nil {
		return nil, err
	}
	a := &Agent{node: n, grace: settings.DrainGraceMillis}
	a.puller = burdocksync.NewStickyPuller(n.view, n.source, n.peers, n.entryPeers, log)
	a.agent = burdockagent.New(
		burdockagent.Config{Upstream: settings.Upstream, VM: settings.VM, Slots: settings.Slots},
		burdockagent.Deps{
			Clock:          n.clock,
			Engine:         burdockengine.NewHTTP(settings.EngineAddress),
			Fleet:          n.fleet,
			Verified:       n.source.Verified,
			OnConfigDigest: a.puller.ObserveDigest,
			Log:            log,
			Metrics:        n.metrics,
			Random:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		},
	)
	a.rank = burdockrank.NewHost(settings.Upstream, burdockrank.Deps{
		Clock:     n.clock,
		Engine:    burdockengine.NewGroupHTTP(settings.EngineAddress),
		Store:     n.store,
		Directory: burdockrank.NewFleetDirectory(n.fleet, settings.Upstream),
		Peers:     n.peers,
		Log:       log,
	})
	if err := n.listen(a.peerHandler(), a); err != nil {
		return nil, err
	}
	a.keySlots = burdockagent.NewKeySlotManager(a.agent, burdocksync.NewWriter(n.store), n.view, n.peers)
	a.reader = burdocksync.NewFallback(n.store, n.view, n.source, n.entryPeers, log)
	a.agent.Start()
	a.puller.Start()
	a.reader.Start()
	a.keySlots.Start()
	a.rank.Start()
	return a, nil
}

// peerHandler returns the RPC handler for the other processes of the system.
func (a *Agent) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(burdockwire.NewPeerServiceHandler(burdocksync.NewHandler(a.view, a.source), a.handlerOptions()...))
	mux.Handle(burdockwire.NewAgentServiceHandler(a.agent, a.handlerOptions()...))
	mux.Handle(burdockwire.NewGroupServiceHandler(a.rank, a.handlerOptions()...))
	return mux
}

// PeerAddress returns the address that entries and other agents connect to.
func (a *Agent) PeerAddress() string { return a.peer.Address() }

// AdminAddress returns the address of the operators' endpoint.
func (a *Agent) AdminAddress() string { return a.admin.Address() }

// Stop shuts the agent down: it refuses new requests and lets running ones finish
// within the grace time. Calls after the first do nothing.
func (a *Agent) Stop() {
	if !a.fire(burdockcharts.StopEventStop) {
		return
	}
	a.log.Info("stopping")
	a.agent.Drain()
	a.drain(a.drained, min(a.grace, a.agent.StopGrace()))
	a.keySlots.Close()
	a.rank.Close()
	a.puller.Close()
	a.reader.Close()
	a.peer.Close(lateRequestGrace.Duration())
	a.admin.Close(lateRequestGrace.Duration())
	a.agent.Close()
	a.fire(burdockcharts.StopEventClosed)
	a.log.Info("stopped")
}

// drained reports whether no request is running and all key slots are released, so
// that a stop interrupts and loses nothing.
func (a *Agent) drained() bool { return a.agent.Idle() && a.keySlots.Released() }

// Dump implements burdockadmin.Process.
func (a *Agent) Dump() any {
	d := a.dump("agent")
	d.Agent = a.agent.State()
	if state := a.rank.State(); state != nil {
		d.Group = state
	}
	return d
}

// Ready implements burdockadmin.Process.
func (a *Agent) Ready() string { return a.ready() }

// Metrics implements burdockadmin.Process.
func (a *Agent) Metrics() *metrics.Set { return a.metrics }

// Drain makes the agent refuse new requests, the first part of a planned stop.
func (a *Agent) Drain() { a.agent.Drain() }
