package burdockhome

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockledger"
	"burdockbend.example/burdockbend/internal/state/burdockconfig"
	"github.com/cespare/xxhash/v2"
)

const service burdockid.Service = "llm-pool"

var members = []burdockid.Upstream{"a", "b", "c"}

func claimer(u burdockid.Upstream, inc burdockid.Incarnation) *Claimer {
	return NewClaimer(Self{Service: service, Upstream: u, Incarnation: inc})
}

// claimAll lets a claimer write until it wants nothing more.
func claimAll(c *Claimer, boot, wall burdockclock.Millis, homes Owners) int {
	total := 0
	for {
		claims := c.Claims(boot, wall, homes, members)
		if len(claims) == 0 {
			return total
		}
		for _, claim := range claims {
			homes[claim.Slot] = VersionedOwner{Owner: claim.Owner, Version: claim.Base + 1}
		}
		total += len(claims)
	}
}

func TestSlotsAreSharedEvenly(t *testing.T) {
	homes := Owners{}
	counts := map[burdockid.Upstream]int{}
	for _, u := range members {
		counts[u] = claimAll(claimer(u, "1"), 0, 0, homes)
	}
	if got, want := len(homes), burdockledger.SlotCount; got != want {
		t.Fatalf("slots with a home: got %d, want %d", got, want)
	}
	for u, n := range counts {
		if n < burdockledger.SlotCount/len(members)/2 {
			t.Errorf("%s is the home of %d of %d slots, want a fair part", u, n, burdockledger.SlotCount)
		}
	}
}

// A caller's key stays with a home that is silent, for as long as it is: the
// VM may be frozen and wake. Only the process that follows it on the same VM
// takes its slots, and says that it has no memory from before.
func TestSilentHomeKeepsItsSlots(t *testing.T) {
	homes := Owners{}
	a := claimer("a", "1")
	claimAll(a, 0, 0, homes)
	claimAll(a, burdockclock.Hour, 0, homes) // the others never took their turns
	b := claimer("b", "1")
	for boot := burdockclock.Millis(0); boot < burdockclock.Hour; boot += burdockclock.Minute {
		if got := claimAll(b, boot, boot, homes); got != 0 {
			t.Fatalf("claims against a silent home: got %d, want 0", got)
		}
	}
	before := homes[0]
	claimAll(claimer("a", "2"), 0, 777, homes)
	after := homes[0]
	if before.Upstream != "a" || after.Incarnation != "2" || after.CompleteSince != 777 {
		t.Errorf("home after the restart: got %+v, want incarnation 2 since 777", after)
	}
}

// Operators take a home out of the fleet: its VM is gone. Its slots wait until
// it must have stopped granting, should it still run, and then get new homes.
func TestRemovedHomeIsReplacedAfterTheGrace(t *testing.T) {
	homes := Owners{}
	for slot := range burdockledger.Slot(burdockledger.SlotCount) {
		homes[slot] = VersionedOwner{Owner: Owner{Upstream: "removed", Incarnation: "1"}, Version: 4}
	}
	a := claimer("a", "1")
	for _, boot := range []burdockclock.Millis{0, goneGrace - 1} {
		if got := len(a.Claims(boot, boot, homes, members)); got != 0 {
			t.Errorf("claims at %d: got %d, want 0", boot, got)
		}
	}
	claims := a.Claims(goneGrace, 99, homes, members)
	if len(claims) == 0 || claims[0].Base != 4 || claims[0].Owner.CompleteSince != 99 {
		t.Errorf("claims after the grace: got %+v, want some on version 4 since 99", claims)
	}
}

// The order of a slot must be the one that agents with another release know:
// agents that disagree would hand a slot back and forth.
func TestOrderAgreesWithRankAndIsKept(t *testing.T) {
	var many []burdockid.Upstream
	for i := range 633 {
		many = append(many, burdockid.Upstream(fmt.Sprintf("replica-with-a-long-name-%d", i)))
	}
	for _, slot := range []burdockledger.Slot{0, 99, 255} {
		for want, u := range Order(service, slot, many) {
			if got := Rank(service, slot, many, u); got != want {
				t.Fatalf("rank of %s in slot %d: got %d, want %d", u, slot, got, want)
			}
		}
	}
	long := burdockid.Upstream(strings.Repeat("u", 100))
	for _, u := range []burdockid.Upstream{"a", long} {
		got, want := weight(service, 7, u), xxhash.Sum64String("llm-pool/7/"+string(u))
		if got != want {
			t.Errorf("weight of %s: got %d, want %d", u, got, want)
		}
	}
}

// An upstream that a slot prefers leaves the fleet while the slot has no home.
// The agent that is next must not go on waiting for the turn of the one that
// left.
func TestRankFollowsTheMembers(t *testing.T) {
	order := Order(service, 0, members)
	second := claimer(order[1], "1")
	if got := second.Claims(0, 0, Owners{}, order); hasSlot(got, 0) {
		t.Fatalf("claims in the turn of another: got %v, want none of slot 0", got)
	}
	if got := second.Claims(1, 1, Owners{}, order[1:]); !hasSlot(got, 0) {
		t.Errorf("claims when the other has left: got %v, want one of slot 0", got)
	}
}

func hasSlot(claims []Claim, slot burdockledger.Slot) bool {
	return slices.ContainsFunc(claims, func(c Claim) bool { return c.Slot == slot })
}

func TestParseRoundTrip(t *testing.T) {
	want := Owner{Upstream: "a", Incarnation: "1", CompleteSince: 5, HandedOverBy: "0"}
	value, err := Encode(want)
	if err != nil {
		t.Fatalf("Encode: %v", err)
	}
	svc, slot, got, err := Parse(burdockconfig.Entry{Key: Key(service, 17), Version: 3, Value: value})
	if err != nil || svc != service || slot != 17 || got.Owner != want || got.Version != 3 {
		t.Errorf("Parse = %s %d %+v %v, want %s 17 %+v", svc, slot, got, err, service, want)
	}
	for _, key := range []string{"keyHome/x", "keyHome/x/-1", "keyHome/x/256", "keyHome/x/y"} {
		if _, _, _, err := Parse(burdockconfig.Entry{Key: key, Value: value}); err == nil {
			t.Errorf("Parse of key %q: got no error", key)
		}
	}
}

func ExampleRank() {
	for _, u := range members {
		fmt.Println(u, Rank(service, 0, members, u))
	}
	// Output:
	// a 2
	// b 1
	// c 0
}
