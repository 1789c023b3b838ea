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

// Agent is an agent as a process.
type Agent struct {
	*node
	agent  *burdockagent.Agent
	homes  *burdockagent.KeySlotManager
	rank   *burdockrank.Host
	puller *burdocksync.Puller
	reader *burdocksync.Fallback
	grace  burdockclock.Millis
}

// StartAgent starts an agent.
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
	a.homes = burdockagent.NewKeySlotManager(a.agent, burdocksync.NewWriter(n.store), n.view, n.peers)
	a.reader = burdocksync.NewFallback(n.store, n.view, n.source, n.entryPeers, log)
	a.agent.Start()
	a.puller.Start()
	a.reader.Start()
	a.homes.Start()
	a.rank.Start()
	return a, nil
}

// peerHandler returns what the system's other processes are served by.
func (a *Agent) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(burdockwire.NewPeerServiceHandler(burdocksync.NewHandler(a.view, a.source), a.handlerOptions()...))
	mux.Handle(burdockwire.NewAgentServiceHandler(a.agent, a.handlerOptions()...))
	mux.Handle(burdockwire.NewGroupServiceHandler(a.rank, a.handlerOptions()...))
	return mux
}

// PeerAddress returns the address for the system's own processes.
func (a *Agent) PeerAddress() string { return a.peer.Address() }

// AdminAddress returns the address for operators.
func (a *Agent) AdminAddress() string { return a.admin.Address() }

// Stop is the planned stop: new work is refused and what runs is finished
// within the grace time.
func (a *Agent) Stop() {
	if !a.fire(burdockcharts.StopEventStop) {
		return
	}
	a.log.Info("stopping")
	a.agent.Drain()
	a.drain(a.released, min(a.grace, a.agent.StopGrace()))
	a.homes.Close()
	a.rank.Close()
	a.puller.Close()
	a.reader.Close()
	a.peer.Close(lateGrace.Duration())
	a.admin.Close(lateGrace.Duration())
	a.agent.Close()
	a.fire(burdockcharts.StopEventClosed)
	a.log.Info("stopped")
}

// released reports whether nothing is left that a stop would cut off or lose.
func (a *Agent) released() bool { return a.agent.Idle() && a.homes.Released() }

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

// Drain refuses new work from now on, as the first part of a planned stop.
func (a *Agent) Drain() { a.agent.Drain() }
