package burdockhome

import (
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockledger"
)

const (
	// turn is how long each agent leaves a slot without a home to those that
	// the slot prefers.
	turn = 5 * burdockclock.Second
	// goneGrace is how long a slot is left alone after operators took its home
	// out of the fleet. Within it the old home, should it still run, hears of
	// that, or finds itself cut off and stops granting (see
	// burdocksync.Source.Verified). It must be longer than that takes.
	goneGrace = 30 * burdockclock.Second
	// claimsAtOnce bounds what one agent writes at a time. At the first start of
	// a service its agents write 256 homes in all.
	claimsAtOnce = 16
)

// Self is the agent that decides.
type Self struct {
	Service     burdockid.Service
	Upstream    burdockid.Upstream
	Incarnation burdockid.Incarnation
}

// Claim is a slot that the agent should write its name on.
type Claim struct {
	Slot  burdockledger.Slot
	Base  burdockid.Version
	Owner Owner
}

// Claimer decides which slots an agent claims.
type Claimer struct {
	self Self
	// without is since when each slot was seen without a home that counts, on
	// the boot clock.
	without map[burdockledger.Slot]burdockclock.Millis
	// ranks holds this agent's rank in the order of the slots that were without
	// a home, among members.
	ranks   map[burdockledger.Slot]int
	members []burdockid.Upstream
}

// NewClaimer returns a claimer for one agent.
func NewClaimer(self Self) *Claimer {
	return &Claimer{
		self:    self,
		without: map[burdockledger.Slot]burdockclock.Millis{},
		ranks:   map[burdockledger.Slot]int{},
	}
}

// Claims returns what to claim now. Members are the upstreams of the service.
// boot counts spans; wall is what goes into the configuration.
//
// Load: agents are replaced 1,200 times a day at the design's size. Harm
// prevented: two homes of one slot. A home that may still run keeps its slots,
// however silent it is: a frozen VM can wake.
func (c *Claimer) Claims(boot, wall burdockclock.Millis, homes Owners, members []burdockid.Upstream) []Claim {
	if !slices.Contains(members, c.self.Upstream) {
		return nil
	}
	var claims []Claim
	for slot := range burdockledger.Slot(burdockledger.SlotCount) {
		claim, ok := c.claim(boot, wall, slot, homes, members)
		if ok {
			claims = append(claims, claim)
		}
		if len(claims) == claimsAtOnce {
			break
		}
	}
	return claims
}

func (c *Claimer) claim(boot, wall burdockclock.Millis, slot burdockledger.Slot, homes Owners, members []burdockid.Upstream) (Claim, bool) {
	current, known := homes[slot]
	next := Owner{Upstream: c.self.Upstream, Incarnation: c.self.Incarnation}
	switch {
	case !known:
		// Nobody was ever its home, so no key of it has run.
		return Claim{Slot: slot, Owner: next}, c.waited(boot, slot, members) >= 0
	case current.Upstream == c.self.Upstream && current.Incarnation != c.self.Incarnation:
		// The process before this one on the same slot of the VM. It is gone, and
		// its memory with it.
		next.CompleteSince = wall
		return Claim{Slot: slot, Base: current.Version, Owner: next}, true
	case !slices.Contains(members, current.Upstream):
		next.CompleteSince = wall
		return Claim{Slot: slot, Base: current.Version, Owner: next}, c.waited(boot, slot, members) >= goneGrace
	default:
		delete(c.without, slot)
		return Claim{}, false
	}
}

// waited returns how long the slot has been left to the agents that it
// prefers beyond their turns; negative while it is still their turn.
func (c *Claimer) waited(boot burdockclock.Millis, slot burdockledger.Slot, members []burdockid.Upstream) burdockclock.Millis {
	since, ok := c.without[slot]
	if !ok {
		since = boot
		c.without[slot] = boot
	}
	return boot - since - burdockclock.Millis(c.rank(slot, members))*turn
}

// rank returns the agent's rank in the order of a slot.
//
// Load: at the first start of a service of 633 replicas each agent looks at 256
// slots without a home, twice a second. Harm prevented: 162,000 hashes in each
// of these rounds. A rank changes only with the members, so it is taken once.
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
