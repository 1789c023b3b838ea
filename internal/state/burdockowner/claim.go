package burdockowner

import (
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockledger"
)

const (
	// claimDelay is the time that an agent gives each agent before it in a slot's
	// order of preference to claim a slot without an owner.
	claimDelay = 5 * burdockclock.Second
	// removedGrace is the time after which a slot whose owner was removed from the
	// fleet is claimed. If the removed owner still runs, it receives the change within
	// this time, or detects that it is disconnected and stops running requests with
	// keys (see burdocksync.Source.Verified). The value must be longer than that takes.
	removedGrace = 30 * burdockclock.Second
	// maxClaims is the maximum number of claims that one agent writes at a time. At
	// the first start of a service its agents claim 256 slots in total.
	maxClaims = 16
)

// Self identifies the agent that claims slots.
type Self struct {
	Service     burdockid.Service
	Upstream    burdockid.Upstream
	Incarnation burdockid.Incarnation
}

// Claim is a slot that the agent should claim by writing Owner to the configuration.
// Base is the version of the entry that it replaces, and 0 if there is none.
type Claim struct {
	Slot  burdockledger.Slot
	Base  burdockid.Version
	Owner Owner
}

// Claimer determines which slots an agent claims. It is not safe for concurrent use.
type Claimer struct {
	self Self
	// ownerlessSince is the boot-clock time at which each slot was first found to have
	// no owner among the members.
	ownerlessSince map[burdockledger.Slot]burdockclock.Millis
	// ranks caches this agent's rank for the slots that had no owner. It is valid for
	// members.
	ranks   map[burdockledger.Slot]int
	members []burdockid.Upstream
}

// NewClaimer returns a Claimer for one agent.
func NewClaimer(self Self) *Claimer {
	return &Claimer{
		self:           self,
		ownerlessSince: map[burdockledger.Slot]burdockclock.Millis{},
		ranks:          map[burdockledger.Slot]int{},
	}
}

// Claims returns the slots to claim now. members are the upstreams of the service. Delays
// are measured with boot, and wall is written to the configuration.
//
// At the design's size agents are replaced 1,200 times a day. A slot must never have two
// owners, because a request could then run twice. An owner that may still run therefore
// keeps its slots however long it is unresponsive: its VM may be frozen and resume.
func (c *Claimer) Claims(boot, wall burdockclock.Millis, owners Owners, members []burdockid.Upstream) []Claim {
	if !slices.Contains(members, c.self.Upstream) {
		return nil
	}
	var claims []Claim
	for slot := range burdockledger.Slot(burdockledger.SlotCount) {
		claim, ok := c.claim(boot, wall, slot, owners, members)
		if ok {
			claims = append(claims, claim)
		}
		if len(claims) == maxClaims {
			break
		}
	}
	return claims
}

func (c *Claimer) claim(boot, wall burdockclock.Millis, slot burdockledger.Slot, owners Owners, members []burdockid.Upstream) (Claim, bool) {
	current, known := owners[slot]
	next := Owner{Upstream: c.self.Upstream, Incarnation: c.self.Incarnation}
	switch {
	case !known:
		// The slot never had an owner, so none of its keys has run.
		return Claim{Slot: slot, Owner: next}, c.overdue(boot, slot, members) >= 0
	case current.Upstream == c.self.Upstream && current.Incarnation != c.self.Incarnation:
		// The owner is the previous process of this upstream. It has ended, and its
		// ledger is lost.
		next.CompleteSince = wall
		return Claim{Slot: slot, Base: current.Version, Owner: next}, true
	case !slices.Contains(members, current.Upstream):
		next.CompleteSince = wall
		return Claim{Slot: slot, Base: current.Version, Owner: next}, c.overdue(boot, slot, members) >= removedGrace
	default:
		delete(c.ownerlessSince, slot)
		return Claim{}, false
	}
}

// overdue returns the time since this agent's turn to claim an ownerless slot began. It
// is negative while agents that the slot prefers still have time to claim it.
func (c *Claimer) overdue(boot burdockclock.Millis, slot burdockledger.Slot, members []burdockid.Upstream) burdockclock.Millis {
	since, ok := c.ownerlessSince[slot]
	if !ok {
		since = boot
		c.ownerlessSince[slot] = boot
	}
	return boot - since - burdockclock.Millis(c.rank(slot, members))*claimDelay
}

// rank returns the agent's rank in the slot's order of preference.
//
// At the first start of a service of 633 replicas each agent checks 256 ownerless slots
// twice a second. Without the cache that takes 162,000 hashes each time. A rank changes
// only with the members.
func (c *Claimer) rank(slot burdockledger.Slot, members []burdockid.Upstream) int {
	if !slices.Equal(c.members, members) {
		c.members = slices.Clone(members)
		clear(c.ranks)
	}
	rank, known := c.ranks[slot]
	if !known {
		rank = Rank(c.self.Service, slot, members, c.self.Upstream)
		c.ranks[slot] = rank
	}
	return rank
}
