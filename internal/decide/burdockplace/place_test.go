package burdockplace

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

func testMembers(n int) []Member {
	members := make([]Member, n)
	for i := range members {
		members[i] = Member{
			Upstream:   burdockid.Upstream(fmt.Sprintf("replica-%04d", i)),
			DataCentre: burdockid.DataCentre(fmt.Sprintf("hall-%d", i%3)),
			Weight:     1,
		}
	}
	return members
}

func testPlacer(n int, seed uint64) *Placer {
	p := New(Config{}, rand.New(rand.NewPCG(seed, 1)))
	p.SetMembers(0, testMembers(n))
	return p
}

func ExamplePlacer() {
	p := New(Config{}, rand.New(rand.NewPCG(1, 1)))
	p.SetMembers(0, []Member{
		{Upstream: "llm-pool-1", DataCentre: "gua-hall-a", Weight: 1},
		{Upstream: "llm-pool-2", DataCentre: "gua-hall-b", Weight: 0},
	})
	choice, ok := p.Choose(0, Request{DataCentre: "gua-hall-b"})
	fmt.Println(choice.Upstream, choice.Reason, ok)
	// Output: llm-pool-1 noPrefix true
}

func TestEntriesAgreeOnOwners(t *testing.T) {
	a, b := testPlacer(16, 1), testPlacer(16, 2)
	prefix := PrefixBlocks(strings.Repeat("netlist ", 200))
	owners := make(map[burdockid.Upstream]bool)
	for range 50 {
		for _, p := range []*Placer{a, b} {
			choice, _ := p.Choose(0, Request{Prefix: prefix, DataCentre: "hall-0"})
			owners[choice.Upstream] = true
		}
	}
	if got, want := len(owners), defaultOwners; got > want {
		t.Errorf("owners of one prefix = %d, want at most %d", got, want)
	}
}

func TestLeavingMemberMovesOnlyItsPrefixes(t *testing.T) {
	const n = 200
	members := testMembers(n)
	names := make([]burdockid.Upstream, n)
	for i, m := range members {
		names[i] = m.Upstream
	}
	before := newTable(names)
	after := newTable(names[:n-1])
	for slot := range before {
		owner := before[slot]
		if owner != n-1 && after[slot] != owner {
			t.Fatalf("slot %d moved from %d to %d, want it to stay", slot, owner, after[slot])
		}
	}
}

func TestTableIsEven(t *testing.T) {
	counts := make([]int, 3800)
	names := make([]burdockid.Upstream, len(counts))
	for i, m := range testMembers(len(counts)) {
		names[i] = m.Upstream
	}
	for _, owner := range newTable(names) {
		counts[owner]++
	}
	for i, got := range counts {
		if got < 3 || got > 45 {
			t.Errorf("member %d owns %d slots, want near 17", i, got)
		}
	}
}

// One owner of a prefix has reported that it is full. Requests with that prefix must
// go elsewhere, because a full owner delays every request on it. Once the report is
// old the owner must be tried again, because no message announces free slots.
func TestFullOwnerIsAvoidedUntilReportIsOld(t *testing.T) {
	p := testPlacer(16, 3)
	prefix := PrefixBlocks(strings.Repeat("royalty ", 200))
	req := Request{Prefix: prefix, DataCentre: "hall-0"}
	for i := range 64 {
		p.Report(0, burdockid.Upstream(fmt.Sprintf("replica-%04d", i%16)), Report{Running: 8, Slots: 16})
	}
	first, _ := p.Choose(0, req)
	p.Report(1, first.Upstream, Report{Running: 16, Queued: 20, Slots: 16})
	for range 100 {
		choice, _ := p.Choose(1, req)
		if choice.Upstream == first.Upstream {
			t.Fatalf("chose %s again, want an upstream other than the full one", choice.Upstream)
		}
	}
	retried := false
	for range 100 {
		choice, _ := p.Choose(burdockclock.Minute, req)
		retried = retried || choice.Upstream == first.Upstream
	}
	if !retried {
		t.Errorf("%s never chosen a minute after its report, want it tried again", first.Upstream)
	}
}

