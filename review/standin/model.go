package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	modelService = "burdock-pisarz"
	modelHost    = "letters.example"
	modelPath    = "/letter/2f"
	// modelBudget is how long clients wait for a whole stream.
	modelBudget = 8 * time.Second
	// stallTime and formTime are how long a group stalls when one of its ranks is lost, and
	// how long it takes to form again.
	stallTime = 1500 * time.Millisecond
	formTime  = 600 * time.Millisecond
)

// promptTokens and answerTokens are the size of a prompt and of the largest answer, eventTokens
// the tokens in an event.
const (
	promptTokens = 787
	answerTokens = 240
	eventTokens  = 4
)

// sheetSlots and sheetMemory are those of a replica on the sheet.
const (
	sheetSlots  = 12
	sheetMemory = 280000
)

// modelConfiguration has one route of streams that may not be resumed: each request runs at
// most once.
func modelConfiguration(slots int) configuration {
	figures := sheetEngine()
	figures.Slots = slots
	return configuration{
		Version: 3, Limits: sheetLimits,
		Routes: []route{{
			Name: "member-letter", Hostname: modelHost, Prefix: "/letter/", Type: "streaming", Timeout: 8000, Target: 500,
			Priority: 1, Service: modelService, Attempts: 2, Public: true, Gap: 120,
		}},
		Services: []service{{Name: modelService, Engine: figures}},
	}
}

// modelCall returns a request for a stream.
func modelCall(id string) call {
	return call{id: id, path: modelPath, host: modelHost, budget: modelBudget, body: "write a letter " + id, header: map[string]string{
		"Burdockbend-Model": "m", "Burdockbend-Token-Count": fmt.Sprintf("%d,%d", promptTokens, answerTokens),
		"Burdockbend-Prompt-Prefix": fmt.Sprintf("5c1e07a2:40,%s:%d", id, promptTokens-40),
	}}
}

// modelRun is one run of a request at a replica.
type modelRun struct {
	id, replica string
	at          time.Time
	events      int
	ended       string
	waited      time.Duration // for memory
}

// stillRunning is how a run has ended that has not.
const stillRunning = "running"

// model is a group of model replicas in lock-step.
type model struct {
	world *world
	// events and pause are the number of events of a stream and the time between two;
	// prefill is the time to the first one.
	events  int
	pause   time.Duration
	prefill time.Duration
	// slots is the number of requests that a rank runs at once, memory the number of tokens
	// for which it has memory.
	slots, memory int
	// garble, if set, tells whether the replica sends a second answer to the refusal that it
	// has given before on this connection, right before it answers the next request there.
	garble func(*exchange) bool

	mu       sync.Mutex
	open     bool
	epoch    int
	brokenAt time.Time
	lost     string // the rank that is lost
	runs     []*modelRun
}

// start writes the configuration and starts the ranks and the agents beside them.
func (m *model) start(ranks int) error {
	m.open, m.epoch = true, 1
	m.world.store.put("op/config", modelConfiguration(m.slots))
	for i := range ranks {
		p := &replica{id: fmt.Sprintf("i-%02d", i), service: modelService, zone: "hall-a", slots: m.slots}
		p.serve = m.serve
		p.report = func() any { return m.report(p, i, ranks) }
		if err := m.world.addReplica(p); err != nil {
			return err
		}
		if _, err := m.world.startAgent(fmt.Sprintf("side-%d", i), p); err != nil {
			return err
		}
	}
	return nil
}

func (m *model) report(p *replica, rank, ranks int) any {
	running := p.runningCount()
	m.mu.Lock()
	defer m.mu.Unlock()
	state := "open"
	if !m.open {
		state = "broken"
	}
	return map[string]any{
		"stage": "unified", "models": []any{}, "busy": false, "seq": 0, "queue_depth": 0, "in_flight": running, "kv_used": min(promptTokens*running, m.memory), "kv_total": m.memory,
		"handles": 0, "born": born, "pace": 1, "size": ranks, "step": 1, "map": 0, "prepared": nil, "armed": nil, "held": nil,
		"group": map[string]any{"name": "g", "epoch": m.epoch, "rank": rank, "state": state},
	}
}

