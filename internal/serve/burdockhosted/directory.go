package burdockhosted

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/config/burdockprofile"
	"burdockbend.example/burdockbend/internal/external/burdockengine"
	"burdockbend.example/burdockbend/internal/serve/burdockrank"
	"burdockbend.example/burdockbend/internal/state/burdockkv"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
	"go.uber.org/zap"
)

const (
	// prefixSystem is the prefix of all keys that are written by burdockbend itself.
	prefixSystem = "burdock/"
	// prefixRank is the prefix of the keys that hold the addresses of a rank's agent and
	// engine.
	prefixRank = prefixSystem + "rank/"
	// epochSeparator separates the group's name and its epoch in the group name of a rank
	// assignment. Each epoch is a separate group to burdockgroup: state, orders and
	// leases of one epoch do not apply to the next.
	epochSeparator = "@"
	// reportInterval is how often an agent polls its engine for its group. A group that
	// was formed again runs with the initial map for up to this long.
	reportInterval = 150 * time.Millisecond
	// remoteReportLag is slightly more than the age of the reports that an engine gives
	// to other VMs.
	remoteReportLag = 230 * time.Millisecond
	// loadWait covers the copies of one change and is well below the retry delay of an
	// order.
	loadWait = 200 * time.Millisecond
	// minListInterval is the minimum time between two listings of all addresses.
	minListInterval = 500 * time.Millisecond
	// verifySpread is the time over which the agents verify their records after the store
	// was restored.
	verifySpread = 4 * time.Second
	// addressRetryDelay is the delay before an address is written again after a failed
	// write.
	addressRetryDelay = time.Second
)

// rankAddresses holds the addresses of the two processes of a rank.
type rankAddresses struct {
	agent  string // IP:port
	engine string // IP:port
}

// directory reads this agent's rank assignment from the engine's reports, and the
// addresses of the other agents from the keys that each agent writes. It implements
// burdockrank.Directory.
type directory struct {
	rank          Rank
	newRank       func(address string) Rank
	address       string // of this agent, given to its peers
	engineAddress string // of this agent's engine
	store         burdockkv.Store
	spec          func() *burdocksite.Engine
	log           *zap.Logger
	speed         *engineSpeed // of this agent's engine

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu           sync.Mutex
	assignment   burdockrank.Assignment
	publishedKey string // key that holds this agent's address; empty before the first write
	// publishedEra is the store's era in which the record is known to exist.
	publishedEra   burdockkv.Era
	publishTriedAt time.Time
	// verifyAt is when the record is looked for after the store was restored.
	verifyAt  time.Time
	addresses map[string]rankAddresses // by key, as last listed
	listedAt  time.Time
}

func newDirectory(newRank func(address string) Rank, engineAddress, address string, store burdockkv.Store, spec func() *burdocksite.Engine, log *zap.Logger) *directory {
	ctx, cancel := context.WithCancel(context.Background())
	return &directory{rank: newRank(engineAddress), newRank: newRank, engineAddress: engineAddress, address: address, store: store, spec: spec, log: log, speed: newEngineSpeed(log), ctx: ctx, cancel: cancel}
}

func (d *directory) start() {
	d.done.Add(1)
	go d.loop()
}

func (d *directory) close() {
	d.cancel()
	d.done.Wait()
}

func (d *directory) loop() {
	defer d.done.Done()
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-ticker.C:
			d.poll()
		}
	}
}

// poll reads the engine's report and updates the rank assignment. If the engine does not
// answer, it may only be slow: the assignment stays, and orders to the engine fail on
// their own.
func (d *directory) poll() {
	report, err := d.rank.Report(d.ctx)
	if err != nil {
		return
	}
	d.speed.observe(report)
	assignment := burdockrank.Assignment{}
	if report.Open && report.Ranks > 1 && d.spec() != nil && d.spec().Layers > 0 {
		assignment = burdockrank.Assignment{
			Group: report.Group + epochSeparator + strconv.FormatInt(report.Epoch, 10),
			Rank:  report.Rank, Ranks: report.Ranks,
		}
	}
	d.setAssignment(assignment)
	if report.Group != "" {
		d.publish(rankKey(report.Group, report.Rank))
	}
}

func (d *directory) setAssignment(assignment burdockrank.Assignment) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if assignment != d.assignment {
		d.log.Info("seat", zap.String("group", assignment.Group), zap.Int("rank", int(assignment.Rank)), zap.Int("ranks", assignment.Ranks),
			zap.String("before", d.assignment.Group))
		d.assignment = assignment
	}
}

func rankKey(group string, rank burdockid.Rank) string {
	return prefixRank + group + "/" + strconv.Itoa(int(rank))
}

