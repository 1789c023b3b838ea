// Package burdockplace chooses the upstream that a request is offered to.
//
// An entry keeps one Placer for each service. The placer doesn't track the contents
// of prefix caches. It hashes the leading blocks of the prompt to a few upstreams,
// the owners of the prefix, which are the same at every entry. Requests with the
// same prefix thus reach the same caches without any exchange of cache state. Load
// decides among the owners.
//
// The package does no I/O: time and randomness are passed in. A Placer is not
// safe for concurrent use; callers hold a lock around each call.
package burdockplace

import (
	"math/rand/v2"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Member is an upstream of the service.
type Member struct {
	Upstream   burdockid.Upstream
	DataCentre burdockid.DataCentre
	// Weight is the share of its normal traffic that the upstream should get, from
	// 0 (none) to 1 (all). It does not express capacity, which is given by
	// the slots in a report.
	Weight float64
}

// Request describes the request that Choose places.
type Request struct {
	// Prefix holds the hashes of the prompt's leading blocks, shortest prefix
	// first, as PrefixBlocks returns them. It is empty when caching doesn't help.
	Prefix []uint64
	// DataCentre is where the entry runs.
	DataCentre burdockid.DataCentre
	// Cost is the expected cost of the request.
	Cost burdockid.Tokens
	// Attempt is the number of offers of this request that upstreams refused.
	// Offers that could not be sent don't count, as they don't indicate load.
	Attempt int
	// Compare is the number of random members, at most maxCandidates, of which a
	// request without a prefix gets the least loaded. 0 compares as Choose describes.
	// It is for entries that know the load of all members to within a tenth of a
	// second: of two members drawn at random both are often full while others have
	// free slots. With loads known 100 ms late 6 is best: entries that compare more
	// send the starts within the lag to the same members.
	Compare int
	// Exclude reports whether an upstream must not be chosen, for example because
	// it refused this request. It may be nil.
	Exclude func(burdockid.Upstream) bool
}

// Reason is why an upstream was chosen.
type Reason string

// Reasons for a choice.
const (
	// ReasonAffinity means that the upstream owns the prefix and is within the bound.
	ReasonAffinity Reason = "affinity"
	// ReasonSpread means that the prefix is hot and the upstream is one of those
	// that it is spread over.
	ReasonSpread Reason = "spread"
	// ReasonOverflow means that the owners of the prefix are over the bound.
	ReasonOverflow Reason = "spill"
	// ReasonNoPrefix means that the request has no prefix worth caching.
	ReasonNoPrefix Reason = "noPrefix"
	// ReasonSaturated means that every candidate is over the bound.
	ReasonSaturated Reason = "saturated"
	// ReasonRemaining means that the hashed candidates are all excluded or ejected
	// and a bounded scan of the members found this upstream.
	ReasonRemaining Reason = "remaining"
)

// Choice is the result of Choose.
type Choice struct {
	Upstream burdockid.Upstream
	Reason   Reason
	// Candidates is the number of upstreams that were compared.
	Candidates int
	// MaxLoad is the maximum load, in terms of Report.Load, that the upstream may
	// have including this request. Above it the upstream should refuse the offer
	// at once, and the request goes to a less loaded one. It is 0 when only the
	// upstream's own limits apply.
	MaxLoad float64
}

// Report is the load that an upstream reports with an answer or a refusal.
type Report struct {
	Running      int
	Queued       int
	Slots        int
	QueuedCost   burdockid.Tokens
	ExpectedWait burdockclock.Millis
}

// Load returns the number of running and queued requests per slot. It is 1 when
// every slot is taken and nothing is queued.
func (r Report) Load() float64 {
	return float64(r.Running+r.Queued) / float64(max(r.Slots, 1))
}

// Placer places the requests of one service.
type Placer struct {
	cfg     Config
	rnd     *rand.Rand
	members []member // ordered by name
	index   nameIndex
	table   table // nil until owners builds it
	fleet   fleetLoad
	recent  recent
	widths  widths
}

// New returns a placer without members. Nothing else may use rnd. Fields of cfg
// that are zero take their defaults.
func New(cfg Config, rnd *rand.Rand) *Placer {
	return &Placer{cfg: cfg.withDefaults(), rnd: rnd}
}
