package burdockentry

import (
	"context"
	"time"
)

// streamEndTimeout bounds the wait for the end of a stream. The agent sends it right
// after its last event.
const streamEndTimeout = time.Second

// streamCloser reads a stream to its end after the event that ended the request, and
// closes it.
//
// A connection can be reused only when its response was read to the end. Without this,
// at hundreds of requests a second to the same agents, each request opens a connection
// of its own, with a TLS handshake where TLS is used. The caller has its response
// already and doesn't wait. A connection whose stream does not end within
// streamEndTimeout is closed.
type streamCloser struct {
	entry  *Entry
	stream *eventStream
	cancel context.CancelCauseFunc
}

func (c *streamCloser) run() {
	defer c.entry.wg.Done()
	defer c.close()
	timer := time.AfterFunc(streamEndTimeout, func() { c.cancel(errSilent) })
	defer timer.Stop()
	for c.stream.Receive() {
		continue // events after the end of the request are ignored
	}
}

func (c *streamCloser) close() {
	_ = c.stream.Close()
	c.cancel(nil)
}
