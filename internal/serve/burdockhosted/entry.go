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
	"burdockbend.example/burdockbend/internal/state/burdocksite"
	"github.com/VictoriaMetrics/metrics"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"
)

// Platform is what a process needs of the platform's adapter.
type Platform struct {
	Source  burdockfollow.Source
	Dialect burdockdirect.Dialect
}

// Process is a running entry or agent.
type Process interface {
	// Stop is the planned stop. It returns when nothing is in flight, or at the
	// end of the grace time.
	Stop()
}

const (
	// headerTimeout and idleTimeout are longer than any caller needs; callers
	// close first.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeader is several times what the platform lets callers send.
	maxHeader = 64 << 10
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
	followers []*burdockfollow.Follower
}

// StartEntry starts an entry.
func StartEntry(settings burdocksettings.Hosted, p Platform, log *zap.Logger) (Process, error) {
	set := metrics.NewSet()
	clock := burdockclock.System()
	site := burdocksite.New()
	e := &entry{settings: settings, clock: clock, log: log}
	e.entry = burdockdirect.New(
		burdockdirect.Config{DataCentre: settings.DataCentre, GraceMillis: settings.GraceMillis},
		burdockdirect.Deps{Clock: clock, Site: site, Dialect: p.Dialect, Log: log, Metrics: set, Seed: rand.Uint64()},
	)
	site.Subscribe(e.entry.Follow)
	for _, topic := range []burdockfollow.Topic{burdockfollow.TopicConfig, burdockfollow.TopicUpstreams} {
		e.followers = append(e.followers, burdockfollow.New(topic, p.Source, site, clock, log))
	}
	e.callers = newServer(e.entry)
	e.ready = newServer(http.HandlerFunc(e.serveReady))
	e.admin = newServer(adminHandler(set))
	if err := e.listen(); err != nil {
		return nil, err
	}
	for _, f := range e.followers {
		f.Start()
	}
	log.Info("entry started", zap.String("vm", string(settings.VM)), zap.String("dataCentre", string(settings.DataCentre)),
		zap.String("callers", settings.CallerListen))
	return e, nil
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader}
}

func adminHandler(set *metrics.Set) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { set.WritePrometheus(w) })
	return mux
}

func (e *entry) listen() error {
	for _, l := range []struct {
		server  *http.Server
		address string
	}{
		{e.callers, e.settings.CallerListen},
		{e.ready, e.settings.ReadyListen},
		{e.admin, net.JoinHostPort(e.settings.IP, strconv.Itoa(e.settings.AdminPort))},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return errorx.Decorate(err, "listen")
		}
		go server{l.server, listener, e.log}.run()
	}
	return nil
}

type server struct {
	server   *http.Server
	listener net.Listener
	log      *zap.Logger
}

func (s server) run() {
	if err := s.server.Serve(s.listener); err != nil && err != http.ErrServerClosed {
		s.log.Error("listener failed", zap.Error(err))
	}
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
	e.log.Info("stopped", zap.Bool("idle", e.entry.Idle()), zap.Int64("tookMillis", int64(e.clock.Boot()-began)))
}
