package burdockprocess

import (
	"math/rand/v2"
	"net/http"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/config/burdocksettings"
	"burdockbend.example/burdockbend/internal/external/burdocklist"
	"burdockbend.example/burdockbend/internal/serve/burdockadmin"
	"burdockbend.example/burdockbend/internal/serve/burdockentry"
	"burdockbend.example/burdockbend/internal/serve/burdockserver"
	"burdockbend.example/burdockbend/internal/state/burdockcharts"
	"burdockbend.example/burdockbend/internal/state/burdocksync"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// Entry is the process that runs one entry.
type Entry struct {
	*node
	entry   *burdockentry.Entry
	callers *burdockserver.Server
	watcher *burdocksync.Watcher
	puller  *burdocksync.Puller
	grace   burdockclock.Millis
}

// StartEntry starts an entry with its listeners and background loops.
func StartEntry(settings burdocksettings.Entry, log *zap.Logger) (*Entry, error) {
	n, err := newNode(settings.Common, log)
	if err != nil {
		return nil, err
	}
	e := &Entry{node: n, grace: settings.DrainGraceMillis}
	e.entry = burdockentry.New(
		burdockentry.Config{VM: settings.VM, DataCentre: settings.DataCentre, Limits: settings.Limits},
		burdockentry.Deps{
			Clock:      n.clock,
			Fleet:      n.fleet,
			Peers:      n.peers,
			Membership: burdocklist.NewHTTP("http://" + settings.MembershipAddress),
			Log:        log,
			Metrics:    n.metrics,
			Seed:       rand.Uint64(),
		},
	)
	mux := http.NewServeMux()
	mux.Handle(burdockwire.NewPeerServiceHandler(burdocksync.NewHandler(n.view, n.source), n.handlerOptions()...))
	if err := n.listen(mux, e); err != nil {
		return nil, err
	}
	if e.callers, err = e.listenCallers(settings); err != nil {
		n.peer.Close(0)
		n.admin.Close(0)
		return nil, err
	}
	e.registerServerMetrics(e.callers)
	e.watcher = burdocksync.NewWatcher(n.store, n.view, n.source, n.clock, log)
	e.puller = burdocksync.NewPuller(n.view, n.source, n.peers, n.entryPeers, log)
	e.entry.Start()
	e.watcher.Start()
	e.puller.Start()
	return e, nil
}

func (e *Entry) listenCallers(settings burdocksettings.Entry) (*burdockserver.Server, error) {
	mux := http.NewServeMux()
	mux.Handle("GET "+burdockadmin.PathReady, burdockadmin.NewReady(e))
	mux.Handle("/", e.entry.Handler())
	return burdockserver.Listen(burdockserver.Config{
		Name: "callers", Address: settings.Listen, Limits: settings.Limits, Log: e.log, Metrics: e.metrics,
	}, mux)
}

// Address returns the address that callers connect to.
func (e *Entry) Address() string { return e.callers.Address() }

// PeerAddress returns the address that agents and other entries connect to.
func (e *Entry) PeerAddress() string { return e.peer.Address() }

// AdminAddress returns the address of the operators' endpoint.
func (e *Entry) AdminAddress() string { return e.admin.Address() }

// Stop shuts the entry down: requests in flight get the grace time to finish. Calls
// after the first do nothing.
func (e *Entry) Stop() {
	if !e.fire(burdockcharts.StopEventStop) {
		return
	}
	e.log.Info("stopping")
	e.entry.Drain(e.clock.Boot() + e.grace)
	e.callers.Drain()
	e.drain(e.entry.Idle, e.grace)
	e.callers.Close(lateRequestGrace.Duration())
	e.watcher.Close()
	e.puller.Close()
	e.entry.Close()
	e.peer.Close(lateRequestGrace.Duration())
	e.admin.Close(lateRequestGrace.Duration())
	e.fire(burdockcharts.StopEventClosed)
	e.log.Info("stopped")
}

// Dump implements burdockadmin.Process.
func (e *Entry) Dump() any {
	d := e.dump("entry")
	d.Entry = e.entry.State()
	return d
}

// Ready implements burdockadmin.Process.
func (e *Entry) Ready() string { return e.ready() }

// Metrics implements burdockadmin.Process.
func (e *Entry) Metrics() *metrics.Set { return e.metrics }
