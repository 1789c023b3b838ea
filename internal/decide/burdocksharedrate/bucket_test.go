package burdocksharedrate

import (
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockid"
)

func TestEntryThatIsNotKnownSendsNothing(t *testing.T) {
	e := &Entries{}
	b := NewBucket(0, e, "u", 100, OthersTakeTurns)
	if b.Allows(60_000) {
		t.Error("before the entries are known: got a request allowed, want none")
	}
	e.Set(60_000, Listing{All: []burdockid.VM{"b", "c"}, Self: "a"})
	b.Update(60_000)
	if b.Allows(120_000) {
		t.Error("entry is not among the known ones: got a request allowed, want none")
	}
	e.Set(120_000, Listing{All: []burdockid.VM{"a", "b"}, Self: "a"})
	b.Update(120_000)
	if b.Allows(120_000 + settleTime - 1) {
		t.Error("others may not know the entry yet: got a request allowed, want none")
	}
	if !b.Allows(120_000 + settleTime) {
		t.Error("others know the entry: got no request allowed, want one")
	}
}

// Guards against a restarted entry that uses no part of any rate for a while.
func TestRestartedEntryUsesItsPartAtOnce(t *testing.T) {
	e := &Entries{}
	e.Set(0, Listing{All: []burdockid.VM{"a", "b"}, Self: "a", Known: true})
	allowed := 0
	for _, u := range []burdockid.Upstream{"u1", "u2", "u3", "u4", "u5", "u6", "u7", "u8"} {
		if NewBucket(0, e, u, 26, OthersSendNothing).Allows(20) {
			allowed++
		}
	}
	if allowed == 0 {
		t.Error("upstreams that may get a request after 20 ms: got none, want some of 8")
	}
}

func TestNextAtIsWhenARequestIsAllowed(t *testing.T) {
	e := &Entries{}
	e.Set(0, Listing{All: []burdockid.VM{"a", "b"}, Self: "a"})
	b := NewBucket(0, e, "u", 0.5, OthersTakeTurns)
	for range 5 {
		at, ok := b.NextAt(0)
		if !ok || b.Allows(at-1) || !b.Allows(at) {
			t.Fatalf("next at %d: got allowed a millisecond earlier or not allowed then, want allowed from then on", at)
		}
		b.Take(at)
	}
}