// All requests of a burst begin with one system prompt, whose owners are full and
// refuse them. After a few refusals the entry must spread the prefix over more
// upstreams, otherwise every later request is first refused by the owners.
func TestHotPrefixSpreads(t *testing.T) {
	p := testPlacer(3800, 4)
	excludeNone := func(burdockid.Upstream) bool { return false }
	chosen := make(map[burdockid.Upstream]int)
	for i := range 400 {
		prompt := strings.Repeat("system prompt ", 80) + fmt.Sprintf("%-512d", i)
		req := Request{Prefix: PrefixBlocks(prompt), Exclude: excludeNone}
		if i < 10 {
			req.Attempt = 1
		}
		choice, _ := p.Choose(0, req)
		chosen[choice.Upstream]++
	}
	if got, want := len(chosen), 200; got < want {
		t.Errorf("upstreams used = %d, want at least %d", got, want)
	}
}

func TestExcludedAndEjectedAreNotChosen(t *testing.T) {
	p := testPlacer(16, 5)
	for i := 1; i < 16; i++ {
		p.SetWeight(burdockid.Upstream(fmt.Sprintf("replica-%04d", i)), 0)
	}
	choice, ok := p.Choose(0, Request{})
	if got, want := choice.Upstream, burdockid.Upstream("replica-0000"); !ok || got != want {
		t.Errorf("Choose = %q, %t; want %q", got, ok, want)
	}
	exclude := func(u burdockid.Upstream) bool { return u == "replica-0000" }
	if choice, ok := p.Choose(0, Request{Exclude: exclude}); ok {
		t.Errorf("Choose = %q, want none", choice.Upstream)
	}
}

// A report doesn't include the requests that the entry has sent since. Unless they
// are added, a whole burst goes to the upstream with the lowest report.
func TestSentRequestsCountUntilNextReport(t *testing.T) {
	p := testPlacer(2, 6)
	p.Report(0, "replica-0000", Report{Running: 4, Slots: 16})
	p.Report(0, "replica-0001", Report{Running: 8, Slots: 16})
	counts := make(map[burdockid.Upstream]int)
	for range 40 {
		choice, _ := p.Choose(0, Request{})
		p.Sent(0, choice.Upstream, 1)
		counts[choice.Upstream]++
	}
	if got := counts["replica-0000"]; got < 18 || got > 30 {
		t.Errorf("the upstream with the lower reported load got %d of 40 requests, want 18 to 30", got)
	}
}

func TestStateIsCamelCase(t *testing.T) {
	p := testPlacer(1, 7)
	got, err := json.Marshal(p.State())
	if err != nil {
		t.Fatal(err)
	}
	want := `{"meanLoad":0,"bound":1,"upstreams":[{"upstream":"replica-0000","dataCentre":"hall-0","weight":1,` +
		`"reportedAt":0,"reportedLoad":0,"reportedWait":0,"unreported":0,"inFlight":0}],"hot":[]}`
	if string(got) != want {
		t.Errorf("State = %s, want %s", got, want)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{16, 3800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := testPlacer(n, 8)
			prefix := PrefixBlocks(strings.Repeat("deck ", 1000))
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				prefix[3] = uint64(i)
				now := burdockclock.Millis(i)
				choice, _ := p.Choose(now, Request{Prefix: prefix, DataCentre: "hall-0"})
				p.Sent(now, choice.Upstream, 100)
				p.Done(now, choice.Upstream, 100)
				p.Report(now, choice.Upstream, Report{Running: i % 8, Slots: 16})
			}
		})
	}
}

func BenchmarkSetMembers(b *testing.B) {
	for _, n := range []int{16, 3800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := testPlacer(n, 9)
			members := testMembers(n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				p.SetMembers(0, members[i%2:])
			}
		})
	}
}

func BenchmarkPrefixBlocks(b *testing.B) {
	prompt := strings.Repeat("deck ", 2000)
	b.ReportAllocs()
	for b.Loop() {
		PrefixBlocks(prompt)
	}
}

// A request overflows, and the entry knows the load only of the few upstreams that
// reported in the last second. It must find the one of them with free slots, because
// a random upstream is often full and refuses the request again.
func TestOverflowFindsRecentReport(t *testing.T) {
	p := testPlacer(3800, 10)
	for i := range 31 {
		p.Report(0, burdockid.Upstream(fmt.Sprintf("replica-%04d", i)), Report{Running: 16, Slots: 16})
	}
	p.Report(0, "replica-0031", Report{Running: 4, Slots: 16})
	found := 0
	for range 1000 {
		choice, _ := p.Choose(0, Request{Attempt: defaultBoundedOffers})
		if choice.Upstream == "replica-0031" {
			found++
		}
	}
	if got, want := found, 100; got < want {
		t.Errorf("the upstream with free slots was chosen %d times of 1000, want at least %d", got, want)
	}
}
