package burdocksettings

import (
	"errors"
	"slices"
	"strings"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockfinding"
)

const hostedEntry = `vm = "edge-1"
dataCentre = "hall-a"
ip = "10.1.0.40"
callerListen = "10.1.0.40:8227"
readyListen = "10.1.0.40:8220"
peerPort = 7340
storeAddress = "10.200.1.7:8223"
graceMillis = 8000
memoryMB = 284
`

func TestLoadHosted(t *testing.T) {
	got, err := LoadHosted("node.toml", []byte(hostedEntry))
	if err != nil {
		t.Fatal(err)
	}
	if got.CallerListen != "10.1.0.40:8227" || got.AdminPort != defaultAdminPort || got.LogLevel != defaultLogLevel || got.SharedAdmission != SharedAdmissionAuto {
		t.Errorf("got %+v, want the file's listener and the defaults of missing keys", got)
	}
}

// All findings are reported at once, each with its line.
func TestHostedFindings(t *testing.T) {
	text := strings.NewReplacer(
		`ip = "10.1.0.40"`, `zone = "hall-a"`,
		`peerPort = 7340`, `peerPort = 0`,
		`memoryMB = 284`, `sharedAdmission = "sometimes"`,
		`"10.200.1.7:8223"`, `"store:8223"`,
		`readyListen = "10.1.0.40:8220"`, `readyListen = "10.1.0.40:8227"`,
	).Replace(hostedEntry)
	_, err := LoadHosted("node.toml", []byte(text))
	var findings *burdockfinding.Error
	if !errors.As(err, &findings) {
		t.Fatalf("got %v, want findings", err)
	}
	lines := map[string]int{}
	for _, f := range findings.Findings {
		lines[f.Key] = f.Line
	}
	for key, want := range map[string]int{"zone": 3, "readyListen": 5, "peerPort": 6, "storeAddress": 7, "sharedAdmission": 9} {
		if got := lines[key]; got != want {
			t.Errorf("finding on %s: got line %d, want %d; all: %v", key, got, want, findings)
		}
	}
	if _, err := LoadHosted("node.toml", []byte(strings.ReplaceAll(hostedEntry, "callerListen", "# callerListen"))); err == nil {
		t.Error("neither a listener nor an upstream: got no finding")
	}
}

// Settings that change while the process runs take effect only after a restart, except
// the log level. An operator must learn which of the changed keys are affected.
func TestRestartRequired(t *testing.T) {
	inForce := Hosted{VM: "vm-1", PeerPort: 7000, LogLevel: "info"}
	updated := inForce
	updated.LogLevel = "debug"
	if got := inForce.RestartRequired(updated); len(got) != 0 {
		t.Errorf("changed log level: got %q, want no keys", got)
	}
	updated.PeerPort, updated.StoreAddress = 7001, "10.0.0.1:80"
	if got, want := inForce.RestartRequired(updated), []string{"peerPort", "storeAddress"}; !slices.Equal(got, want) {
		t.Errorf("changed addresses: got %q, want %q", got, want)
	}
}
