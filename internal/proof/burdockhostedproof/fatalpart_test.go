package burdockhostedproof

import (
	"cmp"
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
	// canned is the number of different sound requests; 0 if no two are alike.
	canned int

	done    sync.WaitGroup
	mu      sync.Mutex
	replies []partReply
}

// partRequest is a request of a partLoad.
type partRequest struct {
	id, path, prompt string
	sound            bool
}

type partReply struct {
	status int
	sentAt time.Time
}

const (
	partTick     = 10 * time.Millisecond
	soundParts   = 40
	partDowntime = 700 * time.Millisecond
	// minPartLoad and maxPartLoad bound how long requests come. They come for soundSpan after
	// the time from which sound ones count, which is late on a busy machine.
	minPartLoad = 11 * time.Second
	maxPartLoad = time.Minute
	soundSpan   = time.Second
)

// run sends requests for as long as the context lasts. Until fatalFrom, none has a fatal part.
func (l *partLoad) run(ctx context.Context, fatalFrom time.Time) {
	ticker := time.NewTicker(partTick)
	defer ticker.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		<-ticker.C
		l.start(l.soundRequest(n))
		if n%l.fatalEvery != 0 || time.Now().Before(fatalFrom) {
			continue
		}
		for i := range l.burst {
			part := l.fatal[l.random.IntN(len(l.fatal))]
			l.start(fatalRequest(part, n*l.burst+i))
		}
	}
	l.done.Wait()
}

// soundRequest returns the nth sound request.
func (l *partLoad) soundRequest(n int) partRequest {
	topic, rest := 0x100+l.random.IntN(soundParts), 0x10000+n
	path := rest
	if l.canned > 0 {
		topic = 0x100 + l.random.IntN(l.canned)
		path, rest = topic, topic
	}
	return partRequest{
		id: fmt.Sprintf("sound-%d", n), path: fmt.Sprintf("/my66/%x", path),
		prompt: fmt.Sprintf("c0:800,%x:100,%x:50", topic, rest), sound: true,
	}
}

// fatalRequest returns the nth request with a part that crashes replicas.
func fatalRequest(part *burdockfakeplatform.FatalPart, n int) partRequest {
	return partRequest{
		id: fmt.Sprintf("%s-%d", part.ID, n), path: fmt.Sprintf("/my66/fatal/%x", n),
		prompt: fmt.Sprintf("c0:800,%s:100,%x:50", part.ID, 0xf0000+n),
	}
}

func (l *partLoad) start(r partRequest) {
	e := l.site.entries[l.random.IntN(len(l.site.entries))]
	l.done.Go(func() { l.send(e, r) })
}

