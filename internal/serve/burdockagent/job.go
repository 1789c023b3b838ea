package burdockagent

import (
	"context"
	"sync"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockledger"
	"burdockbend.example/burdockbend/internal/state/burdockcharts"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
)

const (
	// resendWindow is how much of an answer, in bytes, is kept after it was sent. A
	// reader that lost its connection can continue from an offset within it.
	resendWindow = 1 << 20
	// maxReadAhead is how far, in bytes, the upstream's answer is read ahead of the
	// readers. It limits the memory that a slow reader costs; beyond it, the upstream
	// has to wait for the reader.
	maxReadAhead = 1 << 20
	// endedRetention is how long an ended job is kept. An entry notices a dead
	// connection after two seconds and then tries to attach several times.
	endedRetention = 10 * burdockclock.Second
)

// job is a request at this agent, from its admission until its answer has been read or
// is no longer kept.
type job struct {
	id       burdockid.Request
	request  *burdockwire.RunRequest
	deadline burdockclock.Millis // on the boot clock; 0 is none
	arrived  burdockclock.Millis
	clock    burdockclock.Clock
	slot     burdockledger.Slot // of the idempotency key, if there is one
	priority *int               // that the upstream is told; nil if none

	mu         sync.Mutex
	spaceFreed *sync.Cond // signalled when a reader has sent bytes, and on each tick
	machine    burdockcharts.RequestMachine
	readers    map[*reader]struct{}
	// unreadSince is the time since which the answer has no reader; 0 if it has one.
	unreadSince  burdockclock.Millis
	head         *burdockwire.Head
	buffer       []byte
	bufferStart  int64 // offset of buffer[0] in the answer
	sentUpTo     int64 // highest offset up to which a reader has sent the answer
	outcome      outcome
	delivered    bool // a reader has sent the outcome
	endedAt      burdockclock.Millis
	cancel       context.CancelFunc
	servedTokens burdockid.Tokens
	startedAt    burdockclock.Millis
	firstByteAt  burdockclock.Millis
}

// outcome is the outcome of a job: ended, cut or refused.
type outcome interface{ isOutcome() }

// ended means that the whole answer was received.
type ended struct{ totalBytes int64 }

// cut means that the job ended without a whole answer.
type cut struct {
	reason      burdockwire.CutReason
	explanation string
}

// refused means that the request was never sent to the upstream.
type refused struct {
	reason      burdockwire.RefusedReason
	retryAfter  burdockclock.Millis
	explanation string
}

func (ended) isOutcome()   {}
func (cut) isOutcome()     {}
func (refused) isOutcome() {}

// reader is an entry that reads a job's answer. It is woken when the job has progressed.
type reader struct{ wake chan struct{} }

func newJob(req *burdockwire.RunRequest, now burdockclock.Millis, clock burdockclock.Clock) *job {
	j := &job{
		id:          burdockid.Request(req.GetRequestId()),
		request:     req,
		arrived:     now,
		deadline:    deadline(now, burdockclock.Millis(req.GetTimeoutMillis())),
		clock:       clock,
		machine:     burdockcharts.NewRequest(),
		readers:     map[*reader]struct{}{},
		unreadSince: now,
	}
	if j.hasKey() {
		j.slot = burdockledger.SlotOf(keyOf(req))
	}
	j.spaceFreed = sync.NewCond(&j.mu)
	return j
}

// fireLocked applies an event to the request's state chart. It panics if the chart
// rejects the event: that is a bug in this program, and continuing could report "not run"
// for a request that ran. The job's lock must be held.
func (j *job) fireLocked(e burdockcharts.RequestEvent) {
	if _, err := j.machine.Fire(e); err != nil {
		panic(err)
	}
}

// fire is fireLocked for callers that don't hold the lock.
func (j *job) fire(e burdockcharts.RequestEvent) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.fireLocked(e)
}

// addReader adds a reader.
func (j *job) addReader() *reader {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := &reader{wake: make(chan struct{}, 1)}
	j.readers[r] = struct{}{}
	j.unreadSince = 0
	return r
}

