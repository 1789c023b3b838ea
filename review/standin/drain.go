package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	drainReplicas = 12
	// drainReplaced is a third of the replicas, replaced at one moment.
	drainReplaced = 4
	drainService  = "portal-wyplat"
	drainHost     = "portal.example"
	drainWork     = 60 * time.Millisecond
	drainEvery    = 4 * time.Millisecond // one request
	// drainStartFirst is how long before the old replicas leave the new ones are ready.
	drainStartFirst = 100 * time.Millisecond
	// drainSpread is the time between the removals of two entries.
	drainSpread = 20 * time.Millisecond
	// drainLinger is how long a replica that leaves serves beyond drainTime.
	drainLinger = 300 * time.Millisecond
)

// arrival is a request that a replica ran.
type arrival struct {
	id, replica string
	at          time.Time
}

// playDrain replaces a third of the replicas of a plain service. The new ones start first.
// The old ones report no draining: their entries are removed, and they go on serving for
// drainTime and a little longer. No request may reach them later than drainTime after that.
func playDrain(w *world) (int, error) {
	d := &drainCase{world: w, goneAt: map[string]time.Time{}}
	if err := d.start(); err != nil {
		return 0, err
	}
	l := &callLoop{stop: make(chan struct{}), entries: d.entries, every: drainEvery, next: func(n int) call {
		return call{id: fmt.Sprintf("%08x", n), path: "/verify/2f", host: drainHost, budget: 1500 * time.Millisecond, body: fmt.Sprint("iban ", n)}
	}}
	l.start()
	time.Sleep(2 * stableWindow)
	if w.trouble {
		if err := d.release(); err != nil {
			return 0, err
		}
	}
	for _, p := range w.replicas {
		if at, gone := d.goneAt[p.id]; gone {
			time.Sleep(time.Until(at.Add(drainTime + drainLinger)))
			p.stop()
			w.rec.now("replica %s exits", p.id)
		}
	}
	time.Sleep(2 * time.Second)
	answers := l.end()
	if err := w.checkProcesses(); err != nil {
		return 0, err
	}
	return d.check(answers)
}

// drainCase is the state of the case.
type drainCase struct {
	*world
	entries []*hosted
	goneAt  map[string]time.Time // when the store accepted that a replica is gone

	mu       sync.Mutex
	arrivals []arrival
}

// start starts the replicas and the entries.
func (d *drainCase) start() error {
	d.store.put("op/config", configuration{
		Version: 3, Limits: sheetLimits,
		Routes: []route{{
			Name: "iban-verify", Hostname: drainHost, Prefix: "/verify/", Type: "non_idempotent", Timeout: 800, Target: 100,
			Priority: 2, Service: drainService, Attempts: 1, Public: true,
		}},
		Services: []service{{Name: drainService}},
	})
	for i := range drainReplicas {
		if err := d.addReplica(d.replica(i)); err != nil {
			return err
		}
	}
	for _, name := range []string{"edge-1", "edge-2"} {
		e, err := d.startEntry(name)
		if err != nil {
			return err
		}
		d.entries = append(d.entries, e)
	}
	for _, e := range d.entries {
		if err := e.waitReady(); err != nil {
			return err
		}
	}
	return nil
}

func (d *drainCase) replica(i int) *replica {
	return &replica{id: fmt.Sprintf("i-%02d", i), service: drainService, zone: "hall-a", slots: 6, serve: d.serve}
}

// serve runs a request at a replica.
func (d *drainCase) serve(x *exchange) bool {
	x.replica.begin(1)
	defer x.replica.begin(-1)
	d.mu.Lock()
	d.arrivals = append(d.arrivals, arrival{x.id, x.replica.id, x.at})
	d.mu.Unlock()
	time.Sleep(drainWork)
	return x.respond(200, map[string]string{headerStamp: x.replica.id + "." + x.id}, "answer to "+x.id)
}

// release replaces replicas: the new ones start first, then the old ones leave.
func (d *drainCase) release() error {
	for i := range drainReplaced {
		if err := d.addReplica(d.replica(drainReplicas + i)); err != nil {
			return err
		}
	}
	time.Sleep(drainStartFirst)
	for _, p := range d.replicas[:drainReplaced] {
		d.goneAt[p.id] = d.store.remove("servers/" + p.id)
		d.rec.at(d.goneAt[p.id], "the store has accepted that %s is gone", p.id)
		time.Sleep(drainSpread)
	}
	return nil
}

// check counts the requests that reached a replica that had gone later than drainTime after
// the store had accepted that.
func (d *drainCase) check(answers []answer) (int, error) {
	byID := map[string]answer{}
	statuses := map[int]int{}
	for _, a := range answers {
		byID[a.id] = a
		statuses[a.status]++
	}
	late, lateLost, last := 0, 0, time.Duration(0)
	for _, run := range d.arrivals {
		goneAt, gone := d.goneAt[run.replica]
		if !gone {
			continue
		}
		after := run.at.Sub(goneAt)
		last = max(last, after)
		if after <= drainTime {
			continue
		}
		late++
		a := byID[run.id]
		if a.status != 200 {
			lateLost++
		}
		d.rec.at(run.at, "reaches %s %d ms after it was gone: request %s, sent to %s at %.3f s, got %d", run.replica, after.Milliseconds(), run.id, a.entry, d.rec.since(a.sentAt), a.status)
	}
	d.rec.verdict("%d requests, answers by status %v, %d runs", len(answers), statuses, len(d.arrivals))
	if d.trouble {
		d.rec.verdict("%d requests reached a replica later than %v after it was gone, the last one after %v; %d of them got no success", late, drainTime, last.Round(time.Millisecond), lateLost)
	}
	if len(d.arrivals) < 100 {
		return 0, fmt.Errorf("%w: only %d runs", errNotRun, len(d.arrivals))
	}
	return late, nil
}