func (l *partLoad) send(e *entry, r partRequest) {
	req, err := http.NewRequest(http.MethodGet, "http://"+e.callers+r.path, nil)
	if err != nil {
		panic(err) // unreachable: the addresses are those of listeners
	}
	req.Host = host
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Burdockbend-Attempt-Id", r.id)
	req.Header.Set("Burdockbend-Prompt-Prefix", conversation(l.turns)+r.prompt)
	req.Header.Set("Burdockbend-Time-Budget-Ms", "1500")
	got := partReply{sentAt: time.Now()}
	if res, err := http.DefaultClient.Do(req); err == nil {
		got.status = res.StatusCode
		_ = res.Body.Close()
	}
	if r.sound {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.replies = append(l.replies, got)
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

// fatalSite tells how many entries and replicas a site has, and how the replicas work.
type fatalSite struct {
	entries, replicas int
	work              time.Duration
	keepID            bool
}

// start starts entries in front of replicas that the parts crash.
func (c fatalSite) start(t *testing.T, fatal ...*burdockfakeplatform.FatalPart) *site {
	t.Helper()
	s := startSite(t, c.entries, 0, nil)
	for i := range cmp.Or(c.replicas, 16) {
		p, err := burdockfakeplatform.StartProcess(burdockfakeplatform.ProcessConfig{
			Name: fmt.Sprint("fatal-", i), Service: service, Zone: "hall-a", Slots: 16,
			Work: cmp.Or(c.work, 2*workTime), Downtime: partDowntime, KeepID: c.keepID, Fatal: fatal,
		}, s.store)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Close)
	}
	return s
}

// Guards against one part of prompts that crashes one replica after the other, whatever else
// the requests with it hold, and against sound requests that are taken for such a request.
func TestPartThatCrashesReplicasIsKeptFromThem(t *testing.T) {
	for _, c := range []struct {
		name              string
		site              fatalSite
		fatalEvery, burst int
		parts             int
		turns, canned     int
	}{
		{name: "one at a time", site: fatalSite{entries: 2}, fatalEvery: 15, burst: 1, parts: 1},
		{name: "six at once, twelve entries", site: fatalSite{entries: 12}, fatalEvery: 90, burst: 6, parts: 1},
		{name: "replicas keep their IDs", site: fatalSite{entries: 4, keepID: true}, fatalEvery: 15, burst: 1, parts: 1},
		{name: "two parts", site: fatalSite{entries: 4}, fatalEvery: 15, burst: 2, parts: 2},
		{name: "late in long prompts", site: fatalSite{entries: 4}, fatalEvery: 15, burst: 1, parts: 1, turns: 1000},
		{
			name: "beside three canned prompts", site: fatalSite{entries: 2, replicas: 4, work: 250 * time.Millisecond},
			fatalEvery: 120, burst: 1, parts: 1, canned: 3,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			var fatal []*burdockfakeplatform.FatalPart
			for i := range c.parts {
				fatal = append(fatal, &burdockfakeplatform.FatalPart{ID: fmt.Sprintf("bad%d", i)})
			}
			s := c.site.start(t, fatal...)
			l := &partLoad{site: s, fatal: fatal, fatalEvery: c.fatalEvery, burst: c.burst, turns: c.turns, canned: c.canned, random: rand.New(rand.NewPCG(*seedFlag, 5))}
			began := time.Now()
			fatalFrom := began.Add(time.Second)
			ctx, cancel := context.WithTimeout(context.Background(), maxPartLoad)
			defer cancel()
			go (&loadEnd{load: l, notBefore: began.Add(minPartLoad), cancel: cancel}).run(ctx)
			l.run(ctx, fatalFrom)
			checkFatal(t, l, began, fatalFrom)
		})
	}
}

// loadEnd ends a load some time after sound requests have begun to count, and not before a given
// time.
type loadEnd struct {
	load      *partLoad
	notBefore time.Time
	cancel    context.CancelFunc
}

func (e *loadEnd) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(partTick)
		now := time.Now()
		if now.After(e.notBefore) && now.After(e.load.settledAt().Add(soundSpan)) {
			e.cancel()
		}
	}
}

// settledAt returns from when on sound requests count, given the crashes so far.
func (l *partLoad) settledAt() time.Time {
	var at time.Time
	for _, part := range l.fatal {
		crashes := part.Crashes()
		if len(crashes) == 0 {
			continue
		}
		if settled := lateFrom(crashes).Add(crashSettleTime); settled.After(at) {
			at = settled
		}
	}
	return at
}

// lateFrom returns from when on requests with a part are late, given the crashes that it caused.
func lateFrom(crashes []time.Time) time.Time {
	return crashes[min(fatalCrashes, len(crashes))-1].Add(crashSettleTime)
}

// checkFatal fails the test if too many requests with a fatal part reached replicas, or too few
// sound ones were served.
func checkFatal(t *testing.T, l *partLoad, began, fatalFrom time.Time) {
	t.Helper()
	for _, part := range l.fatal {
		crashes := part.Crashes()
		if len(crashes) == 0 {
			t.Fatalf("seed %d: part %s crashed no replica, want some", *seedFlag, part.ID)
		}
		bound, late := lateFrom(crashes), 0
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
	}
	before, _ := l.soundShare(began, fatalFrom)
	after, n := l.soundShare(l.settledAt(), time.Now())
	t.Logf("sound requests served: %.3f before, %.3f of %d at the end", before, after, n)
	if n < 20 || after < minSoundShare*before {
		t.Errorf("seed %d: sound requests served: got %.3f of %d, want at least %.2f of %.3f", *seedFlag, after, n, minSoundShare, before)
	}
}

// Guards against an entry that has just started, knows of no crash and offers upstreams what
// the others keep from them.
func TestStartedEntryKnowsQuarantinedParts(t *testing.T) {
	part := &burdockfakeplatform.FatalPart{ID: "bad0"}
	s := fatalSite{entries: 2}.start(t, part)
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
		l.send(e, fatalRequest(part, 0xe0000+i))
	}
	if got := len(part.Arrivals()) - before; before == 0 || got != 0 {
		t.Errorf("requests with the part from the started entry: got %d after %d before, want none after some", got, before)
	}
}
