package burdockhosted

import (
	"net"
	"net/http"
	"strconv"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/config/burdocksettings"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
	"burdockbend.example/burdockbend/internal/serve/burdockrank"
	"burdockbend.example/burdockbend/internal/state/burdockfollow"
	"burdockbend.example/burdockbend/internal/state/burdockkv"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
	"burdockbend.example/burdockbend/internal/wire/burdocktransport"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"go.uber.org/zap"
)

// Tuning of expert maps on the platform. Popularity shifts within seconds there, and an
// engine copies experts from another one within tenths of a second.
const (
	// skewWeight and costWeight weigh time lost to uneven ranks against time spent
	// copying. Ranks copy while the group runs, which makes its steps 15% longer. In a
	// group of some tens of ranks, a copy by one of them costs far less than the time it
	// takes.
	skewWeight = 1.0
	costWeight = 0.08
	// expectedShiftDuration is how long a shift of popularity is expected to last.
	expectedShiftDuration = 3 * burdockclock.Second
	// popularityHalfLife spans several counting windows, which averages out what single
	// prompts ask for. A swap of popularity is detected separately.
	popularityHalfLife burdockclock.Millis = 1500
	countsInterval     burdockclock.Millis = 80
	// minRankLoads and layersPerLoad bound the copying of one change: each load takes
	// about 0.1 s, and a change a few tenths of a second. The next change brings the
	// remaining improvement.
	minRankLoads  = 1
	layersPerLoad = 3
	// sampledRanks is large enough to tell a shift of popularity from chance, and small
	// enough to poll at countsInterval.
	sampledRanks = 16
	// configPollInterval is how often an agent reads the configuration again, in case the
	// shape of its engine has changed.
	configPollInterval = 40 * burdockclock.Second
	// minChangeInterval is the minimum time between two map changes.
	minChangeInterval burdockclock.Millis = 100
	tickInterval      burdockclock.Millis = 25
	// leaseTTL bounds how long a group stalls if its controller dies during a change. A
	// renewal costs the store a tenth of a call.
	leaseTTL           = 1500 * burdockclock.Millis(1)
	leaseRenewInterval = 400 * burdockclock.Millis(1)
	leaseStagger       = 1 * burdockclock.Millis(1)
	// leaseRetryInterval is how often an agent checks whether it may try to acquire the
	// lease. The check makes no call to the store.
	leaseRetryInterval = 50 * burdockclock.Millis(1)
	// maxStoreOutage is longer than the usual outages of the store, which last some
	// seconds. After it the group keeps its current map.
	maxStoreOutage = 30 * burdockclock.Second
	// groupPollInterval is the interval at which the controller checks for states that no
	// rank reports, such as a hold that took effect late.
	groupPollInterval = burdockclock.Second
	// orderRetry is the retry delay of an unanswered order until round times have been
	// measured, and its maximum. minOrderRetry is the minimum: some round trips and
	// ticks.
	orderRetry    = 250 * burdockclock.Millis(1)
	minOrderRetry = 75 * burdockclock.Millis(1)
	// loadRetry is longer than loadWait, the time for which an agent waits for its engine
	// to load.
	loadRetry = 600 * burdockclock.Millis(1)
	// switchPollInterval is how often the controller checks whether the group has passed
	// the step of a switch. No other change can begin before that.
	switchPollInterval = 20 * burdockclock.Millis(1)
	// loadPollInterval is for loads that take longer than loadWait.
	loadPollInterval = 40 * burdockclock.Millis(1)
	// switchLead covers the rest of the current step and one more. Until an outdated map
	// is replaced, steps take twice as long, so each step of lead is expensive. The lead
	// grows, up to maxSwitchLead, if the rounds of orders take longer.
	switchLead    burdockid.Step = 1
	maxSwitchLead burdockid.Step = 8
	// armTimeout is how long a group may stall for a rank that does not answer, in
	// addition to the retry delay of its order.
	armTimeout = 250 * burdockclock.Millis(1)
	// armBudget is several times the duration of the rounds of a change. maxArmBudget is
	// still left of a lease that is renewed in time.
	armBudget    = 500 * burdockclock.Millis(1)
	maxArmBudget = 900 * burdockclock.Millis(1)
	// bytesPerMegabit converts megabits per second to bytes per millisecond.
	bytesPerMegabit = 125
)

func maxRankLoads(layers int) int { return max(minRankLoads, layers/layersPerLoad) }

