package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	silenceRanks   = 6
	silenceStreams = 12
	// silenceEvents and silencePause make streams of 3.5 seconds.
	silenceEvents = 60
	silencePause  = 58 * time.Millisecond
	// silenceEvery is the time between the starts of two streams.
	silenceEvery = 100 * time.Millisecond
	// silencePreempted is how long a request waits for memory in the middle of its stream.
	// Clients leave after a gap of two seconds.
	silencePreempted = 1500 * time.Millisecond
	// silenceAfter is the event after which that happens.
	silenceAfter = 15
)

// playSilence stops an entry as planned while streams run that may not be resumed. A replica
// runs out of memory and preempts the newest of its requests for a moment, in the middle of
// its stream. The stop may not cut off any stream.
func playSilence(w *world) (int, error) {
	preempted := map[string]bool{"b0000004": true, "b0000008": true}
	m := &model{world: w, events: silenceEvents, pause: silencePause, prefill: 90 * time.Millisecond}
	m.preempt = func(id string, event int) time.Duration {
		if !preempted[id] || event != silenceAfter {
			return 0
		}
		w.rec.now("the replica of %s preempts it for %v after event %d", id, silencePreempted, event)
		return silencePreempted
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
			m.world.rec.at(r.at, "run of %s at %s: %d events of %d; %s", a.id, r.replica, r.events, m.events, r.ended)
		}
		if a.whole && a.events == m.events {
			whole++
			continue
		}
		after := a.endAt.Sub(stoppedAt)
		if len(runs[a.id]) == 0 || after < 0 || after > grace*5/6 {
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
