package burdockagent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/config/burdockmember"
	"burdockbend.example/burdockbend/internal/decide/burdockledger"
	"burdockbend.example/burdockbend/internal/external/burdockengine"
	"burdockbend.example/burdockbend/internal/external/burdockstore"
	"burdockbend.example/burdockbend/internal/standin/burdockfakestore"
	"burdockbend.example/burdockbend/internal/standin/burdockfault"
	"burdockbend.example/burdockbend/internal/state/burdockconfig"
	"burdockbend.example/burdockbend/internal/state/burdockfleet"
	"burdockbend.example/burdockbend/internal/state/burdocksync"
	"burdockbend.example/burdockbend/internal/wire/burdocktransport"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

const (
	historyService  burdockid.Service = "letters"
	historyCustomer                   = "composer"
	clusterSize                       = 3
	clusterStart                      = 1_800_000_000_000 * burdockclock.Millis(1)
	managePause                       = 20 * time.Millisecond
	maxDelayMillis                    = 200 // of a delayed message
)

// handoverMode states whether agents keep the records that are handed over to them.
type handoverMode bool

const (
	keepRecords handoverMode = true
	dropRecords handoverMode = false
)

// cluster is a set of agents that manage the slots of a service, in one process.
type cluster struct {
	t         *testing.T
	clock     *burdockclock.Manual
	store     *burdockfault.Injector
	address   string // of the store
	members   []*member
	handover  handoverMode
	random    *rand.Rand
	delayedMu sync.Mutex
	closing   bool // messages are no longer delayed
	delayed   sync.WaitGroup
	// calls is read-locked during each call, so that the clock jumps beyond the repeat
	// window only between calls.
	calls sync.RWMutex

	mu        sync.Mutex
	keys      [historyKeys]string
	firstUsed [historyKeys]burdockclock.Millis
	keyCount  int
}

// member is one upstream with its current agent process.
type member struct {
	cluster *cluster
	name    burdockid.Upstream
	server  *httptest.Server
	client  burdockwire.AgentServiceClient
	engine  *httptest.Server
	process atomic.Pointer[agentProcess]
}

