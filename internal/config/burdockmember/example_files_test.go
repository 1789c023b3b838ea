package burdockmember

import (
	"os"
	"path/filepath"
	"testing"

	"burdockbend.example/burdockbend/internal/config/burdockprofile"
)

// deployments are the directories of example files, with the names of their site, model
// service and plain service.
var deployments = []struct {
	dir, site, pool, app string
}{
	{"tecnoval", "gt-gua", "llm-pool", "bench-api"},
	{"nuty-wspolne", "mazowsze", "burdock-pisarz", "portal-wyplat"},
}

func readExample(t *testing.T, dir, name string) (string, []byte) {
	t.Helper()
	file := filepath.Join("..", "..", "..", "examples", dir, name)
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return file, data
}

func loadExample(t *testing.T, dir string) (Fleet, []burdockprofile.Profile) {
	t.Helper()
	profiles, err := burdockprofile.Parse(readExample(t, dir, "profiles.toml"))
	if err != nil {
		t.Fatalf("profiles of %s:\n%v", dir, err)
	}
	file, data := readExample(t, dir, "fleet.toml")
	fleet, err := Parse(file, data, profiles)
	if err != nil {
		t.Fatalf("fleet of %s:\n%v", dir, err)
	}
	return fleet, profiles
}

func TestExampleFleets(t *testing.T) {
	for _, d := range deployments {
		fleet, profiles := loadExample(t, d.dir)
		if fleet.Site != d.site {
			t.Errorf("%s: site = %q, want %q", d.dir, fleet.Site, d.site)
		}
		replicas := map[string]int{}
		for _, u := range fleet.Upstreams {
			replicas[string(u.Service)]++
		}
		if got, want := replicas[d.pool], 16; got != want {
			t.Errorf("%s: replicas of %s = %d, want %d", d.dir, d.pool, got, want)
		}
		if got, want := replicas[d.app], 3; got != want {
			t.Errorf("%s: replicas of %s = %d, want %d", d.dir, d.app, got, want)
		}
		if got, want := len(fleet.Customers), 10; got != want {
			t.Errorf("%s: customers = %d, want %d", d.dir, got, want)
		}
		if got := CheckShares(fleet, profiles); len(got) > 0 {
			t.Errorf("%s: CheckShares = %v, want no finding", d.dir, got)
		}
	}
}