// publish writes this agent's address under its rank's key, unless this process has done
// so already.
func (d *directory) publish(key string) {
	switch {
	case d.publishedKey != key:
		if time.Since(d.publishTriedAt) >= addressRetryDelay {
			d.publishTriedAt = time.Now()
			d.verifyAddress(key, burdockkv.ReadStale)
		}
	case d.publishedEra == d.store.Era():
	case d.verifyAt.IsZero():
		// All agents of a fleet notice at the same moment that the store was restored.
		d.verifyAt = time.Now().Add(rand.N(verifySpread))
	case !time.Now().Before(d.verifyAt):
		d.verifyAt = time.Time{}
		d.verifyAddress(key, burdockkv.ReadLatest)
	}
}

// value returns the record of this agent's address.
func (d *directory) value() string { return d.address + " " + d.engineAddress }

func (d *directory) writeAddress(key string) {
	at, err := d.store.Write(d.ctx, nil, []burdockkv.Put{{Key: key, Value: []byte(d.value())}})
	if err != nil {
		d.log.Warn("failed to write the agent's address", zap.String("key", key), zap.Error(err))
		return
	}
	d.publishedKey, d.publishedEra = key, at.Era
}

// verifyAddress writes the agent's address unless the store has it.
//
// When all VMs start again after a power cut, the records are those of before. Writing them
// again would cost the store a write by each agent, and each entry the reading of all of
// them, at the moment at which the entries read the new upstreams.
func (d *directory) verifyAddress(key string, read burdockkv.Read) {
	items, at, err := d.store.List(d.ctx, key, read)
	if err != nil {
		return // tried again later
	}
	for _, item := range items {
		if item.Key == key && string(item.Value) == d.value() {
			d.publishedKey, d.publishedEra = key, at.Era
			return
		}
	}
	d.writeAddress(key)
}

// Refresh implements burdockrank.Directory.
//
// A group has as many agents as ranks, and each writes its address when it starts. If all
// of them watched these keys, that would cost a call per pair of agents. So an agent
// lists the addresses only when it needs one that it does not have.
func (d *directory) Refresh(group string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Since(d.listedAt) < minListInterval || d.ctx.Err() != nil {
		return
	}
	d.listedAt = time.Now()
	d.done.Add(1)
	go addressReader{d, group}.run()
}

// Reload implements burdockrank.Directory.
func (d *directory) Reload(ctx context.Context, group string) {
	ctx, cancel := context.WithTimeout(ctx, minListInterval)
	defer cancel()
	d.mu.Lock()
	d.listedAt = time.Now()
	d.mu.Unlock()
	addressReader{d, group}.read(ctx)
}

// addressReader lists the addresses of a group's agents and engines.
type addressReader struct {
	directory *directory
	group     string
}

func (r addressReader) run() {
	defer r.directory.done.Done()
	r.read(r.directory.ctx)
}

func (r addressReader) read(ctx context.Context) {
	d := r.directory
	name, _, _ := strings.Cut(r.group, epochSeparator)
	items, _, err := d.store.List(ctx, prefixRank+name+"/", burdockkv.ReadLatest)
	if err != nil {
		d.log.Warn("failed to list the agents' addresses", zap.String("group", name), zap.Error(err))
		return
	}
	addresses := map[string]rankAddresses{}
	for _, item := range items {
		agent, engine, _ := strings.Cut(string(item.Value), " ")
		addresses[item.Key] = rankAddresses{agent: agent, engine: engine}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addresses = addresses
}

// Assignment implements burdockrank.Directory.
func (d *directory) Assignment() burdockrank.Assignment {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.assignment
}

// Agent implements burdockrank.Directory.
func (d *directory) Agent(group string, rank burdockid.Rank) string {
	name, _, _ := strings.Cut(group, epochSeparator)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addresses[rankKey(name, rank)].agent
}

// remote returns the engine of another rank, controlled from this VM; nil if its address
// is not known.
func (d *directory) remote(group string, rank burdockid.Rank) burdockengine.GroupEngine {
	name, _, _ := strings.Cut(group, epochSeparator)
	d.mu.Lock()
	address := d.addresses[rankKey(name, rank)].engine
	d.mu.Unlock()
	if address == "" {
		return nil
	}
	return &engine{rank: d.newRank(address), spec: d.spec, epoch: d.epochOf(group), reportLag: remoteReportLag, speed: newEngineSpeed(d.log)}
}

// engine returns the engine for this agent's own rank assignment.
func (d *directory) engine(assignment burdockrank.Assignment) burdockengine.GroupEngine {
	return &engine{rank: d.rank, spec: d.spec, epoch: d.epochOf(assignment.Group), speed: d.speed, loadWait: loadWait}
}

func (d *directory) epochOf(group string) int64 {
	_, epoch, _ := strings.Cut(group, epochSeparator)
	n, err := strconv.ParseInt(epoch, 10, 64)
	if err != nil {
		d.log.Error("rank assignment without an epoch", zap.String("group", group))
	}
	return n
}

// Experts implements burdockrank.Directory.
func (d *directory) Experts() burdockprofile.Experts {
	return burdockprofile.Experts{SkewWeight: skewWeight, CostWeight: costWeight, HoldMillis: expectedShiftDuration}
}
