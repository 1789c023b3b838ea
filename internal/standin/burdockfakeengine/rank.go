package burdockfakeengine

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/external/burdockengine"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
)

const (
	// reportedSteps is the minimum number of recent steps kept for GroupStepsPath.
	reportedSteps = 1024
	// holdPollInterval is the interval at which a held engine checks whether it may begin.
	holdPollInterval = time.Millisecond
)

// RankConfig sets the behaviour of a stand-in as the engine of one rank.
type RankConfig struct {
	// Lockstep is the address of the group's Lockstep; empty for an engine
	// that belongs to no group.
	Lockstep string
	Rank     burdockid.Rank
	Step     time.Duration // duration of a step
	Load     time.Duration // time to load a map
	// Fenced makes the engine refuse orders with an old fencing number.
	Fenced bool
	// IgnoreHold makes the engine report that it is held, but run further steps.
	IgnoreHold bool
	// Layers is the number of layers, Experts the number of experts in each, and Slots
	// the number of expert slots that the engine reports.
	Layers, Experts, Slots int
	// DriftEvery is the number of steps after which other experts of a layer become
	// popular; 0 keeps popularity constant. The layers change one after the other.
	DriftEvery burdockid.Step
	Seed       uint64
}

// rankEngine is a stand-in for the engine of one rank of a lock-stepped group.
// It executes each order atomically, under the conditions that
// burdockgroup.EngineOrder defines.
type rankEngine struct {
	cfg         RankConfig
	incarnation burdockengine.Incarnation
	lockstep    *lockstepClient

	mu      sync.Mutex
	status  burdockgroup.EngineStatus
	highest burdockid.Fence
	loads   uint64 // number of the current load; the end of an older one is ignored
	steps   []burdockengine.GroupStep
	traffic *traffic
}

func newRankEngine(cfg RankConfig) *rankEngine {
	incarnation := burdockengine.Incarnation(burdockid.NewIncarnation())
	e := &rankEngine{
		cfg:         cfg,
		incarnation: incarnation,
		lockstep:    newLockstepClient(cfg.Lockstep, cfg.Rank, incarnation),
		traffic:     newTraffic(cfg),
	}
	go e.run()
	return e
}

func (e *rankEngine) register(mux *http.ServeMux) {
	mux.HandleFunc("POST "+burdockengine.GroupOrderPath, e.serveOrder)
	mux.HandleFunc("GET "+burdockengine.GroupStepsPath, e.serveSteps)
	mux.HandleFunc("GET "+burdockengine.GroupCountsPath, e.serveCounts)
}

// run executes steps until the process ends or another engine replaces this one.
func (e *rankEngine) run() {
	ctx := context.Background()
	next := e.lockstep.join(ctx)
	e.mu.Lock()
	e.status.Next = next
	e.mu.Unlock()
	var finished *burdockengine.GroupStep
	for e.lockstep.awaitTurn(ctx, finished) {
		step := e.awaitBegin()
		time.Sleep(e.cfg.Step)
		e.finish(step)
		finished = &step
	}
}

// awaitBegin waits until the next step is not held and the engine has a map, and begins
// the step.
func (e *rankEngine) awaitBegin() burdockengine.GroupStep {
	for {
		if step, ok := e.begin(); ok {
			return step
		}
		time.Sleep(holdPollInterval)
	}
}

func (e *rankEngine) begin() (burdockengine.GroupStep, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := &e.status
	if s.Held && s.Next >= s.HoldAt && !e.cfg.IgnoreHold {
		return burdockengine.GroupStep{}, false
	}
	if s.Switch.Map != 0 && s.Next >= s.Switch.At {
		s.Base, s.Switch = s.Switch.Map, burdockgroup.Switch{}
	}
	if s.Base == 0 {
		return burdockengine.GroupStep{}, false
	}
	step := burdockengine.GroupStep{Step: s.Next, Map: s.Base}
	s.Next++
	return step, true
}

func (e *rankEngine) finish(step burdockengine.GroupStep) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.status.LastStep, e.status.LastMap = step.Step, step.Map
	e.steps = append(e.steps, step)
	if len(e.steps) > 2*reportedSteps {
		e.steps = slices.Clone(e.steps[len(e.steps)-reportedSteps:])
	}
	e.traffic.add(step.Step)
}

