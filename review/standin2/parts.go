package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// The figures of the rules on parts of prompts that crash replicas.
const (
	fatalCrashes   = 5
	maxFatalLate   = 3
	minSoundShare  = 0.5
	minSoundNumber = 20
)

const (
	fatalPart = "bad0"
	// promptStart is what all prompts of the route begin with.
	promptStart   = "c0:40"
	streamBudget  = 8 * time.Second
	partsReplicas = 4
	partsEntries  = 2
	partsDowntime = 2 * time.Second
	// cannedPrompts is the number of different prompts that sound requests have in the case
	// of canned prompts.
	cannedPrompts = 3
	// deepTurns is the number of earlier turns in the prompts of the case of long prompts.
	deepTurns = 64
)

// partsPlan is how requests come.
type partsPlan struct {
	length     time.Duration
	fatalFrom  time.Duration
	fatalEvery time.Duration
	soundEvery time.Duration
	canned     bool // sound requests have few different prompts
	// turns is the number of parts that all prompts have before those that differ.
	turns int
}

// partsResult is what a client saw of one request.
type partsResult struct {
	request
	fatal  bool
	sentAt time.Time
	answer answer
}

// partsLoad is the clients of the case.
type partsLoad struct {
	site *site
	plan partsPlan

	mu      sync.Mutex
	results []partsResult
}

// playCanned plays a part that crashes replicas beside sound requests with canned prompts, and
// judges whether these are still served. With DISTINCT=1, no two sound requests are alike.
func playCanned(rec *recorder, trouble bool) (bool, error) {
	plan := partsPlan{
		length: 50 * time.Second, fatalFrom: 12 * time.Second, fatalEvery: 1500 * time.Millisecond, soundEvery: 33 * time.Millisecond, canned: os.Getenv("DISTINCT") != "1",
	}
	l, replicas, err := playParts(rec, plan, trouble)
	if err != nil {
		return false, err
	}
	return l.judgeSound(rec, replicas), nil
}

// playQuiet plays a part that crashes replicas in a service with few other requests, and judges
// whether it is kept from replicas.
func playQuiet(rec *recorder, trouble bool) (bool, error) {
	plan := partsPlan{
		length: 50 * time.Second, fatalFrom: 5 * time.Second, fatalEvery: 400 * time.Millisecond, soundEvery: 20 * time.Second,
	}
	l, replicas, err := playParts(rec, plan, trouble)
	if err != nil {
		return false, err
	}
	return l.judgeFatal(rec, replicas), nil
}

// playDeep plays a part that crashes replicas and comes late in long prompts, as in a
// conversation of many turns, and judges whether it is kept from replicas.
func playDeep(rec *recorder, trouble bool) (bool, error) {
	plan := partsPlan{
		length: 50 * time.Second, fatalFrom: 10 * time.Second, fatalEvery: 1500 * time.Millisecond, soundEvery: 50 * time.Millisecond, turns: deepTurns,
	}
	l, replicas, err := playParts(rec, plan, trouble)
	if err != nil {
		return false, err
	}
	return l.judgeFatal(rec, replicas), nil
}

// playParts plays a plan in front of model replicas.
func playParts(rec *recorder, plan partsPlan, trouble bool) (*partsLoad, []*replica, error) {
	s, err := newSite(rec, []route{{
		Name: "draft", Hostname: hostName, Prefix: "/draft/", Type: "streaming", Timeout: 8000, Target: 500, Priority: 1,
		Service: "model", Attempts: 2, Sticky: true, Resumable: true, Gap: 120,
	}}, []service{{
		Name: "model", HealthPath: "/health", MaxConns: 258, Protocol: "h1",
		Engine: &engine{Slots: 12, KVCapacity: 280000, Stride: 4, Step: 4.55, PerSeq: 0.905, PerContext: 0.0183, ReadPerS: 61400, Chunk: 512, Usual: usual{Prompt: 835, Answer: 32}},
	}})
	if err != nil {
		return nil, nil, err
	}
	defer s.close()
	var replicas []*replica
	for i := range partsReplicas {
		p := &replica{
			site: s, id: fmt.Sprintf("model-%d", i), service: "model", slots: 12, downtime: partsDowntime,
			prefill: 100 * time.Millisecond, events: 14, eventGap: 40 * time.Millisecond,
			fatal: func(r *http.Request) bool {
				return trouble && strings.Contains(r.Header.Get("Burdockbend-Prompt-Prefix"), ","+fatalPart+":")
			},
		}
		if err := p.start(); err != nil {
			return nil, nil, err
		}
		replicas = append(replicas, p)
	}
	for range partsEntries {
		if _, err := s.addEntry(); err != nil {
			return nil, nil, err
		}
	}
	l := &partsLoad{site: s, plan: plan}
	l.play()
	return l, replicas, nil
}

