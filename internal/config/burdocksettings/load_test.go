package burdocksettings

import (
	"os"
	"path/filepath"
	"testing"
)

func TestExampleSettings(t *testing.T) {
	for _, dir := range []string{"tecnoval", "nuty-wspolne"} {
		root := filepath.Join("..", "..", "..", "examples", dir)
		data, err := os.ReadFile(filepath.Join(root, "entry.toml"))
		if err != nil {
			t.Fatal(err)
		}
		entry, err := LoadEntry("entry.toml", data)
		if err != nil {
			t.Errorf("%s: LoadEntry: %v", dir, err)
		}
		if got, want := entry.Limits.MaxHeaderBytes, defaultMaxHeaderBytes; got != want {
			t.Errorf("%s: MaxHeaderBytes = %d, want the default %d", dir, got, want)
		}
		if data, err = os.ReadFile(filepath.Join(root, "agent.toml")); err != nil {
			t.Fatal(err)
		}
		agent, err := LoadAgent("agent.toml", data)
		if err != nil {
			t.Errorf("%s: LoadAgent: %v", dir, err)
		}
		if got, want := agent.Slots, 32; got != want {
			t.Errorf("%s: Slots = %d, want %d", dir, got, want)
		}
	}
}

func FuzzLoad(f *testing.F) {
	for _, file := range []string{"tecnoval/entry.toml", "nuty-wspolne/agent.toml"} {
		data, err := os.ReadFile(filepath.Join("..", "..", "..", "examples", file))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if entry, err := LoadEntry("f", data); err == nil && len(entry.Check()) > 0 {
			t.Errorf("LoadEntry accepted settings with findings: %v", entry.Check())
		}
		if agent, err := LoadAgent("f", data); err == nil && len(agent.Check()) > 0 {
			t.Errorf("LoadAgent accepted settings with findings: %v", agent.Check())
		}
	})
}
