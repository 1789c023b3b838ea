package burdockhostedproof

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// reply is what a caller got for one request. Its status is 0 if there was no whole
// response.
type reply struct {
	id     string
	method string
	target string
	entry  string
	status int
	stamp  string
	body   string
	header http.Header
	sentAt time.Time
	endAt  time.Time
}

// denied reports whether a proper request was turned away as if it were wrong, by
// something other than a replica. Statuses that promise "not run" are none of these.
func (r reply) denied() bool {
	switch r.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		return false
	}
	return r.stamp == "" && r.status >= http.StatusMultipleChoices && r.status < http.StatusInternalServerError
}

// load is a number of callers that send proper requests to all entries.
type load struct {
	site    *site
	seed    uint64
	cancel  context.CancelFunc
	done    sync.WaitGroup
	mu      sync.Mutex
	replies []reply
}

// pause is the time between two requests of a caller.
const pause = 10 * time.Millisecond

func (s *site) startLoad(callers int, seed uint64) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{site: s, seed: seed, cancel: cancel}
	l.done.Add(callers)
	for i := range callers {
		c := &caller{load: l, number: i, random: rand.New(rand.NewPCG(seed, uint64(i)))}
		go c.run(ctx)
	}
	return l
}

// stop ends the load and returns all replies.
func (l *load) stop() []reply {
	l.cancel()
	l.done.Wait()
	return l.replies
}

// caller sends one request after the other. Every second caller opens a connection for
// each request; the others keep theirs.
type caller struct {
	load   *load
	number int
	random *rand.Rand
	client *http.Client
}

func (c *caller) run(ctx context.Context) {
	defer c.load.done.Done()
	c.client = &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport:     &http.Transport{DisableKeepAlives: c.number%2 == 0},
		Timeout:       3 * time.Second,
	}
	defer c.client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		r := c.send(n)
		c.load.mu.Lock()
		c.load.replies = append(c.load.replies, r)
		c.load.mu.Unlock()
		time.Sleep(pause)
	}
}

// request returns the nth request: GETs without a body, and POSTs with a body of known or
// unknown length.
func (c *caller) request(n int, at string) *http.Request {
	method, path := http.MethodGet, fmt.Sprintf("/my66/%x", c.random.IntN(60))
	var body io.Reader
	switch c.random.IntN(4) {
	case 0:
		method, path, body = http.MethodPost, "/verify/", strings.NewReader(strings.Repeat("x", 600))
	case 1:
		method, path, body = http.MethodPost, "/verify/", io.MultiReader(strings.NewReader(strings.Repeat("x", 600)))
	}
	req, err := http.NewRequest(method, "http://"+at+path, body)
	if err != nil {
		panic(err) // unreachable: the addresses are those of listeners
	}
	req.Host = host
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Burdockbend-Attempt-Id", fmt.Sprintf("%x-%x-%x", c.load.seed, c.number, n))
	req.Header.Set("Burdockbend-Time-Budget-Ms", "1500")
	return req
}

func (c *caller) send(n int) reply {
	e := c.load.site.entries[c.random.IntN(len(c.load.site.entries))]
	req := c.request(n, e.callers)
	r := reply{id: req.Header.Get("Burdockbend-Attempt-Id"), method: req.Method, target: req.URL.Path, entry: e.name, sentAt: time.Now()}
	res, err := c.client.Do(req)
	if err != nil {
		return r
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return r
	}
	r.status, r.stamp, r.body, r.header = res.StatusCode, res.Header.Get("Burdockbend-Replica-Stamp"), string(body), res.Header
	r.endAt = time.Now()
	return r
}

// check fails the test for each reply that breaks a promise, and logs how many had which
// status.
func check(t *testing.T, seed uint64, replies []reply) {
	t.Helper()
	counts := map[string]int{}
	for _, r := range replies {
		counts[fmt.Sprintf("%s %d", r.method, r.status)]++
		switch {
		case r.denied():
			t.Errorf("seed %d: request %s (%s %s) at %s: got status %d without a stamp, want an answer of a replica, or a failure",
				seed, r.id, r.method, r.target, r.entry, r.status)
		case r.status == http.StatusOK && (!strings.HasSuffix(r.stamp, r.id) || r.body != "answer to "+r.id):
			t.Errorf("seed %d: request %s (%s %s) at %s: got stamp %q and body %q of another request", seed, r.id, r.method, r.target, r.entry, r.stamp, r.body)
		}
	}
	t.Logf("seed %d, %d requests: %v", seed, len(replies), counts)
}
