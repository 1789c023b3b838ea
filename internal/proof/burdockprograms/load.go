package burdockprograms

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Sent is a finished call of a Load with its answer.
type Sent struct {
	Call   Call
	Prompt string
	Tokens int
	Entry  string
	Answer Answer
	Took   time.Duration
}

// Load sends calls from several concurrent callers until it is stopped. Each caller keeps
// its connections alive and rotates through the ready entries, as the platform's balancer
// distributes calls.
type Load struct {
	fleet   *Fleet
	callers int
	next    func(caller, n int) (prompt string, tokens int, call Call)
	cancel  context.CancelFunc
	stop    chan struct{}
	done    sync.WaitGroup
	ready   func(*Entry) bool

	mu   sync.Mutex
	sent []Sent
}

// StreamedChats returns a generator of streamed chat calls for StartLoad. Every call has a
// different prompt.
func StreamedChats(tokens int) func(caller, n int) (string, int, Call) {
	return func(caller, n int) (string, int, Call) {
		prompt := fmt.Sprintf("caller %d call %d", caller, n)
		return prompt, tokens, Chat(prompt, tokens, true)
	}
}

// StartLoad starts the given number of callers, which each send the calls returned by
// next, one at a time.
func (f *Fleet) StartLoad(callers int, next func(caller, n int) (string, int, Call)) *Load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Load{fleet: f, callers: callers, next: next, cancel: cancel, stop: make(chan struct{}), ready: entryReady}
	l.done.Add(callers)
	for i := range callers {
		go (&loadCaller{load: l, number: i, client: &http.Client{Transport: &http.Transport{}}}).run(ctx)
	}
	return l
}

// entryReady checks an entry's readiness in the way of the platform's balancer.
func entryReady(e *Entry) bool {
	status, _ := Get("http://" + e.Callers + "/readyz")
	return status == http.StatusOK
}

// Stop waits until each caller has finished its current call, and returns all calls.
func (l *Load) Stop() []Sent {
	close(l.stop)
	l.done.Wait()
	l.cancel()
	return l.sent
}

// Len returns the number of calls finished so far.
func (l *Load) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.sent)
}

type loadCaller struct {
	load   *Load
	number int
	client *http.Client
}

func (c *loadCaller) run(ctx context.Context) {
	defer c.load.done.Done()
	defer c.client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-c.load.stop:
			return
		default:
		}
		if e := c.entry(n); e != nil {
			c.send(ctx, e, n)
		}
	}
}

// entry returns the next ready entry for the caller's nth call; nil if none is ready.
func (c *loadCaller) entry(n int) *Entry {
	entries := c.load.fleet.Entries
	for i := range entries {
		if e := entries[(c.number+n+i)%len(entries)]; c.load.ready(e) {
			return e
		}
	}
	return nil
}

func (c *loadCaller) send(ctx context.Context, e *Entry, n int) {
	prompt, tokens, call := c.load.next(c.number, n)
	started := time.Now()
	answer := c.load.fleet.SendWith(ctx, c.client, e, call)
	sent := Sent{Call: call, Prompt: prompt, Tokens: tokens, Entry: e.Name, Answer: answer, Took: time.Since(started)}
	c.load.mu.Lock()
	defer c.load.mu.Unlock()
	c.load.sent = append(c.load.sent, sent)
}
