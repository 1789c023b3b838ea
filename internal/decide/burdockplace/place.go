// Package burdockplace chooses the upstream that a request is offered to.
//
// An entry keeps one Placer for each service. The placer knows nothing of
// caches: the leading blocks of the prompt are hashed to a few upstreams, the
// same ones at every entry, so that requests with one prefix meet one cache
// without any exchange of cache state. Load decides among those few.
//
// The package is pure: time and randomness are passed in. A Placer is not
// safe for concurrent use; its owner holds a lock around each call.
package burdockplace

import (
	"math/rand/v2"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Member is an upstream that the service may be placed on.
type Member struct {
	Upstream   burdockid.Upstream
	DataCentre burdockid.DataCentre
	// Weight is the share of its usual work that the upstream should get, from
	// 0 (nothing) to 1 (all of it). It does not express capacity: the slots in
	// a report do.
	Weight float64
}

// Request is what a choice depends on.
type Request struct {
	// Prefix holds the hashes of the prompt's leading blocks, shortest prefix
	// first, as PrefixBlocks returns them. It is empty when no cache can help.
	Prefix []uint64
	// DataCentre is where the entry runs.
	DataCentre burdockid.DataCentre
	// Cost is the work that the request is expected to bring.
	Cost burdockid.Tokens
	// Attempt counts the offers of this request that upstreams refused. Those
	// that were never sent do not count: they say nothing of the load.
	Attempt int
	// Exclude reports the upstreams that must not be chosen, such as those
	// that refused this request. It may be nil.
	Exclude func(burdockid.Upstream) bool
}

// Reason says why an upstream was chosen.
type Reason string

// Reasons for a choice.
const (
	// ReasonAffinity: the prefix hashes to this upstream, and it has room.
	ReasonAffinity Reason = "affinity"
	// ReasonSpread: the prefix is hot and this is one of the upstreams that it
	// is spread over.
	ReasonSpread Reason = "spread"
	// ReasonOverflow: the upstreams of the prefix are loaded beyond the bound.
	ReasonOverflow Reason = "spill"
	// ReasonNoPrefix: the request has no prefix worth caching.
	ReasonNoPrefix Reason = "noPrefix"
	// ReasonSaturated: every candidate is loaded beyond the bound.
	ReasonSaturated Reason = "saturated"
	// ReasonRemaining: the hashed candidates are all excluded or ejected, and
	// this upstream was found by a bounded search.
	ReasonRemaining Reason = "remaining"
)

// Choice is the outcome of Choose.
type Choice struct {
	Upstream burdockid.Upstream
	Reason   Reason
	// Candidates is how many upstreams were compared.
	Candidates int
	// MaxLoad is the load, as Report.Load counts it, that the upstream may have
	// with this request added; beyond it, it should refuse the offer at once, so
	// that it can go to a less loaded one. It is 0 when the upstream should
	// apply no bound but its own.
	MaxLoad float64
}

// Report is the load that an upstream tells on an answer or a refusal.
type Report struct {
	Running      int
	Queued       int
	Slots        int
	QueuedCost   burdockid.Tokens
	ExpectedWait burdockclock.Millis
}

// Load returns the requests held for each slot: 1 means every slot is taken
// and nothing waits.
func (r Report) Load() float64 {
	return float64(r.Running+r.Queued) / float64(max(r.Slots, 1))
}

// Placer places the requests of one service.
type Placer struct {
	cfg     Config
	rnd     *rand.Rand
	members []member // ordered by name
	index   nameIndex
	table   table
	fleet   fleetLoad
	recent  recent
	widths  widths
}

// New returns a placer without members. The source rnd must be used by
// nothing else; fields of cfg that are zero take their defaults.
func New(cfg Config, rnd *rand.Rand) *Placer {
	return &Placer{cfg: cfg.withDefaults(), rnd: rnd}
}
