package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	twiceRanks = 6
	// twiceWarmUp is the number of streams before the crash. Each replica then has given so
	// many answers that one more is less than 3 in 100 of them.
	twiceWarmUp = 420
	// twiceFaulty is the number of replicas that send second answers: 6 in 10.
	twiceFaulty = 3
	// twiceShare is the least number of answers to which a replica sends one second answer.
	twiceShare = 34
	// twiceDown is how long the crashed replica is down.
	twiceDown = 2500 * time.Millisecond
	// twiceBefore is how long before the group opens the requests are sent, twiceRequests
	// their number.
	twiceBefore   = 500 * time.Millisecond
	twiceRequests = 8
)

// playTwice crashes one rank of a group of model replicas. The others refuse all requests
// until it is back. Some of them send a second, late answer to a refusal. No request may
// run twice.
func playTwice(w *world) (int, error) {
	g := &secondAnswers{by: map[string]bool{}}
	m := &model{world: w, events: 4, pause: 15 * time.Millisecond, prefill: 20 * time.Millisecond, slots: sheetSlots, memory: sheetMemory}
	if w.trouble {
		m.garble = g.due
	}
	if err := m.start(twiceRanks); err != nil {
		return 0, err
	}
	e, err := w.startEntry("edge-1")
	if err != nil {
		return 0, err
	}
	if err := e.waitReady(); err != nil {
		return 0, err
	}
	warm := &callLoop{stop: make(chan struct{}), entries: []*hosted{e}, every: 12 * time.Millisecond, next: func(n int) call { return modelCall(fmt.Sprintf("%08x", n)) }}
	warm.start()
	time.Sleep(twiceWarmUp * 12 * time.Millisecond)
	if len(warm.end()) < twiceWarmUp/2 {
		return 0, fmt.Errorf("%w: too few streams", errNotRun)
	}
	if w.trouble {
		m.lose(w.replicas[twiceRanks-1])
	}
	time.Sleep(twiceDown)
	if w.trouble {
		if err := w.replicas[twiceRanks-1].start(); err != nil {
			return 0, err
		}
		w.rec.now("replica %s is back", w.replicas[twiceRanks-1].id)
	}
	time.Sleep(formTime - twiceBefore)
	answers := make([]answer, twiceRequests)
	var done sync.WaitGroup
	for i := range answers {
		done.Add(1)
		go func() {
			defer done.Done()
			answers[i] = modelCall(fmt.Sprintf("a%07x", i)).send(e)
			w.rec.at(answers[i].endAt, "the client has its answer: %v", answers[i])
		}()
		w.rec.now("a client sends a%07x", i)
	}
	time.Sleep(twiceBefore)
	if w.trouble {
		m.form()
	}
	done.Wait()
	time.Sleep(time.Second)
	if err := w.checkProcesses(); err != nil {
		return 0, err
	}
	return m.checkTwice()
}

// secondAnswers decides which replicas send second answers.
type secondAnswers struct {
	mu sync.Mutex
	by map[string]bool
}

// due reports whether a replica sends a second answer now: each one once, after enough
// answers, and not too many of them.
func (g *secondAnswers) due(x *exchange) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.by[x.replica.id] || len(g.by) >= twiceFaulty || x.replica.answerCount() < twiceShare {
		return false
	}
	g.by[x.replica.id] = true
	return true
}

// checkTwice counts the requests that ran more than once.
func (m *model) checkTwice() (int, error) {
	byID := m.begunRuns()
	broken := 0
	var ids []string
	for id := range byID {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		runs := byID[id]
		if len(runs) < 2 {
			continue
		}
		broken++
		for i, r := range runs {
			m.world.rec.at(r.at, "run %d of %s at %s, %d events; %s", i+1, id, r.replica, r.events, r.ended)
		}
	}
	m.world.rec.verdict("%d requests ran, %d of them more than once", len(ids), broken)
	if len(ids) < twiceWarmUp/2 {
		return 0, fmt.Errorf("%w: only %d requests ran", errNotRun, len(ids))
	}
	return broken, nil
}
