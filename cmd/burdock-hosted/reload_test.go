package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"burdockbend.example/burdockbend/internal/config/burdocksettings"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

const testSettings = `vm = "vm-1"
dataCentre = "hall-a"
ip = "10.0.0.2"
upstreamAddress = "10.0.0.2:8000"
upstreamService = "model"
peerPort = 7000
storeAddress = "10.0.0.1:80"
logLevel = "info"
`

// newFollower returns a follower of a settings file, and what it logs.
func newFollower(t *testing.T, file string) (*follower, *observer.ObservedLogs) {
	t.Helper()
	write(t, file, testSettings)
	load := func() (burdocksettings.Hosted, error) {
		data, err := os.ReadFile(file)
		if err != nil {
			return burdocksettings.Hosted{}, err
		}
		return burdocksettings.LoadHosted(file, data)
	}
	settings, err := load()
	if err != nil {
		t.Fatal(err)
	}
	core, logs := observer.New(zap.DebugLevel)
	return &follower{load: load, inForce: settings, last: settings, level: zap.NewAtomicLevelAt(zap.InfoLevel), log: zap.New(core)}, logs
}

func write(t *testing.T, file, content string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
}

// Whoever looks for a cause sets the level to debug without a signal. The next
// look takes it over and says so once.
func TestChangedSettingsAreTakenOverWithoutASignal(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.toml")
	f, logs := newFollower(t, file)
	f.read(false)
	if got := logs.Len(); got != 0 {
		t.Errorf("lines about settings that are as before: got %d, want none", got)
	}
	write(t, file, strings.Replace(testSettings, "info", "debug", 1))
	f.read(false)
	f.read(false)
	if got, want := f.level.Level(), zap.DebugLevel; got != want {
		t.Errorf("level: got %s, want %s", got, want)
	}
	if got, want := logs.FilterMessage("settings read again").Len(), 1; got != want {
		t.Errorf("lines: got %d, want %d", got, want)
	}
}

// The file is broken while the process runs. The settings in force stay, the log
// has the finding with its place once, and the mended file is taken over.
func TestBrokenSettingsChangeNothing(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.toml")
	f, logs := newFollower(t, file)
	write(t, file, strings.Replace(testSettings, `"info"`, `"loud"`, 1))
	f.read(false)
	f.read(false)
	if got, want := f.level.Level(), zap.InfoLevel; got != want {
		t.Errorf("level: got %s, want %s", got, want)
	}
	lines := logs.FilterMessageSnippet("not usable").All()
	if len(lines) != 1 {
		t.Fatalf("lines about the broken file: got %d, want 1", len(lines))
	}
	if got := lines[0].ContextMap()["error"]; !strings.Contains(got.(string), "logLevel") {
		t.Errorf("error: got %q, want it to name logLevel", got)
	}
	write(t, file, testSettings)
	f.read(false)
	if f.failed || f.last != f.inForce {
		t.Errorf("after the file was mended: got %+v, want the settings in force", f.last)
	}
}