// apply executes an order and reports whether it was accepted. It is refused
// only for an old fencing number, if the engine is Fenced and the order is no ReadStatus;
// an accepted order whose conditions are not met changes nothing.
func (e *rankEngine) apply(fence burdockid.Fence, order burdockgroup.EngineOrder) (burdockgroup.EngineStatus, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, isRead := order.(burdockgroup.ReadStatus)
	if e.cfg.Fenced && fence < e.highest && !isRead {
		return e.status, false
	}
	e.highest = max(e.highest, fence)
	s := &e.status
	switch order := order.(type) {
	case burdockgroup.LoadMap:
		e.load(order.Map)
	case burdockgroup.HoldAt:
		if s.Next <= order.Step {
			s.Held, s.HoldAt = true, order.Step
		}
	case burdockgroup.UseFrom:
		if s.Held && s.HoldAt == order.Step && s.Spare == order.Map {
			s.Switch, s.Spare = burdockgroup.Switch{Map: order.Map, At: order.Step}, 0
		}
	case burdockgroup.Resume:
		if s.Held && s.HoldAt == order.Step && s.Switch == order.Switch {
			s.Held, s.HoldAt = false, 0
		}
	case burdockgroup.DropSwitch:
		if s.Held && s.HoldAt == order.Step && s.Switch == order.Switch {
			s.Spare, s.Switch = s.Switch.Map, burdockgroup.Switch{}
		}
	case burdockgroup.BeginWith:
		e.beginWith(order.Map)
	}
	return e.status, true
}

func (e *rankEngine) has(v burdockid.MapVersion) bool {
	s := e.status
	return v != 0 && (s.Base == v || s.Switch.Map == v || s.Spare == v)
}

func (e *rankEngine) load(v burdockid.MapVersion) {
	if e.has(v) || e.status.Loading == v {
		return
	}
	e.status.Loading, e.status.Spare = v, 0
	e.loads++
	n := e.loads
	time.AfterFunc(e.cfg.Load, func() { e.loaded(n) })
}

func (e *rankEngine) loaded(n uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if n == e.loads {
		e.status.Spare, e.status.Loading = e.status.Loading, 0
	}
}

func (e *rankEngine) beginWith(v burdockid.MapVersion) {
	s := &e.status
	if s.Base != 0 || !e.has(v) {
		return
	}
	s.Base = v
	if s.Spare == v {
		s.Spare = 0
	}
}

func (e *rankEngine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order burdockengine.GroupOrder
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	status, accepted := e.apply(order.Fence, order.Order())
	if !accepted {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	writeJSON(w, status)
}

func (e *rankEngine) serveSteps(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	e.mu.Lock()
	i, _ := slices.BinarySearchFunc(e.steps, burdockid.Step(from), func(s burdockengine.GroupStep, from burdockid.Step) int {
		return int(int64(s.Step) - int64(from))
	})
	steps := burdockengine.GroupSteps{Incarnation: e.incarnation, Steps: slices.Clone(e.steps[i:])}
	e.mu.Unlock()
	writeJSON(w, steps)
}

func (e *rankEngine) serveCounts(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	counts := burdockengine.GroupCounts{
		Incarnation: e.incarnation,
		Tokens:      e.traffic.clone(),
		Slots:       e.cfg.Slots,
		ExpertBytes: standinExpertBytes,
		StoreRate:   standinStoreRate,
	}
	e.mu.Unlock()
	writeJSON(w, counts)
}

// Sizes that a stand-in reports. Fetching an expert takes a millisecond, which is cheap
// enough that small changes of popularity justify a map change in tests.
const (
	standinExpertBytes burdockid.Bytes          = 1_000_000
	standinStoreRate   burdockid.BytesPerSecond = 1_000_000_000
)

// traffic generates and counts the tokens that a rank sends to each expert. The popular
// experts change as steps pass.
type traffic struct {
	cfg    RankConfig
	rng    *rand.Rand
	tokens [][]burdockid.Tokens
}

func newTraffic(cfg RankConfig) *traffic {
	t := &traffic{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Rank)))}
	for range cfg.Layers {
		t.tokens = append(t.tokens, make([]burdockid.Tokens, cfg.Experts))
	}
	return t
}

// hottestTokens is the number of tokens per step of a layer's most popular expert,
// before random noise.
const hottestTokens = 1000

func (t *traffic) add(step burdockid.Step) {
	for l, tokens := range t.tokens {
		shift := 0
		if t.cfg.DriftEvery > 0 {
			offset := t.cfg.DriftEvery * burdockid.Step(l) / burdockid.Step(t.cfg.Layers)
			shift = int((step + offset) / t.cfg.DriftEvery)
		}
		for e := range tokens {
			position := (e + l + shift*t.cfg.Experts/2) % t.cfg.Experts
			tokens[e] += burdockid.Tokens(hottestTokens/(1+position) + t.rng.IntN(1+hottestTokens/50))
		}
	}
}

func (t *traffic) clone() [][]burdockid.Tokens {
	copied := make([][]burdockid.Tokens, len(t.tokens))
	for l, tokens := range t.tokens {
		copied[l] = slices.Clone(tokens)
	}
	return copied
}
