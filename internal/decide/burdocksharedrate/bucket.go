package burdocksharedrate

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Bucket is the token bucket of one entry's part in the rate of one upstream. It holds one
// token, which a request takes. At first it holds a part of one, which differs by entry and
// upstream: if all began empty, an entry that has just started could send to no upstream at
// all for as long as a token takes.
type Bucket struct {
	entries  *Entries
	upstream burdockid.Upstream
	rate     Rate // of all entries together
	others   Others
	share    share
	tokens   float64
	// spare is how much of a further token has come since the bucket was full, 1 at most. No
	// request takes it: it tells whether the token has been there for as long as one takes.
	spare    float64
	filledAt burdockclock.Millis
	// usedTurn numbers the turn in which a request was sent last; -1 for none.
	usedTurn int64
}

// NewBucket returns the bucket of an entry that learns the rate now.
func NewBucket(now burdockclock.Millis, e *Entries, u burdockid.Upstream, rate Rate, others Others) *Bucket {
	b := &Bucket{entries: e, upstream: u, rate: rate, others: others, filledAt: now, usedTurn: -1}
	b.tokens = fraction(u, e.self)
	b.Update(now)
	return b
}

// Rate returns the rate of all entries together.
func (b *Bucket) Rate() Rate { return b.rate }

// SetRate changes the rate of all entries together.
func (b *Bucket) SetRate(now burdockclock.Millis, rate Rate) {
	b.fill(now)
	b.rate = rate
	b.Update(now)
}

// Update computes the entry's part anew. It must be called when the entries have changed.
func (b *Bucket) Update(now burdockclock.Millis) {
	b.fill(now)
	b.share = share{}
	if b.entries.listed {
		b.share = shareOf(b.upstream, b.rate, b.others, b.entries.self, b.entries.all)
	}
}

func (b *Bucket) fill(now burdockclock.Millis) {
	filled := b.tokens + b.spare + float64(now-b.filledAt)*float64(b.share.rate)/float64(burdockclock.Second)
	b.tokens = min(filled, 1)
	b.spare = min(filled-b.tokens, 1)
	b.filledAt = now
}

// Allows reports whether the entry may send a request now.
func (b *Bucket) Allows(now burdockclock.Millis) bool {
	at, known := b.NextAt(now)
	return known && at <= now
}

// AllowsLessUrgent reports whether the entry may send a request now that leaves the token to
// more urgent ones until it has been there for as long as a token takes. Whenever it does,
// Allows does too, so the rate is kept however the two are mixed. In its turn, an entry
// without a part in the rate sends whatever it has.
func (b *Bucket) AllowsLessUrgent(now burdockclock.Millis) bool {
	at, known := b.NextAtLessUrgent(now)
	return known && at <= now
}

// NextAt returns when the entry may send its next request, now at the earliest; false if
// that isn't known.
func (b *Bucket) NextAt(now burdockclock.Millis) (burdockclock.Millis, bool) {
	return b.filledTo(now, 1)
}

// NextAtLessUrgent returns when AllowsLessUrgent will report true if no other request is
// sent, now at the earliest; false if that isn't known.
func (b *Bucket) NextAtLessUrgent(now burdockclock.Millis) (burdockclock.Millis, bool) {
	return b.filledTo(now, 2)
}

// filledTo returns when the tokens and the spare part of one add up to a number and the
// entry may send a request.
func (b *Bucket) filledTo(now burdockclock.Millis, tokens float64) (burdockclock.Millis, bool) {
	settled, known := b.entries.settledAt()
	switch {
	case !known:
		return 0, false
	case b.share.turns > 0:
		return max(b.nextTurnAt(now), settled), true
	case b.share.rate <= 0:
		return 0, false
	}
	b.fill(now)
	missing := max(tokens-(b.tokens+b.spare), 0) / float64(b.share.rate) * float64(burdockclock.Second)
	return max(now+ceilMillis(missing), settled), true
}

// nextTurnAt returns when the entry's next turn begins, or now within an unused one.
func (b *Bucket) nextTurnAt(now burdockclock.Millis) burdockclock.Millis {
	wall := now + b.entries.ClockOffset
	if number, own := b.share.turnAt(wall); own && number != b.usedTurn {
		return now
	}
	return now + b.share.nextTurn(wall)
}

// Take records a request that is sent now.
func (b *Bucket) Take(now burdockclock.Millis) {
	b.fill(now)
	b.tokens, b.spare = max(b.tokens-1, 0), 0
	b.usedTurn, _ = b.share.turnAt(now + b.entries.ClockOffset)
}

// ceilMillis rounds a number of milliseconds up. Rounding errors of additions don't count.
func ceilMillis(ms float64) burdockclock.Millis {
	const rounding = 1e-6
	whole := burdockclock.Millis(ms)
	if ms-float64(whole) > rounding {
		whole++
	}
	return whole
}