// tuning returns the settings for map changes on a VM whose link carries linkMbps
// megabits per second; 0 means unknown.
func tuning(linkMbps float64) burdockrank.Tuning {
	return burdockrank.Tuning{
		HalfLife: popularityHalfLife, CountsInterval: countsInterval, SampledRanks: sampledRanks, PlanOnUnconfirmedShift: true, MaxRankLoads: maxRankLoads, MinChangeInterval: minChangeInterval, TickInterval: tickInterval,
		LeaseTTL: leaseTTL, LeaseRenewInterval: leaseRenewInterval, MaxStoreOutage: maxStoreOutage, LeaseStagger: leaseStagger, LeaseRetryInterval: leaseRetryInterval,
		WatchInterval: burdockclock.Second, LinkBytesPerMilli: linkMbps * bytesPerMegabit,
		AdjustController: func(cfg *burdockgroup.ControllerConfig) {
			cfg.Poll, cfg.ArmBudget, cfg.MaxArmBudget = groupPollInterval, armBudget, maxArmBudget
			cfg.ArmTimeout = armTimeout
			cfg.Retry, cfg.MinRetry, cfg.LoadRetry = orderRetry, minOrderRetry, loadRetry
			cfg.SwitchPoll, cfg.LoadPoll = switchPollInterval, loadPollInterval
			cfg.SwitchLead, cfg.MaxSwitchLead, cfg.MinimizeLead = switchLead, maxSwitchLead, true
		},
	}
}

// storeReader keeps a local copy of a part of the store.
type storeReader interface {
	Start()
	Close()
}

type agent struct {
	log            *zap.Logger
	host           *burdockrank.Host
	directory      *directory
	speedPublisher *speedPublisher
	readers        []storeReader
	peers          *http.Server
	admin          *http.Server
}

// StartAgent starts the agent of an upstream.
func StartAgent(settings burdocksettings.Hosted, p Platform, log *zap.Logger) (Process, error) {
	clock := burdockclock.System()
	site := burdocksite.New()
	mirror := burdockkv.NewMirror()
	engines := newEngineSpec(p.Store, settings.UpstreamService, func() *burdocksite.Config { return site.Now().Config }, log)
	spec := engines.current
	address := net.JoinHostPort(settings.IP, strconv.Itoa(settings.PeerPort))
	a := &agent{log: log}
	a.directory = newDirectory(p.NewRank, settings.UpstreamAddress, address, p.Store, spec, log)
	a.speedPublisher = newSpeedPublisher(p.Store, settings.UpstreamAddress, a.directory.speed, log)
	leaseStore := newLeaseStore(p.Store, mirror, clock, a.directory.Assignment, log)
	leaseStore.announcement = engines.announcement
	a.host = burdockrank.NewHost(burdockid.Upstream(settings.UpstreamAddress), burdockrank.Deps{
		Clock: clock, EngineFor: a.directory.engine, RemoteEngine: a.directory.remote, Store: leaseStore,
		Directory: a.directory, Peers: burdocktransport.NewPeers(nil), Log: log, Tuning: tuning(settings.LinkMbps),
		InitialMap: func(ranks int) (burdockid.MapVersion, []byte, error) {
			content, err := initialMapContent(spec(), ranks)
			return initialMap, content, err
		},
	})
	config := burdockfollow.New(burdockfollow.TopicConfig, p.Records, site, clock, log)
	engines.poller = burdockkv.NewPoller(p.Store, p.Records.Prefix(burdockfollow.TopicConfig), config, configPollInterval, func() bool { return spec() != nil }, log)
	a.readers = []storeReader{
		engines,
		newLeaseReader(p.Store, leaseStore, settings.StoreHistoryMillis, clock, log),
	}
	mux := http.NewServeMux()
	mux.Handle(burdockwire.NewGroupServiceHandler(a.host, burdocktransport.HandlerOptions(maxHeader, maxHeader)...))
	if sharesRoom(settings) {
		mux.Handle(newRoomServer(a.host.HeldLease, clock, p.metrics(), log).handler())
	}
	a.peers, a.admin = newServer(mux), newServer(adminHandler(p.metrics(), nil))
	err := listenAll(log, p.metrics(),
		endpoint{name: "peers", server: a.peers, address: address},
		endpoint{name: "admin", server: a.admin, address: net.JoinHostPort(settings.IP, strconv.Itoa(settings.AdminPort))})
	if err != nil {
		return nil, err
	}
	for _, r := range a.readers {
		r.Start()
	}
	a.directory.start()
	a.speedPublisher.start()
	a.host.Start()
	log.Info("agent started", zap.String("vm", string(settings.VM)), zap.String("upstream", settings.UpstreamAddress))
	return a, nil
}

// Stop implements Process.
func (a *agent) Stop() {
	a.log.Info("stopping")
	a.host.Close()
	a.speedPublisher.close()
	a.directory.close()
	for _, r := range a.readers {
		r.Close()
	}
	a.log.Info("stopped")
}
