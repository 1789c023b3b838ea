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
	// keepBehind is how much of an answer is kept after it was sent, so that a
	// reader that lost its connection can go on from where it was.
	keepBehind = 1 << 20
	// readAhead is how far the upstream is read ahead of the readers. It bounds
	// what one slow reader costs; the upstream then waits for it.
	readAhead = 1 << 20
	// keepEnded is how long an ended job is kept. An entry finds a silent
	// connection after two seconds and attaches again a few times.
	keepEnded = 10 * burdockclock.Second
)

// job is one request at this agent, from its admission until its answer has
// been read or given up.
type job struct {
	id       burdockid.Request
	request  *burdockwire.RunRequest
	deadline burdockclock.Millis // on the boot clock; 0 is none
	arrived  burdockclock.Millis
	clock    burdockclock.Clock
	slot     burdockledger.Slot // of its key, if it has one

	mu      sync.Mutex
	room    *sync.Cond // signalled when a reader has taken bytes, and on each tick
	machine burdockcharts.RequestMachine
	readers map[*reader]struct{}
	// unread is since when nobody reads the answer; 0 while somebody does.
	unread    burdockclock.Millis
	head      *burdockwire.Head
	kept      []byte
	base      int64 // offset of kept[0]
	sent      int64 // offset up to which some reader has sent
	outcome   outcome
	delivered bool // a reader has passed the outcome on
	endedAt   burdockclock.Millis
	cancel    context.CancelFunc
	served    burdockid.Tokens
	startedAt burdockclock.Millis
	firstByte burdockclock.Millis
}

// outcome is how a job ended: ended, cut or refused.
type outcome interface{ isOutcome() }

// ended: the whole answer came.
type ended struct{ total int64 }

// cut: the answer will not become whole.
type cut struct {
	reason      burdockwire.CutReason
	explanation string
}

// refused: the request was never handed to the upstream.
type refused struct {
	reason      burdockwire.RefusedReason
	retryAfter  burdockclock.Millis
	explanation string
}

func (ended) isOutcome()   {}
func (cut) isOutcome()     {}
func (refused) isOutcome() {}

// reader is woken when its job has something new.
type reader struct{ wake chan struct{} }

func newJob(req *burdockwire.RunRequest, now burdockclock.Millis, clock burdockclock.Clock) *job {
	j := &job{
		id:       burdockid.Request(req.GetRequestId()),
		request:  req,
		arrived:  now,
		deadline: deadline(now, burdockclock.Millis(req.GetTimeoutMillis())),
		clock:    clock,
		machine:  burdockcharts.NewRequest(),
		readers:  map[*reader]struct{}{},
		unread:   now,
	}
	if j.keyed() {
		j.slot = burdockledger.SlotOf(keyOf(req))
	}
	j.room = sync.NewCond(&j.mu)
	return j
}

// fire takes an event of the request's chart. An event that the chart rejects
// is a fault in this program, and going on could tell a caller "not run" of
// what ran.
func (j *job) fire(e burdockcharts.RequestEvent) {
	if _, err := j.machine.Fire(e); err != nil {
		panic(err)
	}
}

// step takes an event under the job's lock.
func (j *job) step(e burdockcharts.RequestEvent) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.fire(e)
}

// join adds a reader.
func (j *job) join() *reader {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := &reader{wake: make(chan struct{}, 1)}
	j.readers[r] = struct{}{}
	j.unread = 0
	return r
}

// leave removes a reader.
func (j *job) leave(r *reader) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.readers, r)
	if len(j.readers) == 0 {
		j.unread = j.clock.Boot()
	}
	j.room.Broadcast()
}

// wakeReaders must be called with the lock held.
func (j *job) wakeReaders() {
	for r := range j.readers {
		select {
		case r.wake <- struct{}{}:
		default: // it has not yet taken up the last call
		}
	}
}

// begin records the head of the upstream's answer.
func (j *job) begin(head *burdockwire.Head) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.fire(burdockcharts.RequestEventAnswerBegins)
	j.head = head
	j.firstByte = j.clock.Boot()
	j.wakeReaders()
}

// add appends bytes of the answer. It waits while the readers are too far
// behind, and reports false when the job was given up meanwhile.
func (j *job) add(ctx context.Context, data []byte) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for j.outcome == nil && ctx.Err() == nil && j.total()-j.sent > readAhead {
		j.room.Wait()
	}
	if j.outcome != nil || ctx.Err() != nil {
		return false
	}
	j.kept = append(j.kept, data...)
	j.trim()
	j.wakeReaders()
	return true
}

// trim drops bytes that were sent long ago.
func (j *job) trim() {
	if excess := j.sent - keepBehind - j.base; excess > keepBehind {
		j.kept = append([]byte(nil), j.kept[excess:]...)
		j.base += excess
	}
}

func (j *job) total() int64 { return j.base + int64(len(j.kept)) }

// settle records how the job ended. Only the first outcome counts. It reports
// whether this was the first.
func (j *job) settle(o outcome) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.outcome != nil {
		return false
	}
	j.outcome = o
	j.endedAt = j.clock.Boot()
	j.wakeReaders()
	j.room.Broadcast()
	return true
}

// keyed reports whether the request has an idempotency key.
func (j *job) keyed() bool { return j.request.GetIdempotencyKey() != "" }

// poke lets a runner that waits for room look at its deadline.
func (j *job) poke() { j.room.Broadcast() }

// progress is what is new for a reader that has read up to an offset.
type progress struct {
	head    *burdockwire.Head
	data    []byte
	outcome outcome
	gone    bool // the offset is no longer kept
}

// since returns what is new after offset. The data must be used before the
// reader asks again.
func (j *job) since(offset int64, headSent bool) progress {
	j.mu.Lock()
	defer j.mu.Unlock()
	if offset < j.base || offset > j.total() {
		return progress{gone: true}
	}
	var p progress
	if !headSent {
		p.head = j.head
	}
	data := j.kept[offset-j.base:]
	p.data = data[:min(len(data), maxChunk)]
	if offset+int64(len(p.data)) == j.total() {
		p.outcome = j.outcome
	}
	return p
}

// maxChunk bounds one message; a reader takes the rest with the next one.
const maxChunk = 64 << 10

// took records that a reader has sent all up to offset.
func (j *job) took(offset int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.sent = max(j.sent, offset)
	j.room.Broadcast()
}

// deliver records that a reader has passed the outcome on.
func (j *job) deliver() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.delivered = true
}

// cancelFunc returns what stops the job's work on the engine, or nil when it
// has no slot yet.
func (j *job) cancelFunc() context.CancelFunc {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.cancel
}

// waited returns how long the job waited for a slot.
func (j *job) waited(now burdockclock.Millis) burdockclock.Millis {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.startedAt > 0 {
		now = j.startedAt
	}
	return now - j.arrived
}

// ran returns how long the upstream took for an ended job.
func (j *job) ran() burdockclock.Millis {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.endedAt - j.startedAt
}

// queued reports whether the job waits for a slot.
func (j *job) queued() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.machine.State() == burdockcharts.RequestQueued
}
