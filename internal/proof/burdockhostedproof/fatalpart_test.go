package burdockhostedproof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"burdockbend.example/burdockbend/platform/burdockfakeplatform"
)

// The bounds on requests with a part that crashes replicas, from crashSettleTime after the
// fatalCrashes-th crash on, and on sound requests from twice that time on.
const (
	fatalCrashes    = 5
	crashSettleTime = 3 * time.Second
	maxFatalLate    = 3
	minSoundShare   = 0.5
)

// partLoad is how requests with shared prompt parts come: one a tick, to a random entry.
type partLoad struct {
	site  *site
	fatal []*burdockfakeplatform.FatalPart
	// fatalEvery is the number of ticks between two bursts of requests with a fatal part,
	// burst the number of requests in each.
	fatalEvery, burst int
	random            *rand.Rand
	// turns is the number of parts that all prompts have before those that differ.
	turns int

	done    sync.WaitGroup
	mu      sync.Mutex
	replies []partReply
}

type partReply struct {
	status int
	sentAt time.Time
}

const (
	partTick     = 10 * time.Millisecond
	soundParts   = 40
	partDowntime = 700 * time.Millisecond
)

// run sends requests for as long as the context lasts. Until fatalFrom, none has a fatal part.
func (l *partLoad) run(ctx context.Context, fatalFrom time.Time) {
	ticker := time.NewTicker(partTick)
	defer ticker.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		<-ticker.C
		sound := fmt.Sprintf("c0:800,%x:100,%x:50", 0x100+l.random.IntN(soundParts), 0x10000+n)
		l.start(n, sound, true)
		if n%l.fatalEvery != 0 || time.Now().Before(fatalFrom) {
			continue
		}
		for i := range l.burst {
			part := l.fatal[l.random.IntN(len(l.fatal))]
			l.start(n, fmt.Sprintf("c0:800,%s:100,%x:50", part.ID, 0xf0000+n*l.burst+i), false)
		}
	}
	l.done.Wait()
}

func (l *partLoad) start(n int, prompt string, sound bool) {
	e := l.site.entries[l.random.IntN(len(l.site.entries))]
	l.done.Go(func() { l.send(e, n, prompt, sound) })
}

func (l *partLoad) send(e *entry, n int, prompt string, sound bool) {
	attemptID := prompt
	prompt = conversation(l.turns) + prompt
	req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/my66/%x", e.callers, n), nil)
	if err != nil {
		panic(err) // unreachable: the addresses are those of listeners
	}
	req.Host = host
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Burdockbend-Attempt-Id", attemptID)
	req.Header.Set("Burdockbend-Prompt-Prefix", prompt)
	req.Header.Set("Burdockbend-Time-Budget-Ms", "1500")
	r := partReply{sentAt: time.Now()}
	if res, err := http.DefaultClient.Do(req); err == nil {
		r.status = res.StatusCode
		_ = res.Body.Close()
	}
	if sound {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.replies = append(l.replies, r)
	}
}

// conversation returns the parts of a prompt for a number of earlier turns.
func conversation(turns int) string {
	var parts strings.Builder
	for i := range turns {
		_, _ = fmt.Fprintf(&parts, "%x:20,", 0x1000+i)
	}
	return parts.String()
}

// soundShare returns the share of the sound requests sent between two times that were
// answered with success, and their number.
func (l *partLoad) soundShare(from, to time.Time) (share float64, n int) {
	served := 0
	for _, r := range l.replies {
		if r.sentAt.Before(from) || !r.sentAt.Before(to) {
			continue
		}
		n++
		if r.status == http.StatusOK {
			served++
		}
	}
	return float64(served) / float64(max(n, 1)), n
}

// startFatalSite starts entries in front of 16 replicas that the parts crash.
func startFatalSite(t *testing.T, entries int, keepID bool, fatal ...*burdockfakeplatform.FatalPart) *site {
	t.Helper()
	s := startSite(t, entries, 0, nil)
	for i := range 16 {
		p, err := burdockfakeplatform.StartProcess(burdockfakeplatform.ProcessConfig{
			Name: fmt.Sprint("fatal-", i), Service: service, Zone: "hall-a", Slots: 16,
			Work: 2 * workTime, Downtime: partDowntime, KeepID: keepID, Fatal: fatal,
		}, s.store)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Close)
	}
	return s
}

