package burdockconfig

import (
	"fmt"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"pgregory.net/rapid"
)

// Guards against a return to an old configuration: after version 7 a delayed response
// of the store contains version 5, and a process that applies whatever came last goes
// back to it.
func TestViewNeverGoesBack(t *testing.T) {
	v := NewView()
	v.Merge([]Entry{{Key: "profile/bench", Version: 7, Mark: "b"}})
	changed := v.Merge([]Entry{{Key: "profile/bench", Version: 5, Mark: "a"}, {Key: "profile/bench", Version: 6, Deleted: true}})
	if got := len(changed); got != 0 {
		t.Errorf("Merge of older entries: got %d changed entries, want 0", got)
	}
	if got, _ := v.Get("profile/bench"); got.Version != 7 {
		t.Errorf("version: got %d, want 7", got.Version)
	}
}

// Two processes receive the same edits in different order, some of them twice. Both
// end with the same entries and the same digest.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SliceOfN(rapid.Custom(drawEntry), 1, 30).Draw(t, "entries")
		order := rapid.Permutation(entries).Draw(t, "order")
		a, b := NewView(), NewView()
		a.Merge(entries)
		for _, e := range order {
			b.Merge([]Entry{e})
		}
		if a.Digest() != b.Digest() {
			t.Fatalf("digests differ: %x and %x", a.Digest(), b.Digest())
		}
		for _, e := range a.Under("") {
			if got, _ := b.Get(e.Key); got.Version != e.Version || got.Mark != e.Mark {
				t.Fatalf("%s: got version %d mark %q, want %d %q", e.Key, got.Version, got.Mark, e.Version, e.Mark)
			}
		}
	})
}

// A process that missed edits requests them from a peer, first by digest and then by
// buckets. Afterwards it has all of them.
func TestExchangeTransfersAllMissingEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		complete, behind := NewView(), NewView()
		entries := rapid.SliceOfN(rapid.Custom(drawEntry), 1, 400).Draw(t, "entries")
		for _, e := range entries {
			complete.Merge([]Entry{e})
			if rapid.Bool().Draw(t, "seen") {
				behind.Merge([]Entry{e})
			}
		}
		if missing, known := complete.Since(behind.Digest()); known {
			behind.Merge(missing)
		} else {
			behind.Merge(complete.Differing(behind.Buckets()))
		}
		if got, want := behind.Digest(), complete.Digest(); got != want {
			t.Fatalf("digest after the exchange: got %x, want %x", got, want)
		}
	})
}

func TestSinceReturnsOnlyChangedEntries(t *testing.T) {
	v := NewView()
	for i := range 50 {
		v.Merge([]Entry{{Key: fmt.Sprint("customer/", i), Version: 1}})
	}
	before := v.Digest()
	v.Merge([]Entry{{Key: "customer/3", Version: 2}})
	v.Merge([]Entry{{Key: "customer/3", Version: 3}})
	entries, known := v.Since(before)
	if !known || len(entries) != 1 || entries[0].Version != 3 {
		t.Errorf("Since = %v, %v; want only customer/3 at version 3", entries, known)
	}
}

func drawEntry(t *rapid.T) Entry {
	return Entry{
		Key:     fmt.Sprint("k", rapid.IntRange(0, 40).Draw(t, "key")),
		Version: burdockid.Version(rapid.IntRange(1, 6).Draw(t, "version")),
		Mark:    rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "mark"),
		Deleted: rapid.Bool().Draw(t, "deleted"),
	}
}

func BenchmarkMerge(b *testing.B) {
	v := NewView()
	for i := range 8000 {
		v.Merge([]Entry{{Key: fmt.Sprint("upstream/", i), Version: 1}})
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		v.Merge([]Entry{{Key: "upstream/77", Version: burdockid.Version(n + 2)}})
	}
}