// agentProcess is one run of an agent's process.
type agentProcess struct {
	agent   *Agent
	handler http.Handler
	view    *burdockconfig.View
	fleet   *burdockfleet.Fleet
	watcher *burdocksync.Watcher
	manager *KeySlotManager
	engine  *processEngine
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

// processEngine is an engine that can be reached until the agent's process is dead.
type processEngine struct {
	burdockengine.Engine
	dead atomic.Bool
}

// Do implements burdockengine.Engine.
func (e *processEngine) Do(ctx context.Context, call burdockengine.Call) (burdockengine.Answer, error) {
	if e.dead.Load() {
		return burdockengine.Answer{}, burdockengine.ErrNotSent.New("the process is dead")
	}
	return e.Engine.Do(ctx, call)
}

// keyEngine records each run in the history and answers with the number of the run.
type keyEngine struct {
	history *history
	mu      sync.Mutex
	random  *rand.Rand
}

// ServeHTTP implements http.Handler.
func (e *keyEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	run := e.history.recordRun(keyedCall{
		key: r.Header.Get("Idempotency-Key"), body: string(body), id: burdockid.Request(r.Header.Get(requestIDHeader)),
	})
	e.mu.Lock()
	pause, breaks := time.Duration(e.random.IntN(20))*time.Millisecond, e.random.IntN(10) == 0
	e.mu.Unlock()
	time.Sleep(pause)
	if breaks {
		panic(http.ErrAbortHandler)
	}
	answer, _ := json.Marshal(run)
	w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	_, _ = w.Write(answer)
}

func startCluster(t *testing.T, seed uint64, handover handoverMode, h *history) *cluster {
	t.Helper()
	c := &cluster{
		t: t, clock: burdockclock.NewManual(clusterStart), handover: handover,
		random: rand.New(rand.NewPCG(seed, 99)),
	}
	c.store = burdockfault.NewInjector(burdockfakestore.New(c.clock.Clock()))
	store := httptest.NewServer(c.store)
	t.Cleanup(store.Close)
	c.address = strings.TrimPrefix(store.URL, "http://")
	c.put("service/"+string(historyService), burdockmember.Service{Name: historyService, Kind: burdockmember.KindPlain})
	for i := range clusterSize {
		m := &member{cluster: c, name: burdockid.Upstream(fmt.Sprint("u-", i))}
		m.engine = httptest.NewServer(&keyEngine{history: h, random: rand.New(rand.NewPCG(seed, uint64(100+i)))})
		t.Cleanup(m.engine.Close)
		m.server = httptest.NewServer(m)
		t.Cleanup(m.server.Close)
		m.client = burdockwire.NewAgentServiceClient(m.server.Client(), m.server.URL)
		c.put("upstream/"+string(m.name), burdockmember.Upstream{
			Name: m.name, Service: historyService, VM: burdockid.VM(m.name), Agent: strings.TrimPrefix(m.server.URL, "http://"),
		})
		c.members = append(c.members, m)
	}
	for _, m := range c.members {
		m.start()
	}
	waitFor(t, "every slot has an owner", func() bool {
		c.clock.Advance(burdockclock.Second)
		return allSlotsOwned(c.members[0].fleet().Now().KeyOwners[historyService])
	})
	return c
}

// put writes one entity into the store.
func (c *cluster) put(key string, v any) {
	c.t.Helper()
	value, err := json.Marshal(v)
	if err != nil {
		c.t.Fatalf("encode %s: %v", key, err)
	}
	writer := burdocksync.NewWriter(burdockstore.NewHTTP([]string{c.address}))
	if _, err := writer.Write(context.Background(), burdocksync.Edit{Key: key, Value: value, AnyBase: true}); err != nil {
		c.t.Fatalf("write %s: %v", key, err)
	}
}

// key returns the i-th key that callers use now. A key is replaced by a new one after
// repeatPeriod. Every other key contains its creation time.
func (c *cluster) key(i int) string {
	now := c.clock.Clock().Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.keys[i] == "" || now-c.firstUsed[i] > repeatPeriod {
		c.keyCount++
		c.firstUsed[i] = now
		c.keys[i] = fmt.Sprint("letter ", c.keyCount)
		if i%2 == 0 {
			digits := fmt.Sprintf("%012x", int64(now))
			c.keys[i] = fmt.Sprintf("%s-%s-7abc-8def-%012x", digits[:8], digits[8:], c.keyCount)
		}
	}
	return c.keys[i]
}

// injectFaults injects faults until the context ends.
func (c *cluster) injectFaults(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(c.random.IntN(60)) * time.Millisecond)
		m := c.members[c.random.IntN(len(c.members))]
		switch c.random.IntN(10) {
		case 0:
			m.kill()
			m.start()
		case 1, 2:
			m.stop(ctx)
			m.start()
		case 3:
			c.store.Set(burdockfault.Setting{Mode: burdockfault.LostAnswer, Only: http.MethodPut})
			time.Sleep(20 * time.Millisecond)
			c.store.Set(burdockfault.Setting{})
		case 4, 5:
			c.calls.Lock()
			c.clock.Advance(burdockledger.RepeatWindow + burdockledger.MaxClockSkew + burdockclock.Second)
			c.calls.Unlock()
		default:
			c.clock.Advance(burdockclock.Millis(c.random.IntN(30)) * burdockclock.Second)
		}
	}
	c.store.Set(burdockfault.Setting{})
}

func (c *cluster) close() {
	c.delayedMu.Lock()
	c.closing = true
	c.delayedMu.Unlock()
	c.delayed.Wait()
	for _, m := range c.members {
		m.kill()
	}
}

func (m *member) fleet() *burdockfleet.Fleet { return m.process.Load().fleet }

// ServeHTTP passes a call to the current agent process.
func (m *member) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p := m.process.Load()
	if p == nil || p.engine.dead.Load() {
		panic(http.ErrAbortHandler)
	}
	p.handler.ServeHTTP(w, r)
}