// lose breaks the group: a rank has crashed.
func (m *model) lose(p *replica) {
	m.mu.Lock()
	m.open, m.brokenAt, m.lost = false, time.Now(), p.id
	m.mu.Unlock()
	p.stop()
	m.world.rec.now("replica %s crashes; its group stalls and then refuses", p.id)
}

// form opens the group again: the rank is back, and formTime has passed.
func (m *model) form() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open, m.lost = true, ""
	m.epoch++
	m.world.rec.now("the group is open again")
}

// state returns whether the group is open, when it broke, and the rank that is lost.
func (m *model) state() (bool, time.Time, string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.open, m.brokenAt, m.lost
}

// serve answers one request as a rank of the group.
func (m *model) serve(x *exchange) bool {
	if open, brokenAt, lost := m.state(); !open {
		time.Sleep(time.Until(brokenAt.Add(stallTime)))
		m.world.rec.now("%s refuses %s: its group has lost %s", x.replica.id, x.id, lost)
		return x.refuse(503, lost)
	}
	if m.garble != nil && x.comesAgain() && m.garble(x) {
		m.world.rec.now("%s sends a second, late answer to its refusal of %s", x.replica.id, x.id)
		if !x.again(x.refusedBefore) {
			return false
		}
	}
	if !x.replica.tryBegin() {
		m.world.rec.now("%s is full and refuses %s", x.replica.id, x.id)
		return x.refuse(503, "")
	}
	defer x.replica.begin(-1)
	r := &modelRun{id: x.id, replica: x.replica.id, at: time.Now(), ended: stillRunning}
	m.mu.Lock()
	m.runs = append(m.runs, r)
	m.mu.Unlock()
	ended := m.write(x, r)
	m.mu.Lock()
	r.ended = ended
	m.mu.Unlock()
	return ended == "whole"
}

// write runs a request: it reads the prompt and writes the events of its stream. The run
// begins with the first one.
func (m *model) write(x *exchange, r *modelRun) string {
	time.Sleep(m.prefill)
	if !x.startStream(x.replica.id + "." + x.id) {
		return "its connection was closed"
	}
	for n := 1; n <= m.events; n++ {
		if open, brokenAt, _ := m.state(); !open {
			time.Sleep(time.Until(brokenAt.Add(stallTime)))
			return "cut off: the group has lost a rank"
		}
		if !x.event(n, fmt.Sprintf("piece %d of %s", n, x.id)) {
			return "its connection was closed"
		}
		m.mu.Lock()
		r.events = n
		m.mu.Unlock()
		time.Sleep(m.pause)
		m.awaitMemory(r)
	}
	if !x.endStream() {
		return "its connection was closed"
	}
	return "whole"
}

// awaitMemory preempts a run if its rank has run out of memory and this is its newest one: the
// run waits until it fits, and its prompt is read again.
func (m *model) awaitMemory(r *modelRun) {
	if m.fits(r) {
		return
	}
	began := time.Now()
	m.world.rec.now("%s has run out of memory and preempts %s, its newest request", r.replica, r.id)
	for !m.fits(r) {
		time.Sleep(memoryCheck)
	}
	time.Sleep(m.prefill)
	m.world.rec.now("%s goes on with %s", r.replica, r.id)
	m.mu.Lock()
	defer m.mu.Unlock()
	r.waited = time.Since(began)
}

// memoryCheck is how often a preempted run is looked at.
const memoryCheck = 5 * time.Millisecond

// fits reports whether a rank has memory for a run: it always has, but for the newest one.
func (m *model) fits(r *modelRun) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	used, newest := 0, r
	for _, other := range m.runs {
		if other.replica == r.replica && other.ended == stillRunning {
			used, newest = used+promptTokens+eventTokens*other.events, other
		}
	}
	return newest != r || used <= m.memory
}

// begunRuns returns the runs that have begun, by request.
func (m *model) begunRuns() map[string][]modelRun {
	m.mu.Lock()
	defer m.mu.Unlock()
	byID := map[string][]modelRun{}
	for _, r := range m.runs {
		if r.events > 0 {
			byID[r.id] = append(byID[r.id], *r)
		}
	}
	return byID
}
