package burdockcheck

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockgolden"
	"burdockbend.example/burdockbend/internal/config/burdockkey"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// run returns the exit status and output of a command.
func run(cmd func(*bytes.Buffer) *ffcli.Command, args ...string) (int, string) {
	var w bytes.Buffer
	status := Run(context.Background(), cmd(&w), args, &w)
	return status, w.String()
}

func profile(w *bytes.Buffer) *ffcli.Command  { return ProfileCommand(w) }
func fleet(w *bytes.Buffer) *ffcli.Command    { return FleetCommand(w) }
func settings(w *bytes.Buffer) *ffcli.Command { return SettingsCommand(w) }
func key(w *bytes.Buffer) *ffcli.Command      { return KeyCommand(w) }

// runCase checks a testdata file with the command that its name starts with.
func runCase(t *testing.T, file string) (int, string) {
	t.Helper()
	kind, _, _ := strings.Cut(filepath.Base(file), "-")
	switch kind {
	case "profile":
		return run(profile, file)
	case "fleet":
		profiles := strings.TrimSuffix(file, ".toml") + ".profiles"
		if _, err := os.Stat(profiles); err == nil {
			return run(fleet, file, "--profiles", profiles)
		}
		return run(fleet, file)
	case roleEntry, roleAgent:
		return run(settings, kind, file)
	}
	t.Fatalf("no command for %s", file)
	return 0, ""
}

func TestFindings(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("testdata", "*.toml"))
	if err != nil || len(files) == 0 {
		t.Fatalf("Glob: %d files, %v", len(files), err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			status, got := runCase(t, file)
			if status != StatusFindings {
				t.Errorf("status = %d, want %d", status, StatusFindings)
			}
			burdockgolden.Compare(t, strings.TrimSuffix(filepath.Base(file), ".toml"), got)
		})
	}
}

func TestExamplesHaveNoFindings(t *testing.T) {
	for _, dir := range []string{"tecnoval", "nuty-wspolne"} {
		root := filepath.Join("..", "..", "..", "examples", dir)
		path := func(name string) string { return filepath.Join(root, name) }
		for _, args := range []struct {
			cmd  func(*bytes.Buffer) *ffcli.Command
			args []string
		}{
			{profile, []string{path("profiles.toml")}},
			{fleet, []string{"--profiles", path("profiles.toml"), path("fleet.toml")}},
			{settings, []string{"entry", path("entry.toml")}},
			{settings, []string{"agent", path("agent.toml")}},
		} {
			status, got := run(args.cmd, args.args...)
			if status != StatusOK || !strings.Contains(got, "no findings") {
				t.Errorf("%v: status = %d, output %q, want %d and no findings", args.args, status, got, StatusOK)
			}
		}
	}
}

func TestUsageAndUnreadableFiles(t *testing.T) {
	tests := []struct {
		cmd  func(*bytes.Buffer) *ffcli.Command
		args []string
		want int
	}{
		{profile, nil, StatusFindings},
		{profile, []string{"no-such-file.toml"}, StatusFailed},
		{fleet, []string{"--profile", "x", "y"}, StatusFindings},
		{fleet, []string{"testdata/fleet-empty.toml", "--profile", "x"}, StatusFindings},
		{fleet, []string{"testdata/fleet-empty.toml", "testdata/fleet-empty.toml"}, StatusFindings},
		{fleet, []string{"--profiles", "no-such-file.toml", "testdata/fleet-empty.toml"}, StatusFailed},
		{settings, []string{"standin", "testdata/entry-tls.toml"}, StatusFindings},
		{settings, []string{"entry"}, StatusFindings},
		{key, []string{"now"}, StatusFindings},
	}
	for _, tt := range tests {
		if got, output := run(tt.cmd, tt.args...); got != tt.want || output == "" {
			t.Errorf("%v: status = %d, output %q, want %d and some output", tt.args, got, output, tt.want)
		}
	}
}

func TestKeyMatchesItsHash(t *testing.T) {
	status, output := run(key)
	if status != StatusOK {
		t.Fatalf("status = %d, want %d", status, StatusOK)
	}
	quoted := regexp.MustCompile(`"([^"]+)"`).FindAllStringSubmatch(output, -1)
	if len(quoted) != 2 {
		t.Fatalf("output = %q, want a key and a hash", output)
	}
	if !burdockkey.Matches(quoted[1][1], quoted[0][1]) {
		t.Errorf("Matches(%q, %q) = false, want true", quoted[1][1], quoted[0][1])
	}
}