// removeReader removes a reader.
func (j *job) removeReader(r *reader) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.readers, r)
	if len(j.readers) == 0 {
		j.unreadSince = j.clock.Boot()
	}
	j.spaceFreed.Broadcast()
}

// wakeReaders wakes all readers. The job's lock must be held.
func (j *job) wakeReaders() {
	for r := range j.readers {
		select {
		case r.wake <- struct{}{}:
		default: // a wake-up is already pending
		}
	}
}

// setHead records the status and headers of the upstream's answer.
func (j *job) setHead(head *burdockwire.Head) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.fireLocked(burdockcharts.RequestEventAnswerBegins)
	j.head = head
	j.firstByteAt = j.clock.Boot()
	j.wakeReaders()
}

// appendData appends bytes of the answer. It waits while the readers are too far behind,
// and returns false if the job ended in the meantime.
func (j *job) appendData(ctx context.Context, data []byte) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for j.outcome == nil && ctx.Err() == nil && j.totalBytes()-j.sentUpTo > maxReadAhead {
		j.spaceFreed.Wait()
	}
	if j.outcome != nil || ctx.Err() != nil {
		return false
	}
	j.buffer = append(j.buffer, data...)
	j.trimBuffer()
	j.wakeReaders()
	return true
}

// trimBuffer drops bytes that are more than resendWindow behind what was sent, at least
// resendWindow bytes at a time.
func (j *job) trimBuffer() {
	if excess := j.sentUpTo - resendWindow - j.bufferStart; excess > resendWindow {
		j.buffer = append([]byte(nil), j.buffer[excess:]...)
		j.bufferStart += excess
	}
}

func (j *job) totalBytes() int64 { return j.bufferStart + int64(len(j.buffer)) }

// setOutcome records the outcome of the job, unless it already has one. It reports
// whether the outcome was recorded.
func (j *job) setOutcome(o outcome) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.outcome != nil {
		return false
	}
	j.outcome = o
	j.endedAt = j.clock.Boot()
	j.wakeReaders()
	j.spaceFreed.Broadcast()
	return true
}

// hasKey reports whether the request has an idempotency key.
func (j *job) hasKey() bool { return j.request.GetIdempotencyKey() != "" }

// wakeRunner makes a runner that waits for its readers check its deadline.
func (j *job) wakeRunner() { j.spaceFreed.Broadcast() }

// progress contains what is new for a reader that has read up to an offset.
type progress struct {
	head    *burdockwire.Head
	data    []byte
	outcome outcome
	gone    bool // the bytes at the offset are not available
}

// progressSince returns what is new after offset. The data is at most one message and
// must be used before the next call.
func (j *job) progressSince(offset int64, headSent bool) progress {
	j.mu.Lock()
	defer j.mu.Unlock()
	if offset < j.bufferStart || offset > j.totalBytes() {
		return progress{gone: true}
	}
	var p progress
	if !headSent {
		p.head = j.head
	}
	data := j.buffer[offset-j.bufferStart:]
	p.data = data[:min(len(data), maxChunkBytes)]
	if offset+int64(len(p.data)) == j.totalBytes() {
		p.outcome = j.outcome
	}
	return p
}

// maxChunkBytes limits the data in one message. The rest follows in further messages.
const maxChunkBytes = 64 << 10

// markSent records that a reader has sent the answer up to offset.
func (j *job) markSent(offset int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.sentUpTo = max(j.sentUpTo, offset)
	j.spaceFreed.Broadcast()
}

// markDelivered records that a reader has sent the outcome.
func (j *job) markDelivered() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.delivered = true
}

// cancelFunc returns the function that stops the job on the engine, or nil if the job has
// no engine slot yet.
func (j *job) cancelFunc() context.CancelFunc {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.cancel
}

// queueWait returns how long the job has waited for an engine slot.
func (j *job) queueWait(now burdockclock.Millis) burdockclock.Millis {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.startedAt > 0 {
		now = j.startedAt
	}
	return now - j.arrived
}

// runTime returns how long an ended job ran on the engine.
func (j *job) runTime() burdockclock.Millis {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.endedAt - j.startedAt
}

// queued reports whether the job waits for an engine slot.
func (j *job) queued() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.machine.State() == burdockcharts.RequestQueued
}
