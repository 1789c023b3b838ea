package burdockentry

import (
	"context"
	"time"
)

// leftoverLimit bounds how long the end of a stream is waited for. The agent
// sends it right behind its last event.
const leftoverLimit = time.Second

// leftover reads a stream to its end after the last event that counts.
//
// Load: hundreds of requests a second to the same agents. Harm: a connection
// whose answer was not read to its end can't be used again, so each request
// would open one of its own, with a TLS handshake where there is TLS. The
// caller has its answer already and doesn't wait for this; a connection that
// brings no end within the limit is closed, as before.
type leftover struct {
	entry  *Entry
	stream *eventStream
	cancel context.CancelCauseFunc
}

func (l *leftover) run() {
	defer l.entry.done.Done()
	defer l.close()
	limit := time.AfterFunc(leftoverLimit, func() { l.cancel(errSilent) })
	defer limit.Stop()
	for l.stream.Receive() {
		continue // whatever comes after the end of a request belongs to nobody
	}
}

func (l *leftover) close() {
	_ = l.stream.Close()
	l.cancel(nil)
}
