package burdockconfigproof

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/proof/burdockprograms"
	"burdockbend.example/burdockbend/internal/standin/burdockfault"
)

const (
	loadCallers = 12
	loadTokens  = 4
	loadSpan    = 10 * time.Second
)

// phase is a measurement over one time span.
type phase struct {
	name  string
	span  time.Duration
	calls map[string]int // calls to the store by name
	sent  []burdockprograms.Sent
}

// total returns the number of calls to the store.
func (p phase) total() int {
	n := 0
	for _, calls := range p.calls {
		n += calls
	}
	return n
}

func (p phase) log(t *testing.T) {
	t.Helper()
	took := make([]time.Duration, len(p.sent))
	for i, s := range p.sent {
		took[i] = s.Took
	}
	slices.Sort(took)
	line := fmt.Sprintf("%s: %d requests in %v", p.name, len(p.sent), p.span.Round(time.Second))
	if len(took) > 0 {
		line += fmt.Sprintf(", median %v, p99 %v", took[len(took)/2].Round(100*time.Microsecond), took[len(took)*99/100].Round(100*time.Microsecond))
	}
	line += fmt.Sprintf("; store calls %d, %.2f/s:", p.total(), float64(p.total())/p.span.Seconds())
	for _, name := range slices.Sorted(maps.Keys(p.calls)) {
		line += fmt.Sprintf(" %s %.2f/s", name, float64(p.calls[name])/p.span.Seconds())
	}
	t.Log(line)
}

// measure counts the calls to the store during a span, with callers or none.
func measure(f *burdockprograms.Fleet, name string, callers int, span time.Duration) phase {
	before, began := f.Store.Counts(), time.Now()
	load := f.StartLoad(callers, burdockprograms.StreamedChats(loadTokens))
	time.Sleep(span)
	p := phase{name: name, sent: load.Stop(), calls: map[string]int{}}
	p.span = time.Since(began)
	for call, n := range f.Store.Counts() {
		if d := n - before[call]; d > 0 && call != "GET /counts" {
			p.calls[call] = d
		}
	}
	return p
}

// checkServed checks that every request got its whole answer.
func (p phase) checkServed(t *testing.T) {
	t.Helper()
	if len(p.sent) == 0 {
		t.Errorf("%s: no request was sent", p.name)
	}
	for _, s := range p.sent {
		if !s.Answer.WholeStream(s.Prompt, s.Tokens) {
			t.Errorf("%s: %s at %s: status %d err %v body %q", p.name, s.Prompt, s.Entry, s.Answer.Status, s.Answer.Err, s.Answer.Body)
		}
	}
}

// maxCallsPerEntry is far above the calls of one entry to the store in a phase, and far
// below the number of requests.
const maxCallsPerEntry = 40

// No request fails while the store is up, silent, down and back. The number of calls to the
// store must not depend on the number of requests: each entry has one watch, renewed every
// 10 s, and retries every 5 to 10 s during an outage. Agents never call the store.
func TestRequestsAddNoStoreCall(t *testing.T) {
	f := startFleet(t, 8, 3)
	waitSettled(t, f)
	phases := []phase{measure(f, "up, idle", 0, loadSpan), measure(f, "up", loadCallers, loadSpan)}
	f.Store.SetFault(t, burdockfault.Setting{Mode: burdockfault.Silent})
	phases = append(phases, measure(f, "silent", loadCallers, loadSpan))
	f.Store.SetFault(t, burdockfault.Setting{Mode: burdockfault.Down})
	phases = append(phases, measure(f, "down", loadCallers, 2*loadSpan), measure(f, "down, idle", 0, loadSpan))
	f.Store.SetFault(t, burdockfault.Setting{})
	phases = append(phases, measure(f, "returned", loadCallers, loadSpan))
	for _, p := range phases {
		p.log(t)
		if limit := maxCallsPerEntry * len(f.Entries); p.total() > limit {
			t.Errorf("%s: got %d calls to the store, want at most %d", p.name, p.total(), limit)
		}
		if p.calls["GET /v1/key"] > 0 {
			t.Errorf("%s: got %d reads of single keys, want none", p.name, p.calls["GET /v1/key"])
		}
	}
	for _, p := range []phase{phases[1], phases[2], phases[3], phases[5]} {
		p.checkServed(t)
		if got, limit := p.total(), len(p.sent)/4; got > limit {
			t.Errorf("%s: %d store calls for %d requests, want a number independent of the requests", p.name, got, len(p.sent))
		}
	}
}
