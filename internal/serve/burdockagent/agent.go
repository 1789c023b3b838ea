// Package burdockagent implements the agent, the process beside each upstream through
// which all its requests pass. The agent admits, queues, refuses, runs, resumes and
// cancels requests. It also enforces that a request with an idempotency key runs at
// most once.
package burdockagent

import (
	"math/rand/v2"
	"sync"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/config/burdockprofile"
	"burdockbend.example/burdockbend/internal/decide/burdockqueue"
	"burdockbend.example/burdockbend/internal/external/burdockengine"
	"burdockbend.example/burdockbend/internal/state/burdockconfig"
	"burdockbend.example/burdockbend/internal/state/burdockfleet"
	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

const (
	// tickInterval is how often the agent does the work that only depends on time.
	tickInterval = 100 * time.Millisecond
	// heartbeatInterval is the longest time without an event on a stream. An entry
	// considers a stream dead after four intervals.
	heartbeatInterval = 500 * time.Millisecond
	// orphanGrace is how long a request goes on while nobody reads its answer. It
	// covers the time that an entry needs to notice a dead connection, to open another
	// one and to attach again.
	orphanGrace = 8 * burdockclock.Second
)

// Config is the configuration of an agent, fixed at its start.
type Config struct {
	Upstream burdockid.Upstream
	VM       burdockid.VM
	Service  burdockid.Service // used until the fleet configuration names the service
	Slots    int
}

// Deps contains the dependencies of an agent.
type Deps struct {
	Clock  burdockclock.Clock
	Engine burdockengine.Engine
	Fleet  *burdockfleet.Fleet
	// Verified reports whether the process knows that it is not cut off from the others.
	Verified func() bool
	// OnConfigDigest is called with the digest of the configuration that an entry has.
	OnConfigDigest func(burdockconfig.Digest)
	Log            *zap.Logger
	// Metrics is the set in which the agent registers its metrics.
	Metrics *metrics.Set
	Random  *rand.Rand
}

// Agent runs requests on one upstream.
type Agent struct {
	cfg         Config
	deps        Deps
	incarnation burdockid.Incarnation
	started     burdockclock.Millis // on the boot clock
	stop        chan struct{}
	stopped     chan struct{}

	mu     sync.Mutex
	queue  *burdockqueue.Queue
	policy policy
	jobs   map[burdockid.Request]*job
	// aliases maps a request that repeats an idempotency key to the job of the first
	// request with that key.
	aliases  map[burdockid.Request]*job
	recent   *recentRequests
	keys     *keySlots
	draining bool
	// pausedUntil is until when the engine wants no requests; 0 if it has asked for no pause.
	pausedUntil burdockclock.Millis
	counts      OutcomeCounts
	metrics     agentMetrics
}

// New returns an agent. Start must be called to run its periodic work.
func New(cfg Config, deps Deps) *Agent {
	a := &Agent{
		cfg:         cfg,
		deps:        deps,
		incarnation: burdockid.NewIncarnation(),
		started:     deps.Clock.Boot(),
		stop:        make(chan struct{}),
		stopped:     make(chan struct{}),
		jobs:        map[burdockid.Request]*job{},
		aliases:     map[burdockid.Request]*job{},
		recent:      newRecentRequests(),
		keys:        newKeySlots(),
	}
	a.policy = policyOf(cfg, deps.Fleet.Now())
	a.queue = burdockqueue.New(a.policy.queue, deps.Random)
	a.metrics = newAgentMetrics(a, deps.Metrics)
	return a
}

// Start starts the agent's periodic work.
func (a *Agent) Start() { go a.loop() }

// Close ends the agent's periodic work. Requests that still run are abandoned.
func (a *Agent) Close() {
	close(a.stop)
	<-a.stopped
}

// loop runs the periodic work until Close.
func (a *Agent) loop() {
	defer close(a.stopped)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-a.stop:
			return
		case <-ticker.C:
			a.onTick()
		}
	}
}

func (a *Agent) onTick() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.deps.Clock.Boot()
	a.applyConfig(now)
	a.endPause(now)
	a.expireJobs(now)
	a.recent.evict(now)
	a.keys.ledger.Evict(a.deps.Clock.Now())
	a.evictAnswers()
	a.applyQueueEvents(now)
}

// applyConfig applies the fleet configuration if it has changed.
func (a *Agent) applyConfig(now burdockclock.Millis) {
	fleet := a.deps.Fleet.Now()
	if fleet.Digest == a.policy.digest {
		return
	}
	a.policy = policyOf(a.cfg, fleet)
	a.queue.Reconfigure(now, a.policy.queue)
	a.keys.applyOwners(fleet.KeyOwners[a.policy.service], a.cfg.Upstream, a.incarnation)
}

// expireJobs cancels requests whose answer nobody reads any longer, and deletes jobs
// that ended a while ago.
//
// Entries die or lose their connections while their requests wait or run. Without the
// cancellation, such requests occupy engine slots for nobody. orphanGrace gives an entry
// that only lost its connection the time to attach again.
func (a *Agent) expireJobs(now burdockclock.Millis) {
	for id, j := range a.jobs {
		switch {
		case j.orphanedFor(now) > orphanGrace:
			a.cancelJob(now, j, cancelOrphaned)
		case j.retentionExpired(now):
			delete(a.jobs, id)
		default:
			j.wakeRunner()
		}
	}
	for id, j := range a.aliases {
		if j.retentionExpired(now) {
			delete(a.aliases, id)
		}
	}
}

// applyQueueEvents starts and drops jobs as the queue decided. It must be called after
// each call of the queue, with the agent's lock held.
func (a *Agent) applyQueueEvents(now burdockclock.Millis) {
	for _, event := range a.queue.Dispatch(now) {
		switch e := event.(type) {
		case burdockqueue.Started:
			a.startJob(a.jobs[e.ID])
		case burdockqueue.Dropped:
			a.dropJob(now, a.jobs[e.ID], e)
		}
	}
}

// Drain refuses new requests from now on. Queued requests are run or refused, as the
// profile demands. An entry offers a refused request to another upstream.
func (a *Agent) Drain() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining {
		return
	}
	a.draining = true
	now := a.deps.Clock.Boot()
	a.queue.Drain(now)
	if a.policy.stop.Queued == burdockprofile.RefuseQueued {
		a.refuseQueued(now)
	}
	a.applyQueueEvents(now)
}

func (a *Agent) refuseQueued(now burdockclock.Millis) {
	for _, j := range a.jobs {
		if j.queued() {
			a.queue.Cancel(now, j.id)
			a.dropJob(now, j, burdockqueue.Dropped{ID: j.id, Reason: burdockqueue.ReasonDraining})
		}
	}
}

// StopGrace returns how long a planned stop may take according to the profile.
func (a *Agent) StopGrace() burdockclock.Millis {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.policy.stop.GraceMillis
}

// Idle reports whether no request is queued or running and no answer is being read.
func (a *Agent) Idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, j := range a.jobs {
		if !j.isDone() {
			return false
		}
	}
	return true
}

// Incarnation returns the identifier of this run of the process.
func (a *Agent) Incarnation() burdockid.Incarnation { return a.incarnation }
