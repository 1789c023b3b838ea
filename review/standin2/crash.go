package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	crashLength   = 60 * time.Second
	crashEntries  = 2
	crashDowntime = 2 * time.Second
	// fatalInterval is the time between two attempts of the request that crashes replicas.
	fatalInterval = 4 * time.Second
	soundInterval = 150 * time.Millisecond
	crashBudget   = 1500 * time.Millisecond
	fatalPath     = "/check/fatal"
	// crashesBefore and maxLateRetries are the figures of the rule.
	crashesBefore  = 3
	maxLateRetries = 3
)

// playCrash plays a request that crashes each replica that begins to run it. The replica is
// back some seconds later, under the ID that it had, and the request comes again. With NEWID=1,
// it is back under a new ID.
func playCrash(rec *recorder, trouble bool) (bool, error) {
	s, err := newSite(rec, []route{
		{Name: "check", Hostname: hostName, Prefix: "/check/", Type: "non_idempotent", Timeout: 800, Target: 100, Priority: 2, Service: "desk", Attempts: 1},
	}, []service{{Name: "desk", HealthPath: "/health", MaxConns: 110, Protocol: "h1"}})
	if err != nil {
		return false, err
	}
	defer s.close()
	p := &replica{
		site: s, id: "desk", service: "desk", slots: 6, downtime: crashDowntime, keepID: os.Getenv("NEWID") != "1",
		work:  func(*http.Request) time.Duration { return 15 * time.Millisecond },
		fatal: func(r *http.Request) bool { return trouble && r.URL.Path == fatalPath },
	}
	if err := p.start(); err != nil {
		return false, err
	}
	for range crashEntries {
		if _, err := s.addEntry(); err != nil {
			return false, err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), crashLength)
	defer cancel()
	var clients sync.WaitGroup
	clients.Add(2)
	sent := map[string]time.Time{}
	go func() {
		defer clients.Done()
		for every(ctx, fatalInterval) {
			q := request{id: fmt.Sprintf("fatal-%08x", rand.Uint32()), method: http.MethodPost, path: fatalPath, body: []byte("the same body"), budget: crashBudget}
			sent[q.id] = time.Now()
			askOnce(s, q)
		}
	}()
	go func() {
		defer clients.Done()
		for every(ctx, soundInterval) {
			q := request{id: fmt.Sprintf("sound-%08x", rand.Uint32()), method: http.MethodPost, path: "/check/1", body: fmt.Appendf(nil, "body %d", rand.Uint32()), budget: crashBudget}
			askOnce(s, q)
		}
	}()
	clients.Wait()
	return judgeCrash(rec, p, sent), nil
}

// every waits for an interval, and reports false once the context has ended.
func every(ctx context.Context, interval time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(interval):
		return true
	}
}

// askOnce sends a request on a new connection.
func askOnce(s *site, q request) {
	conn, err := dial(s.pickEntry())
	if err != nil {
		s.rec.add("client: %s not sent: %v", q.id, err)
		return
	}
	defer func() { _ = conn.Close() }()
	ans := conn.ask(q)
	s.rec.add("client: %s %s at %s: status %d %q, error %v", q.id, q.path, conn.entry.name, ans.status, ans.body, ans.err)
}

// judgeCrash counts how often the request reached the replica later than the stable window
// after it had crashed it for the third time.
func judgeCrash(rec *recorder, p *replica, sent map[string]time.Time) bool {
	crashes := p.crashTimes()
	reached, late := 0, 0
	for _, r := range p.allRuns() {
		if _, fatal := sent[r.id]; !fatal {
			continue
		}
		reached++
		if len(crashes) >= crashesBefore && r.began.After(crashes[crashesBefore-1].Add(stableWindow)) {
			late++
		}
	}
	rec.say("the request was sent %d times and reached the replica %d times; crashes %d; it reached the replica %d times later than %v after the third crash (at most %d)",
		len(sent), reached, len(crashes), late, stableWindow, maxLateRetries)
	return late > maxLateRetries
}
