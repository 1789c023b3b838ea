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

// newSettingsWatcher returns a watcher of a settings file and the log lines it writes.
func newSettingsWatcher(t *testing.T, file string) (*settingsWatcher, *observer.ObservedLogs) {
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
	return &settingsWatcher{load: load, startup: settings, latest: settings, level: zap.NewAtomicLevelAt(zap.InfoLevel), log: zap.New(core)}, logs
}

func write(t *testing.T, file, content string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
}

// An operator sets the log level to debug without sending a signal. The next poll
// applies it and logs the change once.
func TestChangedSettingsApplyWithoutSignal(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.toml")
	w, logs := newSettingsWatcher(t, file)
	w.reload(false)
	if got := logs.Len(); got != 0 {
		t.Errorf("log lines for unchanged settings: got %d, want none", got)
	}
	write(t, file, strings.Replace(testSettings, "info", "debug", 1))
	w.reload(false)
	w.reload(false)
	if got, want := w.level.Level(), zap.DebugLevel; got != want {
		t.Errorf("level: got %s, want %s", got, want)
	}
	if got, want := logs.FilterMessage("settings read again").Len(), 1; got != want {
		t.Errorf("log lines for the changed level: got %d, want %d", got, want)
	}
}

// The file becomes invalid while the process runs. The settings in force stay, the
// finding with its position is logged once, and the corrected file is applied.
func TestInvalidSettingsAreIgnored(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.toml")
	w, logs := newSettingsWatcher(t, file)
	write(t, file, strings.Replace(testSettings, `"info"`, `"loud"`, 1))
	w.reload(false)
	w.reload(false)
	if got, want := w.level.Level(), zap.InfoLevel; got != want {
		t.Errorf("level: got %s, want %s", got, want)
	}
	lines := logs.FilterMessageSnippet("not usable").All()
	if len(lines) != 1 {
		t.Fatalf("log lines for the invalid file: got %d, want 1", len(lines))
	}
	if got := lines[0].ContextMap()["error"]; !strings.Contains(got.(string), "logLevel") {
		t.Errorf("error: got %q, want it to name logLevel", got)
	}
	write(t, file, testSettings)
	w.reload(false)
	if w.loadFailed || w.latest != w.startup {
		t.Errorf("after the file was corrected: got %+v, want the settings in force", w.latest)
	}
}
