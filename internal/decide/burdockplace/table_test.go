package burdockplace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"

	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// The alternatives to newTable that docs/design/placing.md compares, kept for the
// benchmarks.

// newRendezvous assigns each slot to the member with the highest hash of the pair.
func newRendezvous(names []burdockid.Upstream) table {
	owners := make(table, tableSlots)
	seeds := seedsOf(names)
	for slot := range owners {
		best := uint64(0)
		for i, seed := range seeds {
			if hash := mix(seed ^ uint64(slot)*goldenRatio); hash >= best {
				best = hash
				owners[slot] = uint16(i)
			}
		}
	}
	return owners
}

// newMaglev lets the members in turn take their next free slot, as Maglev does.
func newMaglev(names []burdockid.Upstream) table {
	owners := make(table, tableSlots)
	taken := make([]bool, tableSlots)
	seeds := seedsOf(names)
	next := make([]uint64, len(names))
	for free := tableSlots; free > 0; {
		for i, seed := range seeds {
			// An odd step visits all slots, because their number is a power of two.
			step := mix(seed) | 1
			slot := (seed + next[i]*step) % tableSlots
			for taken[slot] {
				next[i]++
				slot = (seed + next[i]*step) % tableSlots
			}
			taken[slot] = true
			owners[slot] = uint16(i)
			if free--; free == 0 {
				break
			}
		}
	}
	return owners
}

// newRing assigns each slot to the owner of the next point on a hash ring, on which
// each member has pointsEach points.
func newRing(names []burdockid.Upstream) table {
	const pointsEach = 64
	type point struct {
		at    uint64
		owner uint16
	}
	points := make([]point, 0, pointsEach*len(names))
	for i, seed := range seedsOf(names) {
		for k := range uint64(pointsEach) {
			points = append(points, point{mix(seed + k*goldenRatio), uint16(i)})
		}
	}
	slices.SortFunc(points, func(a, b point) int {
		if a.at < b.at {
			return -1
		}
		return 1
	})
	owners := make(table, tableSlots)
	k := 0
	for slot := range owners {
		for k < len(points) && points[k].at < uint64(slot)<<(64-tableBits) {
			k++
		}
		owners[slot] = points[k%len(points)].owner
	}
	return owners
}

func seedsOf(names []burdockid.Upstream) []uint64 {
	seeds := make([]uint64, len(names))
	for i, name := range names {
		seeds[i] = xxhash.Sum64String(string(name))
	}
	return seeds
}

var tableKinds = []struct {
	name  string
	build func([]burdockid.Upstream) table
}{
	{"rounds", newTable},
	{"rendezvous", newRendezvous},
	{"maglev", newMaglev},
	{"ring", newRing},
}

// BenchmarkTable measures for each kind of table the time to build it, how uneven the
// slots are (standard deviation over mean), and how many slots move needlessly when a
// member leaves, as a multiple of that member's slots.
func BenchmarkTable(b *testing.B) {
	for _, n := range []int{16, 3800} {
		names := make([]burdockid.Upstream, n)
		for i, m := range testMembers(n) {
			names[i] = m.Upstream
		}
		for _, kind := range tableKinds {
			b.Run(fmt.Sprintf("%s/%d", kind.name, n), func(b *testing.B) {
				var built table
				for b.Loop() {
					built = kind.build(names)
				}
				own, moved := movedSlots(built, kind.build(names[:n-1]), uint16(n-1))
				b.ReportMetric(uneven(built, n), "uneven")
				b.ReportMetric(float64(moved)/float64(max(own, 1)), "needless")
			})
		}
	}
}

func movedSlots(before, after table, left uint16) (own, moved int) {
	for slot, owner := range before {
		switch {
		case owner == left:
			own++
		case after[slot] != owner:
			moved++
		}
	}
	return own, moved
}

func uneven(t table, n int) float64 {
	counts := make([]float64, n)
	for _, owner := range t {
		counts[owner]++
	}
	mean := float64(len(t)) / float64(n)
	squares := 0.0
	for _, count := range counts {
		squares += (count - mean) * (count - mean)
	}
	return math.Sqrt(squares/float64(n)) / mean
}

// BenchmarkMemory measures the memory that a placer takes for each member.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{16, 3800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			var kept *Placer
			for b.Loop() {
				kept = nil
				runtime.GC()
				runtime.ReadMemStats(&before)
				kept = testPlacer(n, 11)
				runtime.GC()
				runtime.ReadMemStats(&after)
			}
			runtime.KeepAlive(kept)
			held := float64(after.HeapAlloc) - float64(before.HeapAlloc)
			b.ReportMetric(held/1024, "KiB")
			b.ReportMetric(held/float64(n), "B/member")
		})
	}
}

// Upstreams register one after the other, and no request has a prefix. Building the table
// of prefix owners each time would keep an entry busy for seconds after a power cut.
func TestTableIsBuiltForPrefixesOnly(t *testing.T) {
	p := New(Config{}, rand.New(rand.NewPCG(1, 2)))
	var members []Member
	for i := range 50 {
		members = append(members, Member{Upstream: burdockid.Upstream(fmt.Sprint(i)), Weight: 1})
		p.SetMembers(0, members)
		if _, ok := p.Choose(0, Request{}); !ok {
			t.Fatalf("%d members: none chosen", i+1)
		}
	}
	if p.table != nil {
		t.Error("the table was built for requests without a prefix")
	}
	if _, ok := p.Choose(0, Request{Prefix: []uint64{7}}); !ok || p.table == nil {
		t.Errorf("a request with a prefix: chosen %t, table built %t, want both", ok, p.table != nil)
	}
}

// One of 768 upstreams registers: 7.2 ms with the table of prefix owners built each time,
// 0.50 ms without, on one core of a shared machine.
func BenchmarkMemberJoins(b *testing.B) {
	var members []Member
	for i := range 768 {
		members = append(members, Member{Upstream: burdockid.Upstream(fmt.Sprint("i-", i)), Weight: 1})
	}
	p := New(Config{}, rand.New(rand.NewPCG(1, 2)))
	for i := 0; b.Loop(); i++ {
		p.SetMembers(0, members[:len(members)-i%2])
		p.Choose(0, Request{})
	}
}
