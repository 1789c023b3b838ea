// Package burdockagent is the process beside one upstream and the only way to
// it: it admits, queues, refuses, runs, resumes and cancels requests.
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
	// tick is how often the agent looks at what depends on time alone.
	tick = 100 * time.Millisecond
	// heartbeatEvery is how long a stream may be without an event. An entry
	// takes a stream for silent after four of them.
	heartbeatEvery = 500 * time.Millisecond
	// orphanGrace is how long a request goes on without anybody who reads its
	// answer. It covers the time in which an entry finds that a connection is
	// silent, opens another and attaches again.
	orphanGrace = 8 * burdockclock.Second
)

// Config is what an agent is told at its start.
type Config struct {
	Upstream burdockid.Upstream
	VM       burdockid.VM
	Service  burdockid.Service // used until the configuration names the service
	Slots    int
}

// Deps is what an agent works with.
type Deps struct {
	Clock  burdockclock.Clock
	Engine burdockengine.Engine
	Fleet  *burdockfleet.Fleet
	// Verified reports whether the process knows that it is not cut off.
	Verified func() bool
	// OnConfigDigest takes the digest of the configuration that an entry holds.
	OnConfigDigest func(burdockconfig.Digest)
	Log            *zap.Logger
	// Metrics takes the agent's metrics.
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
	// aliases lead requests that repeat a key to the job of the first.
	aliases  map[burdockid.Request]*job
	memory   *memory
	keyed    *keyed
	draining bool
	counts   OutcomeCounts
	meters   meters
}

// New returns an agent. Its loop must be started with Start.
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
		memory:      newMemory(),
		keyed:       newKeyed(),
	}
	a.policy = policyOf(cfg, deps.Fleet.Now())
	a.queue = burdockqueue.New(a.policy.queue, deps.Random)
	a.meters = newMeters(a, deps.Metrics)
	return a
}

// Start begins the agent's own work.
func (a *Agent) Start() { go a.loop() }

// Close ends the agent's own work. Requests that still run are abandoned.
func (a *Agent) Close() {
	close(a.stop)
	<-a.stopped
}

// loop does what depends on time alone.
func (a *Agent) loop() {
	defer close(a.stopped)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-a.stop:
			return
		case <-ticker.C:
			a.advance()
		}
	}
}

func (a *Agent) advance() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.deps.Clock.Boot()
	a.followConfig(now)
	a.tendJobs(now)
	a.memory.forget(now)
	a.keyed.ledger.Evict(a.deps.Clock.Now())
	a.trimAnswers()
	a.drive(now)
}

// followConfig takes up a new profile.
func (a *Agent) followConfig(now burdockclock.Millis) {
	fleet := a.deps.Fleet.Now()
	if fleet.Digest == a.policy.digest {
		return
	}
	a.policy = policyOf(a.cfg, fleet)
	a.queue.Reconfigure(now, a.policy.queue)
	a.keyed.follow(fleet.Homes[a.policy.service], a.cfg.Upstream, a.incarnation)
}

// tendJobs gives up requests that nobody waits for any longer, and forgets
// those that ended a while ago.
//
// Load: entries die or lose their connections while their requests wait or
// run. Harm: slots of the engine taken by work for nobody. The grace lets an
// entry that lost only the connection come back for the answer.
func (a *Agent) tendJobs(now burdockclock.Millis) {
	for id, j := range a.jobs {
		switch {
		case j.orphanedFor(now) > orphanGrace:
			a.cancelJob(now, j, cancelOrphaned)
		case j.forgettable(now):
			delete(a.jobs, id)
		default:
			j.poke()
		}
	}
	for id, j := range a.aliases {
		if j.forgettable(now) {
			delete(a.aliases, id)
		}
	}
}

// drive applies what the queue decided. It must be called after each call of
// the queue, with the lock held.
func (a *Agent) drive(now burdockclock.Millis) {
	for _, event := range a.queue.Dispatch(now) {
		switch e := event.(type) {
		case burdockqueue.Started:
			a.startJob(a.jobs[e.ID])
		case burdockqueue.Dropped:
			a.dropJob(now, a.jobs[e.ID], e)
		}
	}
}

// Drain refuses new work from now on. Work that waits is run or refused, as
// the profile says; an entry offers what is refused to another upstream.
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
	a.drive(now)
}

func (a *Agent) refuseQueued(now burdockclock.Millis) {
	for _, j := range a.jobs {
		if j.queued() {
			a.queue.Cancel(now, j.id)
			a.dropJob(now, j, burdockqueue.Dropped{ID: j.id, Reason: burdockqueue.ReasonDraining})
		}
	}
}

// StopGrace is how long the profile lets a planned stop take.
func (a *Agent) StopGrace() burdockclock.Millis {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.policy.stop.GraceMillis
}

// Idle reports whether no request is queued, running or being read.
func (a *Agent) Idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, j := range a.jobs {
		if !j.settled() {
			return false
		}
	}
	return true
}

// Incarnation returns the id of this run of the process.
func (a *Agent) Incarnation() burdockid.Incarnation { return a.incarnation }
