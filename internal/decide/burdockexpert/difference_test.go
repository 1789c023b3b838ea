package burdockexpert

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"github.com/joomcode/errorx"
)

// randomMap places up to perRank random experts of each layer on each rank.
func randomMap(random *rand.Rand, s Shape, perRank int) *Map {
	m := NewMap(s)
	for l := range burdockid.Layer(s.Layers) {
		for r := range burdockid.Rank(s.Ranks) {
			for range perRank {
				m.Add(l, r, burdockid.Expert(random.IntN(s.Experts)))
			}
		}
	}
	return m
}

// moveSome returns a map in which about one in oneIn lists of a rank and layer has
// one expert replaced.
func moveSome(random *rand.Rand, m *Map, oneIn int) *Map {
	out := m.clone()
	for i, held := range out.placement {
		if len(held) > 0 && random.IntN(oneIn) == 0 {
			out.placement[i] = symmetricDifference(held, []uint16{held[random.IntN(len(held))]})
			l, r := burdockid.Layer(i/m.shape.Ranks), burdockid.Rank(i%m.shape.Ranks)
			out.Add(l, r, burdockid.Expert(random.IntN(m.shape.Experts)))
		}
	}
	return out
}

func TestApplyDifference(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		s := Shape{Layers: 1 + random.IntN(6), Ranks: 1 + random.IntN(40), Experts: 1 + random.IntN(300)}
		base := randomMap(random, s, 1+random.IntN(4))
		want := moveSome(random, base, 1+random.IntN(5))
		difference, err := want.Difference(base)
		if err != nil {
			t.Fatalf("%+v: difference: %v", s, err)
		}
		got, err := base.Apply(difference, want.Digest())
		if err != nil {
			t.Fatalf("%+v: apply: %v", s, err)
		}
		if !got.Equal(want) {
			t.Fatalf("%+v: Apply returned a different map than the difference was computed for", s)
		}
	}
}

// An agent that applies a difference to the wrong base map must not load the
// result: its rank would use a different map than its peers.
func TestApplyRejectsWrongDifference(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	s := Shape{Layers: 3, Ranks: 20, Experts: 60}
	base := randomMap(random, s, 3)
	want := moveSome(random, base, 3)
	difference, err := want.Difference(base)
	if err != nil {
		t.Fatalf("difference: %v", err)
	}
	tests := []struct {
		name       string
		base       *Map
		difference []byte
		digest     uint64
	}{
		{"another base", moveSome(random, base, 2), difference, want.Digest()},
		{"another digest", base, difference, want.Digest() + 1},
		{"cut", base, difference[:len(difference)-1], want.Digest()},
		{"nothing", base, nil, want.Digest()},
		{"another format", base, append([]byte{formatVersion + 1}, difference[1:]...), want.Digest()},
		{"a list beyond the end", base, []byte{formatVersion, 61, 1, 0}, want.Digest()},
		{"a list without experts", base, []byte{formatVersion, 0, 0}, base.Digest()},
	}
	for _, test := range tests {
		if _, err := test.base.Apply(test.difference, test.digest); !errorx.IsOfType(err, MalformedMap) {
			t.Errorf("%s: got error %v, want a malformedMap", test.name, err)
		}
	}
	if _, err := want.Difference(NewMap(Shape{Layers: 3, Ranks: 19, Experts: 60})); !errorx.IsOfType(err, MalformedMap) {
		t.Errorf("difference of two shapes: got error %v, want a malformedMap", err)
	}
}

func FuzzApply(f *testing.F) {
	random := rand.New(rand.NewPCG(5, 6))
	base := randomMap(random, Shape{Layers: 2, Ranks: 5, Experts: 9}, 2)
	want := moveSome(random, base, 2)
	difference, err := want.Difference(base)
	if err != nil {
		f.Fatalf("difference: %v", err)
	}
	f.Add(difference, want.Digest())
	f.Fuzz(func(t *testing.T, difference []byte, digest uint64) {
		if m, err := base.Apply(difference, digest); err == nil && m.Digest() != digest {
			t.Errorf("Apply returned a map with a different digest than requested")
		}
	})
}

// BenchmarkDifference reports the sizes of a whole map and of a difference in which
// one list in ten has a different expert.
func BenchmarkDifference(b *testing.B) {
	for _, s := range []Shape{{4, 16, 64}, {12, 72, 144}, {10, 192, 384}, {10, 512, 1024}} {
		b.Run(fmt.Sprint(s.Ranks), func(b *testing.B) {
			random := rand.New(rand.NewPCG(7, 8))
			base := randomMap(random, s, 3)
			next := moveSome(random, base, 10)
			var difference []byte
			for b.Loop() {
				difference, _ = next.Difference(base)
			}
			b.ReportMetric(float64(next.encodedSize()), "whole-B")
			b.ReportMetric(float64(len(difference)), "difference-B")
		})
	}
}
