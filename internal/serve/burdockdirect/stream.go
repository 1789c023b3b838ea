package burdockdirect

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"github.com/joomcode/errorx"
)

const (
	// streamBuffer is the size of the read buffer: it holds several events.
	streamBuffer = 8 << 10
	// maxEvent bounds the size of one event.
	maxEvent     = 1 << 20
	eventTooLong = "an event is too long"
	// maxEventEnd is the length of the longest of eventEnds.
	maxEventEnd = 3
	// silenceCheckInterval is how often a stream is checked for silence.
	silenceCheckInterval = 250 * time.Millisecond
	// silenceTimeout is how long a stream may have no event while others of the same
	// service have some: many steps, but less than callers tolerate.
	silenceTimeout = burdockclock.Second
)

var (
	// eventEnds are the ends of a line followed by an empty line.
	eventEnds = [][]byte{[]byte("\n\n"), []byte("\n\r\n")}
	idField   = []byte("id:")
	errSilent = errors.New("the connection went silent")
)

// stream passes the events of an answer on as they arrive. It passes on complete events
// only, so that a stream that breaks off within one can resume at another upstream.
type stream struct {
	attempt        *attempt
	res            *http.Response
	cancel         context.CancelCauseFunc
	partial        []byte       // of an event that is not complete yet
	held           heldBytes    // of partial
	lastEventAt    atomic.Int64 // boot time of the last event, or of the start
	eventForwarded atomic.Bool  // whether any event was passed on
	done           chan struct{}
}

// forward passes events on until the stream ends.
func (s *stream) forward(ctx context.Context) result {
	s.lastEventAt.Store(int64(s.attempt.offers.entry.now()))
	s.done = make(chan struct{})
	defer close(s.done)
	s.held.budget = s.attempt.offers.entry.answers
	defer s.held.release()
	if s.attempt.offers.req.route.Repeatable() {
		go s.watchSilence()
	}
	buf := make([]byte, streamBuffer)
	for {
		n, err := s.res.Body.Read(buf)
		if n > 0 {
			switch err := s.forwardEvents(buf[:n]); {
			case errorx.IsOfType(err, errTooLong):
				return s.brokenResult(eventTooLong, false)
			case err != nil:
				return ended{}
			}
		}
		if err == io.EOF {
			return s.finish()
		}
		if err != nil {
			return s.readFailed(ctx, err)
		}
	}
}

// forwardEvents passes on the events that are complete now. It fails if the caller can't be
// written to, or an event is too long.
func (s *stream) forwardEvents(b []byte) error {
	// The end of an event may have begun in the bytes before.
	from := max(len(s.partial)-maxEventEnd, 0)
	s.partial = append(s.partial, b...)
	end := endOfEvents(s.partial, from)
	if end == 0 {
		if len(s.partial) >= maxEvent || !s.held.grow(len(b)) {
			return errTooLong.New("an event of more than %d bytes", len(s.partial))
		}
		return nil
	}
	events := s.partial[:end]
	s.recordEvents(events)
	o := s.attempt.offers
	if !o.caller.headWritten {
		o.caller.writeHead(s.res.StatusCode, s.res.Header, -1)
	}
	if err := o.caller.write(events); err != nil {
		return err
	}
	s.keepRest(end)
	return nil
}

// keepRest drops the complete events from the buffer, and the buffer if it has become large.
func (s *stream) keepRest(end int) {
	rest := s.partial[end:]
	if cap(s.partial) > freeBytes {
		s.partial = nil
	}
	s.partial = append(s.partial[:0], rest...)
	s.held.release()
	s.held.grow(len(s.partial)) // at most one read, which always fits
}

// endOfEvents returns the length of the complete events that a text begins with; 0 if none ends
// at or after from.
func endOfEvents(b []byte, from int) int {
	end := 0
	for _, sep := range eventEnds {
		if at := bytes.LastIndex(b[from:], sep); at >= 0 {
			end = max(end, from+at+len(sep))
		}
	}
	return end
}

