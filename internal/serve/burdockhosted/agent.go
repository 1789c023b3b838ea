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
	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// How a group on the platform follows its popularity. Popularity turns within
// seconds there, and engines copy experts from each other within tenths of one.
const (
	// skewWeight and costWeight weigh time lost to uneven ranks against time
	// spent copying. Ranks copy beside each other while the group runs, at
	// passes 15 in 100 longer: a copy by one of some tens of ranks costs far
	// less than its own time.
	skewWeight = 1.0
	costWeight = 0.08
	// expectedHold is how long a turn of popularity is expected to last.
	expectedHold = 3 * burdockclock.Second
	// popularityHalfLife is some windows, so that what single prompts ask for
	// averages out; a swap is seen by itself.
	popularityHalfLife burdockclock.Millis = 1500
	countsEvery        burdockclock.Millis = 80
	// leastRankLoads and layersPerLoad keep the copying of one change to some
	// tenths of a second, a tenth for each load; what is left to gain follows
	// with the next.
	leastRankLoads = 1
	layersPerLoad  = 3
	// countsRanks are enough to tell a turn from chance, and few enough to be
	// asked that often.
	countsRanks = 16
	// configEvery is how often an agent looks for another shape of its engine.
	configEvery = 40 * burdockclock.Second
	// changeGap is the least time between two changes.
	changeGap burdockclock.Millis = 100
	tick      burdockclock.Millis = 25
	// leaseTTL is how long a group may stand when its controller dies in a
	// change; renewals cost a tenth of a call.
	leaseTTL     = 1500 * burdockclock.Millis(1)
	leaseEvery   = 400 * burdockclock.Millis(1)
	leaseStagger = 1 * burdockclock.Millis(1)
	// leaseLook is how often an agent looks whether it is its turn to try for the
	// lease, which costs no call.
	leaseLook = 50 * burdockclock.Millis(1)
	// leaseOutage outlasts outages of the store, which last some seconds. Beyond
	// it a group keeps the map that it has.
	leaseOutage = 30 * burdockclock.Second
	// groupPoll finds what nobody noticed, such as a hold that came late.
	groupPoll = burdockclock.Second
	// orderRetry is when an unanswered order is sent again until rounds have been
	// seen, and at the latest; leastRetry is the least, some round trips and looks
	// at the time.
	orderRetry = 250 * burdockclock.Millis(1)
	leastRetry = 75 * burdockclock.Millis(1)
	// loadRetry outlasts the wait of an agent for its engine's load.
	loadRetry = 600 * burdockclock.Millis(1)
	// passPoll is how often it is looked whether the step of a change is past;
	// until then no other change can be begun.
	passPoll = 20 * burdockclock.Millis(1)
	// loadPoll is for loads that outlast the wait for their end.
	loadPoll = 40 * burdockclock.Millis(1)
	// changeLead is the rest of one pass and one more. Passes last twice as long
	// until a map that popularity has outgrown is replaced, so each one that a
	// change waits is such a pass; more are taken where the rounds of orders need
	// them.
	changeLead    burdockid.Step = 1
	changeLeadMax burdockid.Step = 8
	// armPatience is how long a group may stand for a rank that doesn't answer,
	// beside the time in which its order is sent again.
	armPatience = 250 * burdockclock.Millis(1)
	// armBudget is several times what the rounds of a change take, and mostArmBudget
	// what a lease that is renewed in time still has.
	armBudget     = 500 * burdockclock.Millis(1)
	mostArmBudget = 900 * burdockclock.Millis(1)
	// bytesPerMegabit of a link for each millisecond.
	bytesPerMegabit = 125
)

func rankLoads(layers int) int { return max(leastRankLoads, layers/layersPerLoad) }

