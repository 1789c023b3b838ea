// Package burdocklog writes a process's log without ever holding up what logs.
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
	// maxLines bounds the lines that wait to be written: some seconds of a busy
	// process, about a megabyte.
	maxLines = 4096
	// maxOrdinary is how many of them may be ordinary ones, so that there is room
	// for warnings and errors when a reader falls behind.
	maxOrdinary = maxLines * 3 / 4
	// closeWait bounds how long the end of a process waits for its reader.
	closeWait = 200 * time.Millisecond
)

// Writer hands lines to a goroutine that writes them.
//
// Failure: whoever reads the log stalls. Symptom: a write to the pipe blocks,
// and with it each request that logs a line. So lines beyond a bound are left
// out, ordinary ones first, and the next line that is written says how many.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	closing chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewWriter starts to write to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxLines), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Dropped returns how many lines were left out.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what waits, for a bounded time.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.closing) })
	timer := time.NewTimer(closeWait)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}

func (w *Writer) run() {
	defer close(w.done)
	told := int64(0)
	for {
		select {
		case line := <-w.lines:
			told = w.write(line, told)
		case <-w.closing:
			for len(w.lines) > 0 {
				told = w.write(<-w.lines, told)
			}
			return
		}
	}
}

func (w *Writer) write(line []byte, told int64) int64 {
	if dropped := w.dropped.Load(); dropped > told {
		// Nobody reads the log if this fails.
		_, _ = fmt.Fprintf(w.out, "{\"level\":\"warn\",\"message\":\"log lines left out\",\"count\":%d}\n", dropped-told)
		told = dropped
	}
	_, _ = w.out.Write(line)
	return told
}

// sink takes lines as long as fewer than most wait.
type sink struct {
	writer *Writer
	most   int
}

// Write implements io.Writer. It never blocks.
func (s sink) Write(p []byte) (int, error) {
	if len(s.writer.lines) >= s.most {
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

// Encoder returns the form of every log's lines.
func Encoder() zapcore.Encoder {
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey = "time"
	cfg.MessageKey = "message"
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zapcore.NewJSONEncoder(cfg)
}

// Level returns the level of a name. One that isn't a level stands for "info":
// settings are checked before, and a tool may pass none.
func Level(name string) zapcore.Level {
	level, err := zapcore.ParseLevel(name)
	if err != nil {
		return zapcore.InfoLevel
	}
	return level
}

// New returns a log of JSON lines over a writer, at a level that may change while
// it is used.
func New(w *Writer, level zap.AtomicLevel) *zap.Logger {
	encoder := Encoder()
	ordinary := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return level.Enabled(l) && l < zapcore.WarnLevel })
	urgent := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return level.Enabled(l) && l >= zapcore.WarnLevel })
	return zap.New(zapcore.NewTee(
		zapcore.NewCore(encoder, sink{w, maxOrdinary}, ordinary),
		zapcore.NewCore(encoder, sink{w, maxLines}, urgent),
	))
}

// RedirectStdLog has what libraries write by the standard library's logger go to log,
// as warnings. The function that is returned ends that.
//
// Failure: an upstream sends bytes that nobody asked for on an idle connection.
// Symptom: net/http says so in a line of plain text on standard error, which
// whoever reads the log as JSON loses or trips over.
func RedirectStdLog(log *zap.Logger) (restore func()) {
	restore, err := zap.RedirectStdLogAt(log, zapcore.WarnLevel)
	if err != nil {
		log.Error("lines of libraries are not taken over", zap.Error(err))
		return func() {}
	}
	return restore
}