// recordEvents records the last event's ID and the gap before the events.
func (s *stream) recordEvents(events []byte) {
	o := s.attempt.offers
	now := o.entry.now()
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, idField); ok {
			o.lastEventID = string(bytes.TrimSpace(id))
			o.eventCount++
		}
	}
	if !s.eventForwarded.Load() {
		s.attempt.gotFirstEvent = true
		o.firstEventTime = now - s.attempt.startedAt
		o.pool.recordFirstEvent(s.attempt.target.ID, o.firstEventTime)
		o.watch.answerBegan(s.attempt.target)
		o.entry.meters.firstEvents.Update(o.firstEventTime.Duration().Seconds())
	} else {
		gap := now - burdockclock.Millis(s.lastEventAt.Load())
		o.maxEventGap = max(o.maxEventGap, gap)
		o.pool.gate.observeEventGap(s.attempt.target.ID, gap)
	}
	s.eventForwarded.Store(true)
	s.lastEventAt.Store(int64(now))
	o.pool.recordEvent(now, s.attempt.target.ID)
}

// watchSilence cancels a stream that has gone silent.
//
// Something between the two ends may have lost track of a connection that stays open:
// there is no event and no error, and the caller gives up. Engines in lock-step emit
// events for all streams at the same time, so if other streams of the service have had
// events for a while and this one has not, its connection is likely to be at fault, and it
// resumes at another upstream. An engine may also have preempted it. A stream that can't be
// resumed is therefore left alone: if its engine goes on, its caller gets the rest.
func (s *stream) watchSilence() {
	ticker := time.NewTicker(silenceCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-ticker.C:
		}
		last := burdockclock.Millis(s.lastEventAt.Load())
		o := s.attempt.offers
		if s.eventForwarded.Load() && o.pool.connectionLost(o.entry.now(), last) {
			s.cancel(errSilent)
			return
		}
	}
}

func (s *stream) finish() result {
	if len(s.partial) > 0 || !s.attempt.offers.caller.headWritten {
		return s.brokenResult("it ended within an event", true)
	}
	return answered{}
}

func (s *stream) readFailed(ctx context.Context, err error) result {
	if cancelledLocally(ctx) {
		return s.brokenResult(context.Cause(ctx).Error(), false)
	}
	if ctx.Err() != nil {
		return ended{}
	}
	if s.hadRecentEvent() {
		return s.brokenResult(err.Error(), true)
	}
	return s.brokenAfterSilence(err.Error())
}

// hadRecentEvent reports whether the stream had an event within silenceTimeout. When a
// rank of a group dies, the streams at the others break off too, but only after a long
// silence.
func (s *stream) hadRecentEvent() bool {
	return s.attempt.offers.entry.now()-burdockclock.Millis(s.lastEventAt.Load()) < silenceTimeout
}

// cancelledLocally reports whether this entry cancelled an offer, so that the stream can
// resume at another upstream, because a part of its prompt was quarantined, or at the end of a
// planned stop.
func cancelledLocally(ctx context.Context) bool {
	cause := context.Cause(ctx)
	for _, local := range []error{errSilent, errEngineSlow, errPartQuarantined, errStopped} {
		if errors.Is(cause, local) {
			return true
		}
	}
	return false
}

// brokenResult returns the result of a stream that broke off. If byUpstream, the
// upstream's connection broke.
func (s *stream) brokenResult(reason string, byUpstream bool) result {
	if s.attempt.offers.caller.headWritten {
		return broken{reason: reason, connectionBroke: byUpstream}
	}
	return unknown{reason: reason, connectionBroke: byUpstream}
}

// brokenAfterSilence returns the result of a stream that broke off after it had no event for
// long, as those at all ranks of a group do when one rank dies.
func (s *stream) brokenAfterSilence(reason string) result {
	if s.attempt.offers.caller.headWritten {
		return broken{reason: reason, brokeAfterSilence: true}
	}
	return unknown{reason: reason, brokeAfterSilence: true}
}
