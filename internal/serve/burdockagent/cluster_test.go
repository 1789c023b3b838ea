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
	homesPause                        = 20 * time.Millisecond
	lateMost                          = 200 // milliseconds
)

// handoverMemory says whether homes keep what is handed over to them.
type handoverMemory bool

const (
	faithful  handoverMemory = true
	forgetful handoverMemory = false
)

// cluster is several agents with their homes of keys, in one process.
type cluster struct {
	t       *testing.T
	clock   *burdockclock.Manual
	store   *burdockfault.Injector
	address string // of the store
	members []*member
	memory  handoverMemory
	random  *rand.Rand
	lateMu  sync.Mutex
	closing bool // no message is held up any more
	late    sync.WaitGroup
	// calls is held for reading during each call. A jump of the clock beyond the
	// repeat window waits for the calls before it.
	calls sync.RWMutex

	mu    sync.Mutex
	keys  [historyKeys]string
	first [historyKeys]burdockclock.Millis
	made  int
}

// member is one upstream, with the agent that is beside it now.
type member struct {
	cluster *cluster
	name    burdockid.Upstream
	server  *httptest.Server
	client  burdockwire.AgentServiceClient
	engine  *httptest.Server
	life    atomic.Pointer[life]
}

// life is one run of an agent's process.
type life struct {
	agent   *Agent
	handler http.Handler
	view    *burdockconfig.View
	fleet   *burdockfleet.Fleet
	watcher *burdocksync.Watcher
	homes   *KeySlotManager
	engine  *mortalEngine
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

// mortalEngine is reached by an agent for as long as the agent lives.
type mortalEngine struct {
	burdockengine.Engine
	dead atomic.Bool
}

// Do implements burdockengine.Engine.
func (e *mortalEngine) Do(ctx context.Context, call burdockengine.Call) (burdockengine.Answer, error) {
	if e.dead.Load() {
		return burdockengine.Answer{}, burdockengine.ErrNotSent.New("the process is dead")
	}
	return e.Engine.Do(ctx, call)
}

// keyEngine answers each letter with the number of its run.
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
	run := e.history.began(keyCall{
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

func startCluster(t *testing.T, seed uint64, memory handoverMemory, h *history) *cluster {
	t.Helper()
	c := &cluster{
		t: t, clock: burdockclock.NewManual(clusterStart), memory: memory,
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
	waitFor(t, "every slot has a home", func() bool {
		c.clock.Advance(burdockclock.Second)
		return settledHomes(c.members[0].fleet().Now().Homes[historyService])
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

// key returns the i-th key that callers use now. It gives way to a new one
// when callers have repeated it for long enough. Every other one is dated.
func (c *cluster) key(i int) string {
	now := c.clock.Clock().Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.keys[i] == "" || now-c.first[i] > historyRepeat {
		c.made++
		c.first[i] = now
		c.keys[i] = fmt.Sprint("letter ", c.made)
		if i%2 == 0 {
			digits := fmt.Sprintf("%012x", int64(now))
			c.keys[i] = fmt.Sprintf("%s-%s-7abc-8def-%012x", digits[:8], digits[8:], c.made)
		}
	}
	return c.keys[i]
}

// disturb brings faults about until the context ends.
func (c *cluster) disturb(ctx context.Context) {
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
	c.lateMu.Lock()
	c.closing = true
	c.lateMu.Unlock()
	c.late.Wait()
	for _, m := range c.members {
		m.kill()
	}
}

func (m *member) fleet() *burdockfleet.Fleet { return m.life.Load().fleet }

// ServeHTTP passes a call on to the agent that lives now.
func (m *member) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l := m.life.Load()
	if l == nil || l.engine.dead.Load() {
		panic(http.ErrAbortHandler)
	}
	l.handler.ServeHTTP(w, r)
}

// start begins a new life without any memory.
func (m *member) start() {
	c := m.cluster
	l := &life{view: burdockconfig.NewView()}
	l.fleet = burdockfleet.Follow(l.view)
	l.engine = &mortalEngine{Engine: burdockengine.NewHTTP(strings.TrimPrefix(m.engine.URL, "http://"))}
	clock := c.clock.Clock()
	l.agent = New(Config{Upstream: m.name, VM: burdockid.VM(m.name), Service: historyService, Slots: 4}, Deps{
		Clock: clock, Engine: l.engine, Fleet: l.fleet, Verified: func() bool { return true },
		OnConfigDigest: func(burdockconfig.Digest) {}, Log: zap.NewNop(), Metrics: metrics.NewSet(),
		Random: rand.New(rand.NewPCG(1, 2)),
	})
	mux := http.NewServeMux()
	mux.Handle(burdockwire.NewAgentServiceHandler(&lateHandler{Agent: l.agent, cluster: c, random: rand.New(rand.NewPCG(c.random.Uint64(), 3))}))
	l.handler = mux
	store := burdockstore.NewHTTP([]string{c.address})
	l.watcher = burdocksync.NewWatcher(store, l.view, burdocksync.NewSource(clock), clock, zap.NewNop())
	l.homes = NewKeySlotManager(l.agent, burdocksync.NewWriter(store), l.view, burdocktransport.NewPeers(nil))
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.agent.Start()
	l.watcher.Start()
	l.done.Add(1)
	m.life.Store(l)
	go l.loop(ctx)
}

// loop looks after the homes more often than the product does.
func (l *life) loop(ctx context.Context) {
	defer l.done.Done()
	for ctx.Err() == nil {
		l.homes.runOnce(ctx)
		time.Sleep(homesPause)
	}
}

// kill ends a life at once: nothing of it is sent or answered any longer.
func (m *member) kill() {
	l := m.life.Load()
	l.engine.dead.Store(true)
	m.server.CloseClientConnections()
	l.cancel()
	l.done.Wait()
	l.watcher.Close()
	l.agent.Close()
}

// stop ends a life as planned.
func (m *member) stop(ctx context.Context) {
	l := m.life.Load()
	l.agent.Drain()
	for ctx.Err() == nil && (!l.agent.Idle() || !l.homes.Released()) {
		time.Sleep(time.Millisecond)
	}
	m.kill()
}

// hold lets a message come late, unless the cluster is closing.
func (c *cluster) hold(m *lateMessage) {
	c.lateMu.Lock()
	defer c.lateMu.Unlock()
	if !c.closing {
		c.late.Add(1)
		go m.run()
	}
}

// lateHandler is an agent that some messages of other agents reach late or
// twice.
type lateHandler struct {
	*Agent
	cluster *cluster
	mu      sync.Mutex
	random  *rand.Rand
}

var errLate = errors.New("the message is late")

// TakeKeys implements burdockwire.AgentServiceHandler.
func (h *lateHandler) TakeKeys(ctx context.Context, req *connect.Request[burdockwire.TakeKeysRequest]) (*connect.Response[burdockwire.TakeKeysResponse], error) {
	h.mu.Lock()
	late, twice, after := h.random.IntN(6) == 0, h.random.IntN(6) == 0, time.Duration(h.random.IntN(lateMost))*time.Millisecond
	h.mu.Unlock()
	if h.cluster.memory == forgetful {
		req.Msg.Lines = nil
	}
	if late || twice {
		h.cluster.hold(&lateMessage{handler: h, req: req, after: after})
	}
	if late {
		return nil, connect.NewError(connect.CodeUnavailable, errLate)
	}
	return h.Agent.TakeKeys(ctx, req)
}

type lateMessage struct {
	handler *lateHandler
	req     *connect.Request[burdockwire.TakeKeysRequest]
	after   time.Duration
}

func (m *lateMessage) run() {
	defer m.handler.cluster.late.Done()
	time.Sleep(m.after)
	_, _ = m.handler.Agent.TakeKeys(context.Background(), m.req)
}
