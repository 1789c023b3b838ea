// Package burdockhosted assembles the entry and agent processes for sites where the
// hosting platform manages routes and membership.
package burdockhosted

import (
	"context"
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
	"burdockbend.example/burdockbend/internal/wire/burdocktransport"
	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// Platform holds what a process needs from the platform's adapter.
type Platform struct {
	Store   burdockkv.Store
	Records burdockfollow.Decoder
	Dialect burdockdirect.Dialect
	// NewRank returns the engine at an IP:port.
	NewRank func(address string) Rank
	// Metrics is exposed by the process; nil for a new set.
	Metrics *metrics.Set
}

func (p *Platform) metrics() *metrics.Set {
	if p.Metrics == nil {
		p.Metrics = metrics.NewSet()
	}
	return p.Metrics
}

// Process is a running entry or agent.
type Process interface {
	// Stop shuts the process down gracefully. It returns when no request is in flight, or
	// at the end of the grace time.
	Stop()
}

const (
	// idlePollInterval is how often a stopping entry checks whether it is idle.
	idlePollInterval = 20 * time.Millisecond
	// minDrainTime is how long a stopping entry keeps serving even if it is idle. Callers
	// with open connections may be about to send a request, and the platform stops
	// sending new ones only after two readiness checks, one second apart.
	minDrainTime = 3 * burdockclock.Second
	// watchCheckInterval leaves half of the time within which a configuration has to be in
	// force for listing it again.
	watchCheckInterval = burdockclock.Second
	// shutdownMargin is the part of the grace time that is reserved for the end of what is
	// still open; endTime of it is for writing the last answers.
	shutdownMargin burdockclock.Millis = 400
	endTime        burdockclock.Millis = 250
)

// answerMemoryPercent is the part of a process's memory for the answers that it holds.
const answerMemoryPercent = 20

type entry struct {
	settings burdocksettings.Hosted
	clock    burdockclock.Clock
	log      *zap.Logger
	entry    *burdockdirect.Entry
	callers  *http.Server
	ready    *http.Server
	admin    *http.Server
	follower *burdockkv.Follower
	presence *presence
	room     *roomClient // nil if no service may share its room
	// crashPublisher and suspectedPublisher send notifications to the other entries.
	crashPublisher     *publisher
	suspectedPublisher *publisher
	partNews           *partNews
}

// StartEntry starts an entry.
func StartEntry(settings burdocksettings.Hosted, p Platform, log *zap.Logger) (Process, error) {
	set := p.metrics()
	clock := burdockclock.System()
	site := burdocksite.New()
	e := &entry{settings: settings, clock: clock, log: log}
	e.crashPublisher = newPublisher(p.Store, settings.QuarantineMillis, true, log)
	e.suspectedPublisher = newPublisher(p.Store, suspectedTTL, false, log)
	e.partNews = newPartNews(p.Store, settings.VM, log)
	sharesRates := func() bool { return hasColdRate(site.Now()) || e.entry.RateLimited() }
	e.presence = newPresence(p.Store, settings.VM, sharesRates, clock, log)
	e.entry = burdockdirect.New(
		burdockdirect.Config{DataCentre: settings.DataCentre, GraceMillis: settings.GraceMillis - shutdownMargin, QuarantineMillis: settings.QuarantineMillis, SharedAdmission: burdockdirect.SharedAdmission(settings.SharedAdmission),
			AnswerBytes: int64(settings.MemoryMB) << 20 * answerMemoryPercent / 100},
		burdockdirect.Deps{
			Clock: clock, Site: site, Dialect: p.Dialect, Log: log, Metrics: set, Seed: rand.Uint64(),
			PublishCrashes: e.publishCrashes, PublishAnswer: e.publishAnswer, PublishSuspected: e.publishSuspected,
			NeedEntries: e.presence.checkNow, PartNews: e.partNews,
		},
	)
	site.Subscribe(e.entry.ApplySnapshot)
	e.follower = burdockkv.NewRoutedFollower(p.Store, burdockkv.WatchOptions{History: settings.StoreHistoryMillis, CheckInterval: watchCheckInterval, Urgent: e.entry.CallersWait}, e.routes(p.Records, site, set), clock, log)
	e.callers = newServer(e.entry)
	e.ready = newServer(http.HandlerFunc(e.serveReady))
	e.admin = newServer(adminHandler(set, e.entry))
	err := listenAll(log, set,
		endpoint{name: "callers", server: e.callers, address: settings.CallerListen, describe: e.entry.Describe, connections: newConnections(maxConnections, set, log)},
		endpoint{name: "ready", server: e.ready, address: settings.ReadyListen},
		endpoint{name: "admin", server: e.admin, address: net.JoinHostPort(settings.IP, strconv.Itoa(settings.AdminPort))})
	if err != nil {
		return nil, err
	}
	e.crashPublisher.start()
	e.partNews.start()
	e.suspectedPublisher.start()
	e.presence.start()
	e.follower.Start()
	if e.room != nil {
		e.room.start()
	}
	log.Info("entry started", zap.String("vm", string(settings.VM)), zap.String("dataCentre", string(settings.DataCentre)),
		zap.String("callers", settings.CallerListen))
	return e, nil
}

// routes returns the keys that an entry follows, in the order in which it needs them when
// it starts. After a power cut, all processes of a fleet list at once, and the store's link
// takes more than a second for all listings together.
//
// The notifications come first. They are few, and without them a started entry would offer
// requests that the others keep from upstreams.
//
// The configuration is never read from a stale copy: a 404 or 401 by an old one is final
// for a caller.
//
// It also creates the client of shared admission, which reads some of these keys.
func (e *entry) routes(records burdockfollow.Decoder, site *burdocksite.Site, set *metrics.Set) []burdockkv.Route {
	routes := []burdockkv.Route{{Prefix: prefixNotifications, Sink: newNotificationReader(e.entry, e.log).mirror}}
	for _, topic := range burdockfollow.Topics() {
		routes = append(routes, burdockkv.Route{
			Prefix: records.Prefix(topic), Sink: burdockfollow.New(topic, records, site, e.clock, e.log),
			NeedsLatest: topic == burdockfollow.TopicConfig,
		})
	}
	groups := newGroupReader(e.entry)
	routes = append(routes,
		burdockkv.Route{Prefix: prefixEntry, Sink: newEntriesReader(e.entry, e.presence)},
		burdockkv.Route{Prefix: prefixRank, Sink: groups.mirror},
	)
	if !sharesRoom(e.settings) {
		return routes
	}
	leases := burdockkv.NewMirror()
	directory := newRoomDirectory(site, leases, groups.mirror)
	e.room = newRoomClient(e.entry, e.settings.VM, directory, newExchangeCall(burdocktransport.NewPeers(nil)), e.clock, set, e.log)
	return append(routes, burdockkv.Route{Prefix: prefixLease, Sink: leases})
}

// sharesRoom reports whether services may share their room on this site.
func sharesRoom(settings burdocksettings.Hosted) bool {
	return burdockdirect.SharedAdmission(settings.SharedAdmission) != burdockdirect.SharedAdmissionOff
}

func (e *entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := e.entry.Ready(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Stop implements Process.
//
// It closes no idle connection, because a request may already be on its way on it, and a
// planned stop would then fail a caller's request. All connections stay open; each answer
// asks its caller to close. At the end the entry answers what is still open before its
// connections are closed.
func (e *entry) Stop() {
	start := e.clock.Boot()
	e.log.Info("stopping")
	e.entry.Drain()
	deadline := start + e.settings.GraceMillis - shutdownMargin
	for now := start; now < deadline; now = e.clock.Boot() {
		if now-start >= minDrainTime && e.entry.Idle() {
			break
		}
		time.Sleep(idlePollInterval)
	}
	idle := e.closeCallers(deadline)
	if e.room != nil {
		e.room.close()
	}
	e.presence.close()
	e.follower.Close()
	e.crashPublisher.close()
	e.partNews.close()
	e.suspectedPublisher.close()
	e.log.Info("stopped", zap.Bool("idle", idle), zap.Int64("tookMillis", int64(e.clock.Boot()-start)))
}

// closeCallers closes the callers' connections: those with a request once it has been answered,
// at the deadline at the latest. It reports whether all of them have been.
func (e *entry) closeCallers(deadline burdockclock.Millis) bool {
	if e.shutdownCallers(deadline-e.clock.Boot()) == nil {
		return true
	}
	e.entry.EndRequests()
	return e.shutdownCallers(endTime) == nil
}

func (e *entry) shutdownCallers(wait burdockclock.Millis) error {
	ctx, cancel := context.WithTimeout(context.Background(), max(wait, 0).Duration())
	defer cancel()
	return e.callers.Shutdown(ctx)
}
