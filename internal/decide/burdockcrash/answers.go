package burdockcrash

import (
	"hash/maphash"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Answer tells the other entries when a request was answered with success.
type Answer struct {
	Request Digest
	At      burdockclock.Millis
}

// AddAnswer records that this entry got a successful answer to a request, if the request ran at
// upstreams that crashed. A time in the future counts as now.
func (t *Tracker) AddAnswer(now burdockclock.Millis, a Answer) {
	s := t.requests[a.Request]
	if s == nil {
		return
	}
	s.answeredAt = max(s.answeredAt, min(a.At, now))
	s.answers++
}

// AddToldAnswer records an answer that all entries are told of.
func (t *Tracker) AddToldAnswer(now burdockclock.Millis, a Answer) {
	at := min(a.At, now)
	if now-at > t.cfg.TTL {
		return
	}
	s := t.suspect(a.Request)
	s.answeredAt, s.toldAt = max(s.answeredAt, at), max(s.toldAt, at)
}

// Untold returns this entry's latest answer to a request if the others need it: without it, they
// keep the request from upstreams.
func (t *Tracker) Untold(d Digest) (Answer, bool) {
	s := t.requests[d]
	if s == nil || s.answeredAt <= s.toldAt {
		return Answer{}, false
	}
	mine, theirs := t.counted(s, s.answeredAt), t.counted(s, s.toldAt)
	if t.isEnough(s, mine, s.answeredAt) || !t.isEnough(s, theirs, s.toldAt) {
		return Answer{}, false
	}
	return Answer{d, s.answeredAt}, true
}

const (
	// maxRecentAnswers bounds the answers of each of two generations that are remembered, and
	// generationTime is the span of one.
	maxRecentAnswers = 2048
	generationTime   = burdockclock.Minute
)

// RecentAnswers remembers which requests were answered with success lately, before any crash
// gives a reason to look at them. Its keys cost less than digests. It is not safe for concurrent
// use.
type RecentAnswers struct {
	seed             maphash.Seed
	latest, previous map[uint64]burdockclock.Millis
	rotateAt         burdockclock.Millis
}

// NewRecentAnswers returns an empty memory.
func NewRecentAnswers() *RecentAnswers {
	return &RecentAnswers{seed: maphash.MakeSeed(), latest: map[uint64]burdockclock.Millis{}}
}

// Key returns the key of a request in this memory. It is safe for concurrent use.
func (r *RecentAnswers) Key(service burdockid.Service, method, target string, customer burdockid.Customer, body []byte, shared ...burdockid.PromptPart) uint64 {
	var h maphash.Hash
	h.SetSeed(r.seed)
	for _, part := range []string{string(service), method, target, string(customer)} {
		maphash.WriteComparable(&h, len(part))
		_, _ = h.WriteString(part) // never fails
	}
	maphash.WriteComparable(&h, len(body))
	_, _ = h.Write(body)
	for _, part := range shared {
		maphash.WriteComparable(&h, len(part))
		_, _ = h.WriteString(string(part))
	}
	return h.Sum64()
}

// Add records a successful answer.
func (r *RecentAnswers) Add(now burdockclock.Millis, key uint64) {
	if now >= r.rotateAt || len(r.latest) >= maxRecentAnswers {
		r.rotateAt = now + generationTime
		r.previous, r.latest = r.latest, map[uint64]burdockclock.Millis{}
	}
	r.latest[key] = now
}

// LastAt returns when a request was last answered with success; 0 if it isn't remembered.
func (r *RecentAnswers) LastAt(key uint64) burdockclock.Millis {
	if at, ok := r.latest[key]; ok {
		return at
	}
	return r.previous[key]
}
