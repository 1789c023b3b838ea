// Package burdockhosted puts the parts of an entry or an agent together into a
// process on a site whose platform keeps routes and membership.
package burdockhosted

import (
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/config/burdocksettings"
	"burdockbend.example/burdockbend/internal/serve/burdockdirect"
	"burdockbend.example/burdockbend/internal/state/burdockfollow"
	"burdockbend.example/burdockbend/internal/state/burdockkv"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// Platform is what a process needs of the platform's adapter.
type Platform struct {
	Store   burdockkv.Store
	Records burdockfollow.Decoder
	Dialect burdockdirect.Dialect
	// NewRank returns the engine of a rank at an IP:port.
	NewRank func(address string) Rank
}

// Process is a running entry or agent.
type Process interface {
	// Stop is the planned stop. It returns when nothing is in flight, or at the
	// end of the grace time.
	Stop()
}

const (
	// idleCheck is how often a stopping process looks whether it is idle.
	idleCheck = 20 * time.Millisecond
	// leastLinger is how long a stopping entry goes on even when it is idle:
	// callers whose connections are open may be about to send, and the platform
	// takes two questions, a second apart, to send no new ones.
	leastLinger = 3 * burdockclock.Second
	// endMargin is kept of the grace time to end what is left in order.
	endMargin burdockclock.Millis = 400
)

type entry struct {
	settings  burdocksettings.Hosted
	clock     burdockclock.Clock
	log       *zap.Logger
	entry     *burdockdirect.Entry
	callers   *http.Server
	ready     *http.Server
	admin     *http.Server
	followers []*burdockkv.Follower
	// crashes and doubts tell the other entries.
	crashes *teller
	doubts  *teller
}

// StartEntry starts an entry.
func StartEntry(settings burdocksettings.Hosted, p Platform, log *zap.Logger) (Process, error) {
	set := metrics.NewSet()
	clock := burdockclock.System()
	site := burdocksite.New()
	e := &entry{settings: settings, clock: clock, log: log}
	e.crashes = newTeller(p.Store, settings.QuarantineMillis, true, log)
	e.doubts = newTeller(p.Store, doubtTTL, false, log)
	e.entry = burdockdirect.New(
		burdockdirect.Config{DataCentre: settings.DataCentre, GraceMillis: settings.GraceMillis, QuarantineMillis: settings.QuarantineMillis},
		burdockdirect.Deps{
			Clock: clock, Site: site, Dialect: p.Dialect, Log: log, Metrics: set, Seed: rand.Uint64(),
			PublishCrashes: e.tellCrashes, PublishSuspected: e.tellDoubt,
		},
	)
	site.Subscribe(e.entry.ApplySnapshot)
	for _, topic := range burdockfollow.Topics() {
		sink := burdockfollow.New(topic, p.Records, site, clock, log)
		e.followers = append(e.followers, burdockkv.NewFollower(p.Store, e.watching(p.Records.Prefix(topic)), sink, clock, log))
	}
	told := newNews(e.entry, log)
	e.followers = append(e.followers, burdockkv.NewFollower(p.Store, e.watching(prefixNews), told.mirror, clock, log))
	e.callers = newServer(e.entry)
	e.ready = newServer(http.HandlerFunc(e.serveReady))
	e.admin = newServer(adminHandler(set, e.entry.CrashingRequests))
	err := listenAll(log,
		listening{e.callers, settings.CallerListen},
		listening{e.ready, settings.ReadyListen},
		listening{e.admin, net.JoinHostPort(settings.IP, strconv.Itoa(settings.AdminPort))})
	if err != nil {
		return nil, err
	}
	e.crashes.start()
	e.doubts.start()
	for _, f := range e.followers {
		f.Start()
	}
	log.Info("entry started", zap.String("vm", string(settings.VM)), zap.String("dataCentre", string(settings.DataCentre)),
		zap.String("callers", settings.CallerListen))
	return e, nil
}

func (e *entry) watching(prefix string) burdockkv.Watching {
	return burdockkv.Watching{Prefix: prefix, History: e.settings.StoreHistoryMillis}
}

func (e *entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if why := e.entry.Ready(); why != "" {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Stop implements Process.
//
// Failure: idle connections are closed at once, as a request is on its way on
// one of them. Symptom: a caller's request is cut by a planned stop. So all
// connections stay open; each answer asks its caller to close.
func (e *entry) Stop() {
	began := e.clock.Boot()
	e.log.Info("stopping")
	e.entry.Drain()
	latest := began + e.settings.GraceMillis - endMargin
	for now := began; now < latest; now = e.clock.Boot() {
		if now-began >= leastLinger && e.entry.Idle() {
			break
		}
		time.Sleep(idleCheck)
	}
	for _, f := range e.followers {
		f.Close()
	}
	e.crashes.close()
	e.doubts.close()
	e.log.Info("stopped", zap.Bool("idle", e.entry.Idle()), zap.Int64("tookMillis", int64(e.clock.Boot()-began)))
}
