package burdocklog

import (
	"bytes"
	"log"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
)

// buffer is a log output that never blocks.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func TestLinesAreWritten(t *testing.T) {
	var out buffer
	w := NewWriter(&out)
	log := New(w, zap.NewAtomicLevelAt(zap.InfoLevel))
	log.Debug("below the level")
	log.Info("first", zap.Int("n", 1))
	log.Warn("second")
	w.Close()
	got := out.b.String()
	if strings.Contains(got, "below") || !strings.Contains(got, `"message":"first","n":1`) || !strings.Contains(got, `"message":"second"`) {
		t.Errorf("got %q, want the first and second line", got)
	}
}

// Nobody reads the pipe that the log is written to. Logging must not block, and once the
// pipe is read again, the log must contain the number of dropped lines and the warning, for
// which the queue still had room.
func TestStalledReaderDoesNotBlockLogging(t *testing.T) {
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	w := NewWriter(write)
	log := New(w, zap.NewAtomicLevelAt(zap.InfoLevel))
	const lines = 2 * maxLines
	logged := make(chan struct{})
	go func() {
		for i := range lines {
			log.Info("ordinary line", zap.Int("n", i), zap.String("padding", strings.Repeat("x", 100)))
		}
		log.Warn("a warning")
		close(logged)
	}()
	select {
	case <-logged:
	case <-time.After(10 * time.Second):
		t.Fatal("logging blocks while nobody reads")
	}
	if w.Dropped() == 0 {
		t.Error("got no dropped line, want some")
	}
	text := make(chan string)
	go func() {
		var b bytes.Buffer
		_, _ = b.ReadFrom(read)
		text <- b.String()
	}()
	deadline := time.Now().Add(10 * time.Second)
	for len(w.lines) > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	w.Close()
	_ = write.Close()
	got := <-text
	if !strings.Contains(got, "log lines left out") || !strings.Contains(got, "a warning") {
		t.Errorf("got %d bytes without the warning or the number of dropped lines", len(got))
	}
}

// net/http reports an unsolicited response of an upstream through the standard library's
// logger. The line must be in the process's log, where operators look for causes.
func TestStdLogIsRedirected(t *testing.T) {
	var out buffer
	lines := NewWriter(&out)
	restore := RedirectStdLog(New(lines, zap.NewAtomicLevelAt(zap.InfoLevel)))
	log.Print("Unsolicited response received on idle HTTP channel")
	restore()
	lines.Close()
	for _, want := range []string{`"level":"warn"`, `"message":"Unsolicited response received on idle HTTP channel"`} {
		if got := out.b.String(); !strings.Contains(got, want) {
			t.Errorf("log: got %q, want it to contain %s", got, want)
		}
	}
}

// Operators lower the level of a running process to diagnose a problem.
func TestLevelChangesWhileRunning(t *testing.T) {
	var out buffer
	lines := NewWriter(&out)
	level := zap.NewAtomicLevelAt(zap.InfoLevel)
	log := New(lines, level)
	log.Debug("too early")
	level.SetLevel(Level("debug"))
	log.Debug("in time")
	lines.Close()
	if got := out.b.String(); strings.Contains(got, "too early") || !strings.Contains(got, "in time") {
		t.Errorf("got %q, want the second line alone", got)
	}
}
