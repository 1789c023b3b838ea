package burdockhosted

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/serve/burdockrank"
	"burdockbend.example/burdockbend/internal/state/burdockfollow"
	"burdockbend.example/burdockbend/internal/state/burdockkv"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
	"go.uber.org/zap"
)

var fleetSizes = flag.String("fleet", "60,250", "numbers of VMs of the fleets that TestStoreCallsOfFleet plays")

const (
	// fleetEntryShare is the share of a fleet's VMs that run an entry; the others run an
	// agent.
	fleetEntryShare = 0.22
	fleetGroupRanks = 192
	fleetHistory    = 20 * burdockclock.Second
)

// fleet runs the parts of many processes that call the store.
type fleet struct {
	store   *fleetStore
	entries int
	agents  int
	stops   []func()
}

func newFleet(vms int) *fleet {
	entries := max(int(fleetEntryShare*float64(vms)), 1)
	return &fleet{store: newFleetStore(), entries: entries, agents: vms - entries}
}

// fleetDecoder decodes the records of a fleet's upstreams and its configuration.
type fleetDecoder struct{}

func (fleetDecoder) Prefix(topic burdockfollow.Topic) string {
	if topic == burdockfollow.TopicConfig {
		return "op/"
	}
	return "servers/"
}

func (fleetDecoder) Decode(item burdockkv.Item) burdockfollow.Change {
	id, isUpstream := strings.CutPrefix(item.Key, "servers/")
	switch {
	case !isUpstream:
		version, _ := strconv.Atoi(string(item.Value))
		return burdockfollow.ConfigWritten{Config: burdocksite.Config{Version: burdockid.Version(version)}}
	case item.Deleted:
		return burdockfollow.UpstreamGone{ID: burdockid.Upstream(id)}
	}
	return burdockfollow.UpstreamWritten{Upstream: burdocksite.Upstream{ID: burdockid.Upstream(id), Service: "s", Address: id, Leaving: string(item.Value) == "leaving"}}
}

func (f *fleet) writeConfig(version int) {
	f.store.write(burdockkv.Item{Key: "op/config", Value: []byte(strconv.Itoa(version))})
}

func (f *fleet) writeUpstream(generation, i int, value string) {
	f.store.write(burdockkv.Item{Key: fmt.Sprintf("servers/%d-%d", generation, i), Value: []byte(value)})
}

// start starts all processes and registers all upstreams, within a second.
func (f *fleet) start(generation int) {
	for range f.entries {
		f.startEntry()
	}
	for i := range f.agents {
		f.startAgent(i, generation)
	}
	for i := range f.agents {
		f.writeUpstream(generation, i, "up")
		time.Sleep(time.Second / time.Duration(f.agents))
	}
}

// powerOff stops all processes at once, and removes the records of their upstreams a
// while later.
func (f *fleet) powerOff(generation int) {
	for _, stop := range f.stops {
		stop()
	}
	f.stops = nil
	for i := range f.agents {
		f.store.write(burdockkv.Item{Key: fmt.Sprintf("servers/%d-%d", generation, i), Deleted: true})
	}
}

func (f *fleet) startEntry() {
	clock, log, site := burdockclock.Wall(), zap.NewNop(), burdocksite.New()
	routes := []burdockkv.Route{{Prefix: prefixNotifications, Sink: burdockkv.NewMirror()}, {Prefix: prefixRank, Sink: burdockkv.NewMirror()}}
	for _, topic := range burdockfollow.Topics() {
		routes = append(routes, burdockkv.Route{Prefix: fleetDecoder{}.Prefix(topic), Sink: burdockfollow.New(topic, fleetDecoder{}, site, clock, log)})
	}
	follower := burdockkv.NewRoutedFollower(f.store, burdockkv.WatchOptions{History: fleetHistory}, routes, clock, log)
	follower.Start()
	f.stops = append(f.stops, follower.Close)
}

func (f *fleet) startAgent(i, epoch int) {
	group := fmt.Sprintf("g%d%s%d", i/fleetGroupRanks, epochSeparator, epoch)
	assignment := burdockrank.Assignment{
		Group: group, Rank: burdockid.Rank(i % fleetGroupRanks),
		Ranks: min(fleetGroupRanks, f.agents-i/fleetGroupRanks*fleetGroupRanks),
	}
	clock, log := burdockclock.Wall(), zap.NewNop()
	leases := newLeaseStore(f.store, burdockkv.NewMirror(), clock, func() burdockrank.Assignment { return assignment }, log)
	config := burdockkv.NewMirror()
	configured := func() bool { return len(config.Items()) > 0 }
	poller := burdockkv.NewPoller(f.store, "op/", config, configPollInterval, configured, log)
	reader := newLeaseReader(f.store, leases, fleetHistory, clock, log)
	ctx, cancel := context.WithCancel(context.Background())
	keeper := &fleetKeeper{fleet: f, ctx: ctx, leases: leases, assignment: assignment}
	poller.Start()
	reader.Start()
	go keeper.run()
	f.stops = append(f.stops, func() {
		cancel()
		poller.Close()
		reader.Close()
	})
}

