package burdockowner

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

func newClaimer(u burdockid.Upstream, inc burdockid.Incarnation) *Claimer {
	return NewClaimer(Self{Service: service, Upstream: u, Incarnation: inc})
}

// claimAll applies the claims of c until there are none, and returns their number.
func claimAll(c *Claimer, boot, wall burdockclock.Millis, owners Owners) int {
	total := 0
	for {
		claims := c.Claims(boot, wall, owners, members)
		if len(claims) == 0 {
			return total
		}
		for _, claim := range claims {
			owners[claim.Slot] = VersionedOwner{Owner: claim.Owner, Version: claim.Base + 1}
		}
		total += len(claims)
	}
}

func TestSlotsAreDistributedEvenly(t *testing.T) {
	owners := Owners{}
	counts := map[burdockid.Upstream]int{}
	for _, u := range members {
		counts[u] = claimAll(newClaimer(u, "1"), 0, 0, owners)
	}
	if got, want := len(owners), burdockledger.SlotCount; got != want {
		t.Fatalf("slots with an owner: got %d, want %d", got, want)
	}
	for u, n := range counts {
		if n < burdockledger.SlotCount/len(members)/2 {
			t.Errorf("%s owns %d of %d slots, want a fair share", u, n, burdockledger.SlotCount)
		}
	}
}

// An unresponsive owner keeps its slots, because its VM may be frozen and resume. Only
// the next process of the same upstream takes them over, and records in CompleteSince
// that it has no ledger records from before.
func TestUnresponsiveOwnerKeepsItsSlots(t *testing.T) {
	owners := Owners{}
	a := newClaimer("a", "1")
	claimAll(a, 0, 0, owners)
	claimAll(a, burdockclock.Hour, 0, owners) // the other agents claimed nothing
	b := newClaimer("b", "1")
	for boot := burdockclock.Millis(0); boot < burdockclock.Hour; boot += burdockclock.Minute {
		if got := claimAll(b, boot, boot, owners); got != 0 {
			t.Fatalf("claims of slots of an unresponsive owner: got %d, want 0", got)
		}
	}
	before := owners[0]
	claimAll(newClaimer("a", "2"), 0, 777, owners)
	after := owners[0]
	if before.Upstream != "a" || after.Incarnation != "2" || after.CompleteSince != 777 {
		t.Errorf("owner after the restart: got %+v, want incarnation 2 and complete since 777", after)
	}
}

// Operators remove an owner from the fleet because its VM no longer exists. Its slots
// are claimed only after the grace period, in which the owner stops running requests if
// it still exists.
func TestRemovedOwnerIsReplacedAfterGracePeriod(t *testing.T) {
	owners := Owners{}
	for slot := range burdockledger.Slot(burdockledger.SlotCount) {
		owners[slot] = VersionedOwner{Owner: Owner{Upstream: "removed", Incarnation: "1"}, Version: 4}
	}
	a := newClaimer("a", "1")
	for _, boot := range []burdockclock.Millis{0, removedGrace - 1} {
		if got := len(a.Claims(boot, boot, owners, members)); got != 0 {
			t.Errorf("claims at %d: got %d, want 0", boot, got)
		}
	}
	claims := a.Claims(removedGrace, 99, owners, members)
	if len(claims) == 0 || claims[0].Base != 4 || claims[0].Owner.CompleteSince != 99 {
		t.Errorf("claims after the grace period: got %+v, want some on version 4, complete since 99", claims)
	}
}

// The order of preference must be the same in all releases. Agents that disagree about
// it hand a slot back and forth.
func TestOrderAgreesWithRankAndIsStable(t *testing.T) {
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

// An upstream that a slot prefers leaves the fleet while the slot has no owner. The next
// agent in the order must not wait for it any longer.
func TestRankChangesWithMembers(t *testing.T) {
	order := Order(service, 0, members)
	second := newClaimer(order[1], "1")
	if got := second.Claims(0, 0, Owners{}, order); hasSlot(got, 0) {
		t.Fatalf("claims during the turn of another agent: got %v, want none of slot 0", got)
	}
	if got := second.Claims(1, 1, Owners{}, order[1:]); !hasSlot(got, 0) {
		t.Errorf("claims after the other agent left: got %v, want one of slot 0", got)
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