// start starts a new agent process without any records.
func (m *member) start() {
	c := m.cluster
	p := &agentProcess{view: burdockconfig.NewView()}
	p.fleet = burdockfleet.Follow(p.view)
	p.engine = &processEngine{Engine: burdockengine.NewHTTP(strings.TrimPrefix(m.engine.URL, "http://"))}
	clock := c.clock.Clock()
	p.agent = New(Config{Upstream: m.name, VM: burdockid.VM(m.name), Service: historyService, Slots: 4}, Deps{
		Clock: clock, Engine: p.engine, Fleet: p.fleet, Verified: func() bool { return true },
		OnConfigDigest: func(burdockconfig.Digest) {}, Log: zap.NewNop(), Metrics: metrics.NewSet(),
		Random: rand.New(rand.NewPCG(1, 2)),
	})
	mux := http.NewServeMux()
	mux.Handle(burdockwire.NewAgentServiceHandler(&delayingHandler{Agent: p.agent, cluster: c, random: rand.New(rand.NewPCG(c.random.Uint64(), 3))}))
	p.handler = mux
	store := burdockstore.NewHTTP([]string{c.address})
	p.watcher = burdocksync.NewWatcher(store, p.view, burdocksync.NewSource(clock), clock, zap.NewNop())
	p.manager = NewKeySlotManager(p.agent, burdocksync.NewWriter(store), p.view, burdocktransport.NewPeers(nil))
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.agent.Start()
	p.watcher.Start()
	p.done.Add(1)
	m.process.Store(p)
	go p.loop(ctx)
}

// loop runs the slot manager more often than in production.
func (p *agentProcess) loop(ctx context.Context) {
	defer p.done.Done()
	for ctx.Err() == nil {
		p.manager.runOnce(ctx)
		time.Sleep(managePause)
	}
}

// kill ends a process at once: it neither sends nor answers anything any longer.
func (m *member) kill() {
	p := m.process.Load()
	p.engine.dead.Store(true)
	m.server.CloseClientConnections()
	p.cancel()
	p.done.Wait()
	p.watcher.Close()
	p.agent.Close()
}

// stop ends a process by a planned stop.
func (m *member) stop(ctx context.Context) {
	p := m.process.Load()
	p.agent.Drain()
	for ctx.Err() == nil && (!p.agent.Idle() || !p.manager.Released()) {
		time.Sleep(time.Millisecond)
	}
	m.kill()
}

// deliverLater delivers a message after its delay, unless the cluster is closing.
func (c *cluster) deliverLater(m *delayedMessage) {
	c.delayedMu.Lock()
	defer c.delayedMu.Unlock()
	if !c.closing {
		c.delayed.Add(1)
		go m.run()
	}
}

// delayingHandler is an agent that receives some messages of other agents late or twice.
type delayingHandler struct {
	*Agent
	cluster *cluster
	mu      sync.Mutex
	random  *rand.Rand
}

var errDelayed = errors.New("the message is delayed")

// TakeKeys implements burdockwire.AgentServiceHandler.
func (h *delayingHandler) TakeKeys(ctx context.Context, req *connect.Request[burdockwire.TakeKeysRequest]) (*connect.Response[burdockwire.TakeKeysResponse], error) {
	h.mu.Lock()
	delay, duplicate, after := h.random.IntN(6) == 0, h.random.IntN(6) == 0, time.Duration(h.random.IntN(maxDelayMillis))*time.Millisecond
	h.mu.Unlock()
	if h.cluster.handover == dropRecords {
		req.Msg.Lines = nil
	}
	if delay || duplicate {
		h.cluster.deliverLater(&delayedMessage{handler: h, req: req, after: after})
	}
	if delay {
		return nil, connect.NewError(connect.CodeUnavailable, errDelayed)
	}
	return h.Agent.TakeKeys(ctx, req)
}

type delayedMessage struct {
	handler *delayingHandler
	req     *connect.Request[burdockwire.TakeKeysRequest]
	after   time.Duration
}

func (m *delayedMessage) run() {
	defer m.handler.cluster.delayed.Done()
	time.Sleep(m.after)
	_, _ = m.handler.Agent.TakeKeys(context.Background(), m.req)
}