// pace returns how a group follows its popularity from a VM whose link carries so
// many megabits a second; 0 if that is not known.
func pace(linkMbps float64) burdockrank.Tuning {
	return burdockrank.Tuning{
		HalfLife: popularityHalfLife, CountsInterval: countsEvery, SampledRanks: countsRanks, PlanOnUnconfirmedShift: true, MaxRankLoads: rankLoads, MinChangeInterval: changeGap, TickInterval: tick,
		LeaseTTL: leaseTTL, LeaseRenewInterval: leaseEvery, MaxStoreOutage: leaseOutage, LeaseStagger: leaseStagger, LeaseRetryInterval: leaseLook,
		WatchInterval: burdockclock.Second, LinkBytesPerMilli: linkMbps * bytesPerMegabit,
		AdjustController: func(cfg *burdockgroup.ControllerConfig) {
			cfg.Poll, cfg.ArmBudget, cfg.MaxArmBudget = groupPoll, armBudget, mostArmBudget
			cfg.ArmTimeout = armPatience
			cfg.Retry, cfg.MinRetry, cfg.LoadRetry = orderRetry, leastRetry, loadRetry
			cfg.SwitchPoll, cfg.LoadPoll = passPoll, loadPoll
			cfg.SwitchLead, cfg.MaxSwitchLead, cfg.MinimizeLead = changeLead, changeLeadMax, true
		},
	}
}

// reader reads a part of the store.
type reader interface {
	Start()
	Close()
}

type agent struct {
	log       *zap.Logger
	host      *burdockrank.Host
	directory *directory
	announcer *announcer
	readers   []reader
	peers     *http.Server
	admin     *http.Server
}

// StartAgent starts the agent beside an upstream.
func StartAgent(settings burdocksettings.Hosted, p Platform, log *zap.Logger) (Process, error) {
	clock := burdockclock.System()
	site := burdocksite.New()
	mirror := burdockkv.NewMirror()
	spec := func() *burdocksite.Engine {
		cfg := site.Now().Config
		if cfg == nil {
			return nil
		}
		return cfg.Services[settings.UpstreamService].Engine
	}
	address := net.JoinHostPort(settings.IP, strconv.Itoa(settings.PeerPort))
	a := &agent{log: log}
	a.directory = newDirectory(p.NewRank, settings.UpstreamAddress, address, p.Store, spec, log)
	a.announcer = newAnnouncer(p.Store, settings.UpstreamAddress, a.directory.speed, log)
	leases := newLeases(p.Store, mirror, clock, a.directory.Assignment, log)
	a.host = burdockrank.NewHost(burdockid.Upstream(settings.UpstreamAddress), burdockrank.Deps{
		Clock: clock, EngineFor: a.directory.engine, RemoteEngine: a.directory.remote, Store: leases,
		Directory: a.directory, Peers: burdocktransport.NewPeers(nil), Log: log, Tuning: pace(settings.LinkMbps),
		InitialMap: func(ranks int) (burdockid.MapVersion, []byte, error) {
			content, err := firstContent(spec(), ranks)
			return firstMap, content, err
		},
	})
	config := burdockfollow.New(burdockfollow.TopicConfig, p.Records, site, clock, log)
	a.readers = []reader{
		burdockkv.NewPoller(p.Store, p.Records.Prefix(burdockfollow.TopicConfig), config, configEvery, func() bool { return spec() != nil }, log),
		burdockkv.NewFollower(p.Store, burdockkv.Watching{Prefix: prefixLease, History: settings.StoreHistoryMillis, Gap: leases.watchGap}, mirror, clock, log),
	}
	mux := http.NewServeMux()
	mux.Handle(burdockwire.NewGroupServiceHandler(a.host, burdocktransport.HandlerOptions(maxHeader, maxHeader)...))
	a.peers, a.admin = newServer(mux), newServer(adminHandler(metrics.NewSet(), nil))
	err := listenAll(log,
		listening{a.peers, address},
		listening{a.admin, net.JoinHostPort(settings.IP, strconv.Itoa(settings.AdminPort))})
	if err != nil {
		return nil, err
	}
	for _, r := range a.readers {
		r.Start()
	}
	a.directory.start()
	a.announcer.start()
	a.host.Start()
	log.Info("agent started", zap.String("vm", string(settings.VM)), zap.String("upstream", settings.UpstreamAddress))
	return a, nil
}

// Stop implements Process.
func (a *agent) Stop() {
	a.log.Info("stopping")
	a.host.Close()
	a.announcer.close()
	a.directory.close()
	for _, r := range a.readers {
		r.Close()
	}
	a.log.Info("stopped")
}