// fleetKeeper calls the store as the parts of an agent do that write its address, read the
// fencing number and acquire the lease.
type fleetKeeper struct {
	fleet      *fleet
	ctx        context.Context
	leases     *leaseStore
	assignment burdockrank.Assignment
}

func (k *fleetKeeper) run() {
	group, _, _ := strings.Cut(k.assignment.Group, epochSeparator)
	key := rankKey(group, k.assignment.Rank)
	d := newDirectory(func(string) Rank { return nil }, "engine", "agent", k.fleet.store, nil, zap.NewNop())
	d.publish(key)
	name := burdockrank.LeaseName(k.assignment.Group)
	_, _ = k.leases.Fence(k.ctx, name)
	for k.ctx.Err() == nil {
		interval := leaseRetryInterval
		if _, err := k.leases.Acquire(k.ctx, name, key, leaseTTL); err == nil {
			interval = leaseRenewInterval
		}
		sleep(k.ctx, interval.Duration())
	}
}

// fleetCost is what a scenario costs the store.
type fleetCost struct {
	vms       int
	calls     int // whole calls
	perSecond int // most calls in a second
	byCall    string
}

func (c fleetCost) perVM() float64 { return float64(c.calls) / float64(c.vms) }

// playFleet plays a scenario with a fleet in simulated time and returns its cost.
func playFleet(t *testing.T, vms int, scenario func(*fleet)) (cost fleetCost) {
	synctest.Test(t, func(*testing.T) {
		f := newFleet(vms)
		scenario(f)
		cost = fleetCost{vms: vms, calls: f.store.calls(), perSecond: f.store.maxPerSecond(), byCall: f.store.costs()}
		for _, stop := range f.stops {
			stop()
		}
		time.Sleep(burdockclock.Minute.Duration()) // leases and timers end
	})
	return cost
}

// quietMinute starts a fleet; the operators change the configuration, and an upstream
// leaves.
func quietMinute(f *fleet) {
	f.start(1)
	time.Sleep(20 * time.Second)
	f.writeConfig(1)
	time.Sleep(15 * time.Second)
	f.writeUpstream(1, 0, "leaving")
	time.Sleep(10 * time.Second)
	f.writeConfig(2)
	time.Sleep(14 * time.Second)
}

// powerCut is a quiet minute, after which all VMs lose power for a second.
func powerCut(f *fleet) {
	quietMinute(f)
	f.powerOff(1)
	time.Sleep(time.Second)
	f.start(2)
	time.Sleep(15 * time.Second)
}

// storeRate is the number of calls a second that the store of a large fleet accepts.
const storeRate = 16_000

// The calls to the store must grow with the processes alone. If each process made a call
// for each upstream that comes or goes, or all agents of a group for each change of its
// lease, a fleet of four times the size would cost sixteen times as much.
func TestStoreCallsOfFleet(t *testing.T) {
	scenarios := []struct {
		name      string
		play      func(*fleet)
		maxPerVM  float64 // calls
		maxGrowth float64 // of the calls of a VM, from the smallest fleet to the largest
	}{
		{"quiet minute", quietMinute, 9, 1.15},
		{"power cut", powerCut, 16, 1.15},
	}
	for _, scenario := range scenarios {
		var first fleetCost
		for i, text := range strings.Split(*fleetSizes, ",") {
			vms, err := strconv.Atoi(text)
			if err != nil {
				t.Fatal(err)
			}
			cost := playFleet(t, vms, scenario.play)
			t.Logf("%s, %d VMs: %d calls, %.2f for each VM, at most %d a second: %s", scenario.name, vms, cost.calls, cost.perVM(), cost.perSecond, cost.byCall)
			if i == 0 {
				first = cost
			}
			if got, limit := cost.perVM(), scenario.maxPerVM; got > limit {
				t.Errorf("%s, %d VMs: got %.1f calls for each VM, want %.1f at most", scenario.name, vms, got, limit)
			}
			if got, limit := cost.perVM()/first.perVM(), scenario.maxGrowth; got > limit {
				t.Errorf("%s, %d VMs: calls for each VM grew %.2f times, want %.2f at most", scenario.name, vms, got, limit)
			}
			if got, limit := cost.perSecond, storeRate/3; got > limit {
				t.Errorf("%s, %d VMs: got %d calls in a second, want %d at most", scenario.name, vms, got, limit)
			}
		}
	}
}
