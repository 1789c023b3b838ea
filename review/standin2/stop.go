package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	stopEntries  = 3
	stopped      = 2 // entries that are stopped, one after the other
	stopClients  = 2400
	stopReplicas = 12
	stopSlots    = 6
	// lookupWork and filingWork are how long the two kinds of requests of one service take.
	lookupWork = 15 * time.Millisecond
	filingWork = 1500 * time.Millisecond
	// filingShare is the share of the slow kind.
	filingShare = 0.1
	stopBudget  = 2500 * time.Millisecond
	// Each client sends its next request minThink to maxThink after the last one. Both are less
	// than four fifths of the idle timeout.
	minThink = 8 * time.Second
	maxThink = 11500 * time.Millisecond
	stopWarm = 13 * time.Second
	stopGap  = 13 * time.Second
	// lateStart is how long after SIGTERM a request has to be sent so that the rule doesn't
	// excuse it if its replica works into the last sixth of the grace time.
	lateStart = 3 * time.Second
	// maxUnplanned is how many requests may be lost at any other time.
	maxUnplanned = 3
)

// stopResult is what a client saw of one request.
type stopResult struct {
	request
	entry  string
	sentAt time.Time
	endAt  time.Time
	answer answer
}

// stopLoad is the clients of the case.
type stopLoad struct {
	site *site

	mu      sync.Mutex
	results []stopResult
	opened  int
	failed  int // connections that could not be opened
}

// playStop plays planned restarts of entries, one at a time, while clients go on using the
// connections that they have open. A service gets quick requests and slow ones.
func playStop(rec *recorder, trouble bool) (bool, error) {
	s, err := newSite(rec, []route{
		{Name: "lookup", Hostname: hostName, Prefix: "/lookup/", Type: "idempotent", Timeout: 2500, Target: 150, Priority: 1, Service: "desk", Attempts: 2},
		{Name: "filing", Hostname: hostName, Prefix: "/filing/", Type: "non_idempotent", Timeout: 2500, Target: 1500, Priority: 1, Service: "desk", Attempts: 1},
	}, []service{{Name: "desk", HealthPath: "/health", MaxConns: 680, Protocol: "h1"}})
	if err != nil {
		return false, err
	}
	defer s.close()
	var replicas []*replica
	for i := range stopReplicas {
		p := &replica{site: s, id: fmt.Sprintf("desk-%d", i), service: "desk", slots: stopSlots, keepID: true, work: stopWork}
		if err := p.start(); err != nil {
			return false, err
		}
		replicas = append(replicas, p)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range stopEntries {
		e, err := s.addEntry()
		if err != nil {
			return false, err
		}
		go e.watchReady(ctx)
	}
	l := &stopLoad{site: s}
	var clients sync.WaitGroup
	for range stopClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			l.client(ctx)
		}()
	}
	time.Sleep(stopWarm)
	stoppedAt := map[string]time.Time{}
	for _, e := range s.entries[:stopped] {
		if trouble {
			rec.say("SIGTERM to %s", e.name)
			stoppedAt[e.name] = time.Now()
			e.terminate()
			rec.say("%s has ended %.1f s after SIGTERM", e.name, time.Since(stoppedAt[e.name]).Seconds())
			if err := e.start(); err != nil {
				return false, err
			}
		} else {
			time.Sleep(graceTime)
		}
		time.Sleep(stopGap)
	}
	cancel()
	clients.Wait()
	return l.judge(rec, replicas, stoppedAt), nil
}

func stopWork(r *http.Request) time.Duration {
	if strings.HasPrefix(r.URL.Path, "/filing/") {
		return filingWork
	}
	return lookupWork
}

// client sends requests one after the other, on one connection as long as that stays open.
func (l *stopLoad) client(ctx context.Context) {
	var conn *kept
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	think := time.Duration(rand.Int64N(int64(maxThink)))
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(think):
		}
		think = minThink + time.Duration(rand.Int64N(int64(maxThink-minThink)))
		if conn == nil {
			var err error
			if conn, err = dial(l.site.pickEntry()); err != nil {
				l.count(0, 1)
				continue
			}
			l.count(1, 0)
		}
		if l.send(conn) {
			_ = conn.Close()
			conn = nil
		}
	}
}

func (l *stopLoad) count(opened, failed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.opened += opened
	l.failed += failed
}

// send sends one request, and reports whether the connection can't be used again.
func (l *stopLoad) send(conn *kept) bool {
	q := request{id: fmt.Sprintf("%016x", rand.Uint64()), method: http.MethodGet, path: "/lookup/1", budget: stopBudget}
	if rand.Float64() < filingShare {
		q.method, q.path, q.body = http.MethodPost, "/filing/1", []byte("a filing")
	}
	res := stopResult{request: q, entry: conn.entry.name, sentAt: time.Now()}
	res.answer = conn.ask(q)
	res.endAt = time.Now()
	l.site.rec.add("client: %s %s at %s, sent %.0f ms ago: status %d, stamp %q, error %v", q.id, q.path, res.entry,
		res.endAt.Sub(res.sentAt).Seconds()*1000, res.answer.status, res.answer.stamp, res.answer.err)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, res)
	return res.answer.closes
}

// judge counts the requests that were lost around a planned stop: a replica ran them, and the
// connection ended without an answer before the client's deadline and the route's timeout.
func (l *stopLoad) judge(rec *recorder, replicas []*replica, stoppedAt map[string]time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := map[string]run{}
	for _, p := range replicas {
		for _, r := range p.allRuns() {
			runs[r.id] = r
		}
	}
	statuses := map[int]int{}
	lost, excused, unplanned := 0, 0, 0
	for _, res := range l.results {
		statuses[res.answer.status]++
		ran, passed := runs[res.id]
		if res.answer.err == nil || !passed || res.endAt.Sub(res.sentAt) >= res.budget {
			continue
		}
		at, planned := stoppedAt[res.entry]
		after := res.sentAt.Sub(at)
		switch {
		case !planned || after < 0 || after > graceTime+time.Second:
			unplanned++
			rec.say("lost beside a planned stop: %s at %s: %v", res.id, res.entry, res.answer.err)
		case after <= lateStart:
			excused++
		default:
			lost++
			rec.say("lost: %s %s, sent to %s %.2f s after its SIGTERM on a kept connection, ran at %s from %.2f s on, connection ended at %.2f s: %v",
				res.id, res.path, res.entry, after.Seconds(), ran.replica, ran.began.Sub(at).Seconds(), res.endAt.Sub(at).Seconds(), res.answer.err)
		}
	}
	rec.say("%d requests, by status (0: none) %v; %d connections opened, %d not; lost %d, excused as sent within %v of SIGTERM %d, lost beside a planned stop %d (at most %d)",
		len(l.results), statuses, l.opened, l.failed, lost, lateStart, excused, unplanned, maxUnplanned)
	return lost > 0 || unplanned > maxUnplanned
}
