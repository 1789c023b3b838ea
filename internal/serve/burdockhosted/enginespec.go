package burdockhosted

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/state/burdockkv"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
	"go.uber.org/zap"
)

// prefixEngine is the prefix of the keys that hold the figures of each service's engines,
// as the latest controller of one of its groups read them in the configuration.
const prefixEngine = prefixSystem + "engine/"

// engineRecord is the value of a key under prefixEngine. Its fields are those of
// burdocksite.Engine.
type engineRecord struct {
	Slots                       int                      `json:"slots"`
	StepsPerEvent               int                      `json:"stepsPerEvent"`
	BaseStepMillis              float64                  `json:"baseStepMillis"`
	StepMillisPerRequest        float64                  `json:"stepMillisPerRequest"`
	StepMillisPerThousandTokens float64                  `json:"stepMillisPerThousandTokens"`
	PrefillRate                 float64                  `json:"prefillRate"`
	Layers                      int                      `json:"layers"`
	Experts                     int                      `json:"experts"`
	ExpertSlots                 int                      `json:"expertSlots"`
	MaxLoads                    int                      `json:"maxLoads"`
	ExpertBytes                 burdockid.Bytes          `json:"expertBytes"`
	CopyRate                    burdockid.BytesPerSecond `json:"copyRate"`
	ExpertShare                 float64                  `json:"expertShare"`
	MeanPromptTokens            burdockid.Tokens         `json:"meanPromptTokens"`
	MeanAnswerTokens            burdockid.Tokens         `json:"meanAnswerTokens"`
}

// engineSpec provides an agent with the figures of its engine.
//
// The configuration holds them, but also the routes and keys of the whole site. When all
// VMs start again after a power cut, hundreds of agents that read it would fill the
// store's link for as long as the entries need it. A controller therefore writes the
// figures of its engines into a small record, and agents that find it read the
// configuration later.
type engineSpec struct {
	store   burdockkv.Store
	service burdockid.Service
	config  func() *burdocksite.Config
	poller  storeReader // of the configuration
	log     *zap.Logger

	recorded atomic.Pointer[burdocksite.Engine] // as read from the record
	ctx      context.Context
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

func newEngineSpec(store burdockkv.Store, service burdockid.Service, config func() *burdocksite.Config, log *zap.Logger) *engineSpec {
	ctx, cancel := context.WithCancel(context.Background())
	return &engineSpec{store: store, service: service, config: config, log: log, ctx: ctx, cancel: cancel}
}

// current returns the figures of the engine; nil if they are not known.
func (s *engineSpec) current() *burdocksite.Engine {
	if cfg := s.config(); cfg != nil {
		return cfg.Services[s.service].Engine
	}
	return s.recorded.Load()
}

// announcement returns the record of the figures in the configuration; none if that has
// not been read.
func (s *engineSpec) announcement() []burdockkv.Put {
	cfg := s.config()
	if cfg == nil || cfg.Services[s.service].Engine == nil {
		return nil
	}
	value, err := json.Marshal(engineRecord(*cfg.Services[s.service].Engine))
	if err != nil {
		s.log.Error("failed to encode the figures of the engines", zap.Error(err))
		return nil
	}
	return []burdockkv.Put{{Key: prefixEngine + string(s.service), Value: value}}
}

// Start implements storeReader.
func (s *engineSpec) Start() {
	s.done.Add(1)
	go s.run()
}

// Close implements storeReader.
func (s *engineSpec) Close() {
	s.cancel()
	s.done.Wait()
	s.poller.Close()
}

// run reads the record, and starts to poll the configuration: at once if there is no
// record, otherwise at a random time.
func (s *engineSpec) run() {
	defer s.done.Done()
	if s.readRecord() {
		sleep(s.ctx, burdockclock.Millis(rand.Int64N(int64(configPollInterval))).Duration())
	}
	if s.ctx.Err() == nil {
		s.poller.Start()
	}
}

// readRecord reads the record and reports whether there is a valid one.
func (s *engineSpec) readRecord() bool {
	key := prefixEngine + string(s.service)
	items, _, err := s.store.List(s.ctx, key, burdockkv.ReadStale)
	if err != nil {
		return false
	}
	for _, item := range items {
		if item.Key != key {
			continue
		}
		var rec engineRecord
		if err := json.Unmarshal(item.Value, &rec); err != nil || rec.Layers <= 0 {
			s.log.Warn("skipping unreadable record of the engines", zap.String("key", key), zap.Error(err))
			return false
		}
		spec := burdocksite.Engine(rec)
		s.recorded.Store(&spec)
		return true
	}
	return false
}
