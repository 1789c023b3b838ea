package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	silenceRanks   = 6
	silenceStreams = 10
	// silenceEvents and silencePause make streams of 3.5 seconds.
	silenceEvents = answerTokens / eventTokens
	silencePause  = 58 * time.Millisecond
	// silenceEvery is the time between the starts of two streams.
	silenceEvery = 100 * time.Millisecond
	// silenceSlots is the number of requests that a replica runs at once. Its memory bears two
	// until they have written half of their answers.
	silenceSlots  = 2
	silenceMemory = 1800
	// silenceAccepted is the gap between two events after which clients leave.
	silenceAccepted = 2 * time.Second
)

// playSilence stops an entry as planned while streams run that may not be resumed. Replicas
// run out of memory and preempt their newest request for a moment, in the middle of its
// stream. The stop may not cut off any stream.
func playSilence(w *world) (int, error) {
	m := &model{
		world: w, events: silenceEvents, pause: silencePause, prefill: 90 * time.Millisecond,
		slots: silenceSlots, memory: silenceMemory,
	}
	if err := m.start(silenceRanks); err != nil {
		return 0, err
	}
	var entries []*hosted
	for _, name := range []string{"edge-1", "edge-2"} {
		e, err := w.startEntry(name)
		if err != nil {
			return 0, err
		}
		entries = append(entries, e)
	}
	for _, e := range entries {
		if err := e.waitReady(); err != nil {
			return 0, err
		}
	}
	time.Sleep(2 * stableWindow)
	answers := make([]answer, silenceStreams)
	var done sync.WaitGroup
	for i := range answers {
		done.Add(1)
		go func() {
			defer done.Done()
			answers[i] = modelCall(fmt.Sprintf("b%07x", i)).send(entries[0])
		}()
		w.rec.now("a client sends b%07x to %s", i, entries[0].name)
		time.Sleep(silenceEvery)
	}
	stoppedAt := time.Now()
	if w.trouble {
		entries[0].terminate()
		w.rec.at(stoppedAt, "SIGTERM to %s", entries[0].name)
	}
	done.Wait()
	time.Sleep(time.Second) // runs whose connections were closed notice it
	if err := w.checkOthers(entries[0]); err != nil {
		return 0, err
	}
	return m.checkSilence(answers, stoppedAt)
}

// checkOthers returns an error if a process has ended other than the one that was stopped.
func (w *world) checkOthers(stopped *hosted) error {
	for _, h := range w.processes {
		if h != stopped && h.ended() {
			return fmt.Errorf("%w: %s has ended", errNotRun, h.name)
		}
	}
	return nil
}

// checkSilence counts the streams that ended without a complete answer around the planned
// stop: from the SIGTERM until a second after the grace time, without those whose replica
// broke off or was at work in the last sixth of the grace time.
func (m *model) checkSilence(answers []answer, stoppedAt time.Time) (int, error) {
	runs := m.begunRuns()
	broken, whole := 0, 0
	for _, a := range answers {
		m.world.rec.at(a.endAt, "sent at %.3f s: %v", m.world.rec.since(a.sentAt), a)
		for _, r := range runs[a.id] {
			m.world.rec.at(r.at, "run of %s at %s: %d events of %d, waited %d ms for memory; %s", a.id, r.replica, r.events, m.events, r.waited.Milliseconds(), r.ended)
		}
		if a.whole && a.events == m.events {
			whole++
			continue
		}
		after := a.endAt.Sub(stoppedAt)
		if len(runs[a.id]) == 0 || after < 0 || after > grace*5/6 {
			continue
		}
		if waited := runs[a.id][0].waited + silencePause; waited >= silenceAccepted {
			m.world.rec.verdict("%s would have been left by its client: its replica was silent for %v", a.id, waited)
			continue
		}
		if !m.world.trouble {
			m.world.rec.verdict("%s was cut off without planned work, which the rule does not count", a.id)
			continue
		}
		broken++
		m.world.rec.verdict("%s was cut off %d ms after the SIGTERM, after %d events of %d", a.id, after.Milliseconds(), a.events, m.events)
	}
	m.world.rec.verdict("%d of %d streams were whole", whole, len(answers))
	return broken, nil
}
