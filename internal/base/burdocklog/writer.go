// Package burdocklog writes a process's log without ever blocking the code that logs.
package burdocklog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// maxLines bounds the queue of lines to write. It covers a few seconds of a busy
	// process, about a megabyte.
	maxLines = 4096
	// maxLinesBelowWarn is the queue length from which on lines below the level of
	// warnings are dropped. The rest is reserved for warnings and errors, in case the
	// reader falls behind.
	maxLinesBelowWarn = maxLines * 3 / 4
	// closeTimeout bounds how long a process that ends waits for the reader of its log.
	closeTimeout = 200 * time.Millisecond
)

// Writer queues log lines for a goroutine that writes them.
//
// When the reader of the log stalls, a write to the pipe blocks, and each request that logs
// a line would block with it. Lines beyond a limit are therefore dropped, those below the
// level of warnings first, and their number is logged before the next line.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	closing chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewWriter returns a Writer to out and starts its goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxLines), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and waits for that for a limited time.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.closing) })
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}

func (w *Writer) run() {
	defer close(w.done)
	reported := int64(0)
	for {
		select {
		case line := <-w.lines:
			reported = w.write(line, reported)
		case <-w.closing:
			for len(w.lines) > 0 {
				reported = w.write(<-w.lines, reported)
			}
			return
		}
	}
}

func (w *Writer) write(line []byte, reported int64) int64 {
	if dropped := w.dropped.Load(); dropped > reported {
		// If the write fails, nobody reads the log.
		_, _ = fmt.Fprintf(w.out, "{\"level\":\"warn\",\"message\":\"log lines left out\",\"count\":%d}\n", dropped-reported)
		reported = dropped
	}
	_, _ = w.out.Write(line)
	return reported
}

// sink queues a line if fewer than limit lines are queued, and drops it otherwise.
type sink struct {
	writer *Writer
	limit  int
}

// Write implements io.Writer. It never blocks.
func (s sink) Write(p []byte) (int, error) {
	if len(s.writer.lines) >= s.limit {
		s.writer.dropped.Add(1)
		return len(p), nil
	}
	select {
	case s.writer.lines <- append([]byte(nil), p...):
	default:
		s.writer.dropped.Add(1)
	}
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer.
func (s sink) Sync() error { return nil }

// Encoder returns the encoder for the lines of all logs.
func Encoder() zapcore.Encoder {
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey = "time"
	cfg.MessageKey = "message"
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zapcore.NewJSONEncoder(cfg)
}

// Level returns the level with the given name, or the level "info" if there is none:
// settings are validated before, and a tool may pass an empty name.
func Level(name string) zapcore.Level {
	level, err := zapcore.ParseLevel(name)
	if err != nil {
		return zapcore.InfoLevel
	}
	return level
}

// New returns a logger that writes JSON lines to w, at a level that may change while the
// logger is in use.
func New(w *Writer, level zap.AtomicLevel) *zap.Logger {
	encoder := Encoder()
	belowWarn := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return level.Enabled(l) && l < zapcore.WarnLevel })
	warnOrAbove := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return level.Enabled(l) && l >= zapcore.WarnLevel })
	return zap.New(zapcore.NewTee(
		zapcore.NewCore(encoder, sink{w, maxLinesBelowWarn}, belowWarn),
		zapcore.NewCore(encoder, sink{w, maxLines}, warnOrAbove),
	))
}

// RedirectStdLog redirects the standard library's logger, which libraries use, to log, as
// warnings. The returned function undoes that.
//
// For example, net/http reports an unsolicited response on an idle connection as a line of
// plain text on standard error, which a reader of JSON lines drops or fails on.
func RedirectStdLog(log *zap.Logger) (restore func()) {
	restore, err := zap.RedirectStdLogAt(log, zapcore.WarnLevel)
	if err != nil {
		log.Error("can't redirect the standard library's logger", zap.Error(err))
		return func() {}
	}
	return restore
}