// play sends the requests of the plan and waits for their answers.
func (l *partsLoad) play() {
	ctx, cancel := context.WithTimeout(context.Background(), l.plan.length)
	defer cancel()
	var sent sync.WaitGroup
	sent.Go(func() {
		for n := 0; every(ctx, l.plan.soundEvery); n++ {
			q := l.soundRequest()
			sent.Go(func() { l.send(q, false) })
		}
	})
	sent.Go(func() {
		if !every(ctx, l.plan.fatalFrom) {
			return
		}
		for every(ctx, l.plan.fatalEvery) {
			own := rand.Uint32()
			q := request{
				id: fmt.Sprintf("fatal-%08x", rand.Uint32()), method: http.MethodPost, path: fmt.Sprintf("/draft/%x", own), body: fmt.Appendf(nil, "prompt %x", own),
				budget: streamBudget, prompt: fmt.Sprintf("%s,%s:410,%x:250", l.promptStart(), fatalPart, own),
			}
			sent.Go(func() { l.send(q, true) })
		}
	})
	sent.Wait()
}

// promptStart returns the parts that all prompts begin with.
func (l *partsLoad) promptStart() string {
	start := promptStart
	for turn := range l.plan.turns {
		start += fmt.Sprintf(",%x:5", 0x100+turn)
	}
	return start
}

func (l *partsLoad) soundRequest() request {
	own := uint32(0xaa00) + rand.Uint32N(cannedPrompts)
	if !l.plan.canned {
		own = rand.Uint32()
	}
	return request{
		id: fmt.Sprintf("sound-%08x", rand.Uint32()), method: http.MethodPost, path: "/draft/2f", body: fmt.Appendf(nil, "prompt %x", own),
		budget: streamBudget, prompt: fmt.Sprintf("%s,%x:250", l.promptStart(), own),
	}
}

func (l *partsLoad) send(q request, fatal bool) {
	res := partsResult{request: q, fatal: fatal, sentAt: time.Now()}
	conn, err := dial(l.site.pickEntry())
	if err != nil {
		res.answer = answer{err: err}
	} else {
		res.answer = conn.ask(q)
		_ = conn.Close()
	}
	l.site.rec.add("client: %s, prompt %.40s, sent %.0f ms ago: status %d, %d bytes %.60q, error %v",
		q.id, q.prompt, time.Since(res.sentAt).Seconds()*1000, res.answer.status, len(res.answer.body), res.answer.body, res.answer.err)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, res)
}

// crashesOf returns the crashes of all replicas in their order.
func crashesOf(replicas []*replica) []time.Time {
	var all []time.Time
	for _, p := range replicas {
		all = append(all, p.crashTimes()...)
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
}

// judgeSound compares the share of the sound requests that began at their first attempt before
// the requests with the part came, and from twice the stable window after the fifth crash on, or
// after the last if there are fewer.
func (l *partsLoad) judgeSound(rec *recorder, replicas []*replica) bool {
	crashes := crashesOf(replicas)
	fatalFrom := rec.start.Add(l.plan.fatalFrom)
	for _, res := range l.results {
		if res.fatal && res.sentAt.Before(fatalFrom) {
			fatalFrom = res.sentAt
		}
	}
	var settled, lastFatal time.Time
	if len(crashes) > 0 {
		settled = crashes[min(fatalCrashes, len(crashes))-1].Add(2 * stableWindow)
	}
	for _, res := range l.results {
		if res.fatal && res.sentAt.After(lastFatal) {
			lastFatal = res.sentAt
		}
	}
	var before, after tally
	statuses := map[int]int{}
	for _, res := range l.results {
		switch {
		case res.fatal:
		case res.sentAt.Before(fatalFrom):
			before.add(res)
		case settled.IsZero() || res.sentAt.After(settled) && res.sentAt.Before(lastFatal):
			after.add(res)
			statuses[res.answer.status]++
		}
	}
	rec.say("%d crashes; sound requests that began at the first attempt: %d of %d before, %d of %d from %v after the crash number %d on, statuses %v",
		len(crashes), before.begun, before.sent, after.begun, after.sent, 2*stableWindow, min(fatalCrashes, len(crashes)), statuses)
	if before.sent < minSoundNumber || after.sent < minSoundNumber {
		return false
	}
	return after.share() < minSoundShare*before.share()
}

// tally counts requests.
type tally struct{ begun, sent int }

func (t *tally) add(res partsResult) {
	t.sent++
	if res.answer.status == http.StatusOK && res.answer.stamp != "" {
		t.begun++
	}
}

func (t *tally) share() float64 { return float64(t.begun) / float64(max(t.sent, 1)) }

// judgeFatal counts the requests with the part that reached replicas later than the stable window
// after the fifth crash.
func (l *partsLoad) judgeFatal(rec *recorder, replicas []*replica) bool {
	crashes := crashesOf(replicas)
	reached, late, sent := 0, 0, 0
	for _, res := range l.results {
		if res.fatal {
			sent++
		}
	}
	for _, p := range replicas {
		for _, r := range p.allRuns() {
			if !strings.HasPrefix(r.id, "fatal-") {
				continue
			}
			reached++
			if len(crashes) >= fatalCrashes && r.began.After(crashes[fatalCrashes-1].Add(stableWindow)) {
				late++
			}
		}
	}
	rec.say("%d requests with the part, %d reached replicas, %d crashes; %d reached replicas later than %v after the fifth crash (at most %d)",
		sent, reached, len(crashes), late, stableWindow, maxFatalLate)
	return late > maxFatalLate
}
