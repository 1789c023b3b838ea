package burdockconfigproof

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/external/burdockstore"
	"burdockbend.example/burdockbend/internal/proof/burdockprograms"
	"burdockbend.example/burdockbend/internal/standin/burdockfakestore"
	"burdockbend.example/burdockbend/internal/standin/burdockfault"
	"burdockbend.example/burdockbend/internal/state/burdockconfig"
	"burdockbend.example/burdockbend/internal/state/burdocksync"
	"go.uber.org/zap"
)

const (
	// herdWatchers is the number of entries that the design allows for.
	herdWatchers = 350
	herdSample   = 100 * time.Millisecond
	herdOutage   = 20 * time.Second
)

// callCounter samples the number of calls that a store receives.
type callCounter struct {
	injector *burdockfault.Injector
	stop     chan struct{}
	done     chan struct{}
	samples  []int
}

func newCallCounter(injector *burdockfault.Injector) *callCounter {
	c := &callCounter{injector: injector, stop: make(chan struct{}), done: make(chan struct{})}
	go c.run()
	return c
}

func (c *callCounter) total() int {
	total := 0
	for _, n := range c.injector.Counts() {
		total += n
	}
	return total
}

func (c *callCounter) run() {
	defer close(c.done)
	ticker := time.NewTicker(herdSample)
	defer ticker.Stop()
	last := c.total()
	for {
		select {
		case <-ticker.C:
			now := c.total()
			c.samples = append(c.samples, now-last)
			last = now
		case <-c.stop:
			return
		}
	}
}

// log stops the sampling and logs the mean rate and the maximum within one second.
func (c *callCounter) log(t *testing.T, name string) {
	t.Helper()
	close(c.stop)
	<-c.done
	const second = int(time.Second / herdSample)
	total, peak := 0, 0
	for i, n := range c.samples {
		total += n
		within := 0
		for _, m := range c.samples[max(0, i-second+1) : i+1] {
			within += m
		}
		peak = max(peak, within)
	}
	span := time.Duration(len(c.samples)) * herdSample
	t.Logf("%s: %d calls in %v, %.0f/s, at most %d within one second", name, total, span, float64(total)/span.Seconds(), peak)
}

// The watchers of a fleet of the design's size lose the store at one moment and reach it
// again at one moment. During the outage each retries every 5 to 10 s, so their return is
// spread over as long, and each lists the configuration once. One edit and a burst of 200
// edits, which all watchers receive, are measured as well.
func TestReturnOfStoreBringsNoHerd(t *testing.T) {
	t.Parallel()
	clock := burdockclock.System()
	injector := burdockfault.NewInjector(burdockfakestore.New(clock))
	web := httptest.NewServer(injector)
	defer web.Close()
	address := strings.TrimPrefix(web.URL, "http://")
	writer := burdocksync.NewWriter(burdockstore.NewHTTP([]string{address}))
	write := func(key, value string) {
		if _, err := writer.Write(t.Context(), burdocksync.Edit{Key: key, Value: []byte(value), AnyBase: true}); err != nil {
			t.Fatal(err)
		}
	}
	write("profile/bench", "1")
	var views []*burdockconfig.View
	waitVersion := func(key string, want int) {
		for _, v := range views {
			burdockprograms.Eventually(t, "all watchers have applied the edit", func() bool {
				e, _ := v.Get(key)
				return int(e.Version) == want
			})
		}
	}
	for range herdWatchers {
		view := burdockconfig.NewView()
		views = append(views, view)
		w := burdocksync.NewWatcher(burdockstore.NewHTTP([]string{address}), view, burdocksync.NewSource(clock), clock, zap.NewNop())
		w.Start()
		defer w.Close()
	}
	waitVersion("profile/bench", 1)
	span := func(name string, during func()) {
		c := newCallCounter(injector)
		during()
		c.log(t, name)
	}
	span("idle", func() { time.Sleep(herdOutage) })
	span("one edit", func() { write("profile/bench", "2"); waitVersion("profile/bench", 2); time.Sleep(2 * time.Second) })
	span("200 edits", func() {
		for i := range 200 {
			write("upstream/u", string(rune('a'+i%2)))
		}
		waitVersion("upstream/u", 200)
	})
	span("out", func() { injector.Set(burdockfault.Setting{Mode: burdockfault.Down}); time.Sleep(herdOutage) })
	lists := injector.Counts()["GET /v1/list"]
	span("return", func() {
		injector.Set(burdockfault.Setting{})
		write("profile/bench", "3")
		waitVersion("profile/bench", 3)
	})
	if got, limit := injector.Counts()["GET /v1/list"]-lists, 2*herdWatchers; got > limit {
		t.Errorf("listings after the return: got %d, want at most %d", got, limit)
	}
}
