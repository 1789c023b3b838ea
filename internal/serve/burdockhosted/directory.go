package burdockhosted

import (
	"context"
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
	// prefixOwn is that of all keys that the system writes itself.
	prefixOwn = "burdock/"
	// prefixRank is that of the keys that tell where the agent of a rank is.
	prefixRank = prefixOwn + "rank/"
	// epochMark stands between a group's name and its epoch in the name of a
	// seat's group. Each epoch is a group of its own to the machines: nothing
	// that was known, ordered or leased in one holds in the next.
	epochMark = "@"
	// reportEvery is how often an agent asks its engine in which group it is.
	// A group that was formed anew runs with its first map for as long.
	reportEvery = 150 * time.Millisecond
	// remoteLag is the age of what an engine tells another VM, and a little more.
	remoteLag = 230 * time.Millisecond
	// loadWait covers the copies of one change, and is well before an order is sent
	// again.
	loadWait = 200 * time.Millisecond
	// listAgain is the least time between two readings of all addresses.
	listAgain = 500 * time.Millisecond
	// publishAgain is the wait before an address is written again without an
	// answer.
	publishAgain = time.Second
)

// place is where a rank is reached.
type place struct {
	agent  string // IP:port of its agent
	engine string // IP:port of its engine
}

// directory tells the seat by the engine's own report, and the other agents by
// the keys that each writes for itself. It implements burdockrank.Directory.
type directory struct {
	rank    Rank
	ranks   func(address string) Rank
	address string // of this agent, for its peers
	replica string // address of the engine
	store   burdockkv.Store
	spec    func() *burdocksite.Engine
	log     *zap.Logger
	speed   *ownSpeed // of the engine

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu          sync.Mutex
	seat        burdockrank.Assignment
	published   string // the key that holds this agent's address
	publishedAt time.Time
	places      map[string]place // by key, as last listed
	listedAt    time.Time
}

func newDirectory(ranks func(address string) Rank, replica, address string, store burdockkv.Store, spec func() *burdocksite.Engine, log *zap.Logger) *directory {
	ctx, cancel := context.WithCancel(context.Background())
	return &directory{rank: ranks(replica), ranks: ranks, replica: replica, address: address, store: store, spec: spec, log: log, speed: newOwnSpeed(log), ctx: ctx, cancel: cancel}
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
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-ticker.C:
			d.look()
		}
	}
}

// look asks the engine where it is. An engine that doesn't answer may be slow;
// its seat stands until it says otherwise, as orders to it fail by themselves.
func (d *directory) look() {
	report, err := d.rank.Report(d.ctx)
	if err != nil {
		return
	}
	d.speed.saw(report)
	seat := burdockrank.Assignment{}
	if report.Open && report.Ranks > 1 && d.spec() != nil && d.spec().Layers > 0 {
		seat = burdockrank.Assignment{
			Group: report.Group + epochMark + strconv.FormatInt(report.Epoch, 10),
			Rank:  report.Rank, Ranks: report.Ranks,
		}
	}
	d.sit(seat)
	if report.Group != "" {
		d.publish(rankKey(report.Group, report.Rank))
	}
}

func (d *directory) sit(seat burdockrank.Assignment) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if seat != d.seat {
		d.log.Info("seat", zap.String("group", seat.Group), zap.Int("rank", int(seat.Rank)), zap.Int("ranks", seat.Ranks),
			zap.String("before", d.seat.Group))
		d.seat = seat
	}
}

func rankKey(group string, rank burdockid.Rank) string {
	return prefixRank + group + "/" + strconv.Itoa(int(rank))
}

// publish writes this agent's address where its peers look, once in a life.
func (d *directory) publish(key string) {
	if d.published == key || time.Since(d.publishedAt) < publishAgain {
		return
	}
	d.publishedAt = time.Now()
	if _, err := d.store.Write(d.ctx, nil, []burdockkv.Put{{Key: key, Value: []byte(d.address + " " + d.replica)}}); err != nil {
		d.log.Warn("the agent's address was not written", zap.String("key", key), zap.Error(err))
		return
	}
	d.published = key
}

// Refresh implements burdockrank.Directory.
//
// Load: as many agents as ranks, each of which writes its address as it starts.
// Harm prevented: if all watched these keys, that would be a call for each pair
// of them. Only who has to reach the others reads their addresses, once it
// misses one.
func (d *directory) Refresh(group string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Since(d.listedAt) < listAgain || d.ctx.Err() != nil {
		return
	}
	d.listedAt = time.Now()
	d.done.Add(1)
	go listing{d, group}.run()
}

// Reload implements burdockrank.Directory.
func (d *directory) Reload(ctx context.Context, group string) {
	ctx, cancel := context.WithTimeout(ctx, listAgain)
	defer cancel()
	d.mu.Lock()
	d.listedAt = time.Now()
	d.mu.Unlock()
	listing{d, group}.read(ctx)
}

// listing reads the addresses of a group's agents.
type listing struct {
	directory *directory
	group     string
}

func (l listing) run() {
	defer l.directory.done.Done()
	l.read(l.directory.ctx)
}

func (l listing) read(ctx context.Context) {
	d := l.directory
	name, _, _ := strings.Cut(l.group, epochMark)
	items, _, err := d.store.List(ctx, prefixRank+name+"/")
	if err != nil {
		d.log.Warn("the agents' addresses were not read", zap.String("group", name), zap.Error(err))
		return
	}
	places := map[string]place{}
	for _, item := range items {
		agent, engine, _ := strings.Cut(string(item.Value), " ")
		places[item.Key] = place{agent: agent, engine: engine}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.places = places
}

// Assignment implements burdockrank.Directory.
func (d *directory) Assignment() burdockrank.Assignment {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.seat
}

// Agent implements burdockrank.Directory.
func (d *directory) Agent(group string, rank burdockid.Rank) string {
	name, _, _ := strings.Cut(group, epochMark)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.places[rankKey(name, rank)].agent
}

// remote returns the engine of another rank of a group, as it is ordered from
// this VM.
func (d *directory) remote(group string, rank burdockid.Rank) burdockengine.GroupEngine {
	name, _, _ := strings.Cut(group, epochMark)
	d.mu.Lock()
	address := d.places[rankKey(name, rank)].engine
	d.mu.Unlock()
	if address == "" {
		return nil
	}
	return &engine{rank: d.ranks(address), spec: d.spec, epoch: d.epochOf(group), lag: remoteLag, speed: newOwnSpeed(d.log)}
}

// engine returns the engine of a seat.
func (d *directory) engine(seat burdockrank.Assignment) burdockengine.GroupEngine {
	return &engine{rank: d.rank, spec: d.spec, epoch: d.epochOf(seat.Group), speed: d.speed, loadWait: loadWait}
}

func (d *directory) epochOf(group string) int64 {
	_, epoch, _ := strings.Cut(group, epochMark)
	n, err := strconv.ParseInt(epoch, 10, 64)
	if err != nil {
		d.log.Error("a seat without an epoch", zap.String("group", group))
	}
	return n
}

// Experts implements burdockrank.Directory.
func (d *directory) Experts() burdockprofile.Experts {
	return burdockprofile.Experts{SkewWeight: skewWeight, CostWeight: costWeight, HoldMillis: expectedHold}
}