// Guards against one part of prompts that crashes one replica after the other, whatever else
// the requests with it hold.
func TestPartThatCrashesReplicasIsKeptFromThem(t *testing.T) {
	for _, c := range []struct {
		name              string
		entries           int
		fatalEvery, burst int
		parts             int
		keepID            bool
		turns             int
	}{
		{name: "one at a time", entries: 2, fatalEvery: 15, burst: 1, parts: 1},
		{name: "six at once, twelve entries", entries: 12, fatalEvery: 90, burst: 6, parts: 1},
		{name: "replicas keep their IDs", entries: 4, fatalEvery: 15, burst: 1, parts: 1, keepID: true},
		{name: "two parts", entries: 4, fatalEvery: 15, burst: 2, parts: 2},
		{name: "late in long prompts", entries: 4, fatalEvery: 15, burst: 1, parts: 1, turns: 1000},
	} {
		t.Run(c.name, func(t *testing.T) {
			var fatal []*burdockfakeplatform.FatalPart
			for i := range c.parts {
				fatal = append(fatal, &burdockfakeplatform.FatalPart{ID: fmt.Sprintf("bad%d", i)})
			}
			s := startFatalSite(t, c.entries, c.keepID, fatal...)
			l := &partLoad{site: s, fatal: fatal, fatalEvery: c.fatalEvery, burst: c.burst, turns: c.turns, random: rand.New(rand.NewPCG(*seedFlag, 5))}
			began := time.Now()
			fatalFrom := began.Add(time.Second)
			ctx, cancel := context.WithDeadline(context.Background(), began.Add(11*time.Second))
			defer cancel()
			l.run(ctx, fatalFrom)
			checkFatal(t, l, began, fatalFrom)
		})
	}
}

// checkFatal fails the test if too many requests with a fatal part reached replicas, or too few
// sound ones were served.
func checkFatal(t *testing.T, l *partLoad, began, fatalFrom time.Time) {
	t.Helper()
	settled := fatalFrom
	for _, part := range l.fatal {
		crashes := part.Crashes()
		if len(crashes) == 0 {
			t.Fatalf("seed %d: part %s crashed no replica, want some", *seedFlag, part.ID)
		}
		bound := crashes[min(fatalCrashes, len(crashes))-1].Add(crashSettleTime)
		late := 0
		for _, a := range part.Arrivals() {
			if len(crashes) >= fatalCrashes && a.At.After(bound) {
				late++
			}
		}
		t.Logf("part %s: %d crashes, %d arrivals, %d late", part.ID, len(crashes), len(part.Arrivals()), late)
		if late > maxFatalLate {
			t.Errorf("seed %d: requests with part %s at replicas later than %v after the %dth crash: got %d, want at most %d",
				*seedFlag, part.ID, crashSettleTime, fatalCrashes, late, maxFatalLate)
		}
		if at := bound.Add(crashSettleTime); at.After(settled) {
			settled = at
		}
	}
	before, _ := l.soundShare(began, fatalFrom)
	after, n := l.soundShare(settled, time.Now())
	t.Logf("sound requests served: %.3f before, %.3f of %d at the end", before, after, n)
	if n < 20 || after < minSoundShare*before {
		t.Errorf("seed %d: sound requests served: got %.3f of %d, want at least %.2f of %.3f", *seedFlag, after, n, minSoundShare, before)
	}
}

// Guards against an entry that has just started, knows of no crash and offers upstreams what
// the others keep from them.
func TestStartedEntryKnowsQuarantinedParts(t *testing.T) {
	part := &burdockfakeplatform.FatalPart{ID: "bad0"}
	s := startFatalSite(t, 2, false, part)
	l := &partLoad{site: s, fatal: []*burdockfakeplatform.FatalPart{part}, fatalEvery: 15, burst: 1, random: rand.New(rand.NewPCG(*seedFlag, 6))}
	began := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(5*time.Second))
	defer cancel()
	l.run(ctx, began.Add(time.Second))
	before := len(part.Arrivals())
	e := s.entries[0]
	e.Kill()
	e.start(t)
	e.waitReady(t)
	for i := range 20 {
		l.send(e, i, fmt.Sprintf("c0:800,%s:100,%x:50", part.ID, 0xe0000+i), false)
	}
	if got := len(part.Arrivals()) - before; before == 0 || got != 0 {
		t.Errorf("requests with the part from the started entry: got %d after %d before, want none after some", got, before)
	}
}
