package burdockmember

import (
	"cmp"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"burdockbend.example/burdockbend/internal/config/burdockentity"
	"burdockbend.example/burdockbend/internal/config/burdockprofile"
)

func TestFindRoute(t *testing.T) {
	fleet, _ := loadExample(t, "tecnoval")
	tests := []struct {
		method, path string
		class        string // empty when no route matches
		idempotent   bool
	}{
		{"GET", "/jobs", "licence", true},
		{"GET", "/jobs/17", "licence", true},
		{"POST", "/jobs", "lookup", false},
		{"DELETE", "/jobs/17", "", false},
		{"GET", "/jobsearch", "", false},
		{"GET", "/model-cards/bjt", "lookup", false},
		{"GET", "/", "", false},
		{"GET", "/jobs/", "licence", true},
		{"GET", "/jobs/../model-cards/bjt", "", false},
		{"GET", "/jobs//17", "", false},
		{"GET", "/jobs/./17", "", false},
		{"GET", "jobs", "", false},
		{"GET", "//", "", false},
	}
	for _, tt := range tests {
		service, route, ok := fleet.FindRoute(tt.method, tt.path)
		if ok != (tt.class != "") || route.Class != tt.class || route.Idempotent != tt.idempotent {
			t.Errorf("FindRoute(%s %s) = %+v, %t, want class %q, idempotent %t", tt.method, tt.path, route, ok, tt.class, tt.idempotent)
		}
		if ok && service.Name != "bench-api" {
			t.Errorf("FindRoute(%s %s) service = %q, want bench-api", tt.method, tt.path, service.Name)
		}
	}
}

func TestLongerPrefixWins(t *testing.T) {
	whole := Service{Name: "whole", Routes: []Route{{PathPrefix: "/"}}}
	part := Service{Name: "part", Routes: []Route{{PathPrefix: "/a", Methods: []string{"GET"}}, {PathPrefix: "/a/b"}}}
	fleet := Fleet{Services: []Service{part, whole}}
	for call, want := range map[string]string{
		"GET //": "", "GET /a/..": "",
		"GET /": "/", "GET /ab": "/", "POST /a": "/", "GET /a": "/a", "POST /a/b": "/a/b", "GET /a/bc": "/a",
	} {
		method, path, _ := strings.Cut(call, " ")
		if _, got, _ := fleet.FindRoute(method, path); got.PathPrefix != want {
			t.Errorf("FindRoute(%s) prefix = %q, want %q", call, got.PathPrefix, want)
		}
	}
}

// sortByName sorts a fleet's lists in the order of Assemble.
func sortByName(f *Fleet) {
	slices.SortFunc(f.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(f.Upstreams, func(a, b Upstream) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(f.Entries, func(a, b Entry) int { return cmp.Compare(a.VM, b.VM) })
	slices.SortFunc(f.Customers, func(a, b Customer) int { return cmp.Compare(a.Name, b.Name) })
}

// splitAndAssemble converts a fleet and profiles to store entities and back.
func splitAndAssemble(t *testing.T, f Fleet, profiles []burdockprofile.Profile) (Fleet, []burdockprofile.Profile) {
	t.Helper()
	entities, err := Split(f)
	if err != nil {
		t.Fatal(err)
	}
	profileEntities, err := burdockprofile.Split(profiles)
	if err != nil {
		t.Fatal(err)
	}
	entities = append(profileEntities, entities...)
	slices.Reverse(entities)
	gotFleet, err := Assemble(entities)
	if err != nil {
		t.Fatal(err)
	}
	gotProfiles, err := burdockprofile.Assemble(entities)
	if err != nil {
		t.Fatal(err)
	}
	return gotFleet, gotProfiles
}

func TestStoreRoundTrip(t *testing.T) {
	for _, d := range deployments {
		fleet, profiles := loadExample(t, d.dir)
		gotFleet, gotProfiles := splitAndAssemble(t, fleet, profiles)
		sortByName(&fleet)
		if !reflect.DeepEqual(gotFleet, fleet) {
			t.Errorf("%s: fleet = %+v, want %+v", d.dir, gotFleet, fleet)
		}
		for _, want := range profiles {
			if got, _ := burdockprofile.Find(gotProfiles, want.Name); !reflect.DeepEqual(got, want) {
				t.Errorf("%s: profile = %+v, want %+v", d.dir, got, want)
			}
		}
	}
}

func TestAssembleRefusesBadValues(t *testing.T) {
	for _, e := range []burdockentity.Entity{
		{Key: "upstream/a", Value: []byte(`{"name":"b"}`)},
		{Key: "service/a", Value: []byte(`{"name":7}`)},
		{Key: "site", Value: []byte(`nothing`)},
	} {
		if _, err := Assemble([]burdockentity.Entity{e}); err == nil {
			t.Errorf("Assemble(%s = %s): no error, want one", e.Key, e.Value)
		}
	}
}

// addExamples adds the named file of each deployment to the fuzz corpus.
func addExamples(f *testing.F, name string) {
	for _, d := range deployments {
		data, err := os.ReadFile(filepath.Join("..", "..", "..", "examples", d.dir, name))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
}

// FuzzParse checks that a fleet without findings is unchanged, and still has none, after
// its conversion to store entities and back.
func FuzzParse(f *testing.F) {
	addExamples(f, "fleet.toml")
	f.Fuzz(func(t *testing.T, data []byte) {
		fleet, err := Parse("f", data, nil)
		if err != nil {
			return
		}
		got, _ := splitAndAssemble(t, fleet, nil)
		sortByName(&fleet)
		gotJSON, _ := json.Marshal(got)
		wantJSON, _ := json.Marshal(fleet)
		if string(gotJSON) != string(wantJSON) {
			t.Errorf("assembled = %s, want %s", gotJSON, wantJSON)
		}
		if findings := Check(got, nil); len(findings) > 0 {
			t.Errorf("Check after Split and Assemble = %v, want none", findings)
		}
	})
}

// FuzzAssemble checks that no stored key and value can crash Assemble or Check.
func FuzzAssemble(f *testing.F) {
	f.Add("upstream/a", []byte(`{"name":"a","agent":"10.0.0.1:1","rank":3}`))
	f.Add("service/a", []byte(`{"name":"a","route":[{"pathPrefix":"/"}]}`))
	f.Add("profile/a", []byte(`{"name":"a","class":[{"name":"b"}]}`))
	f.Add("site", []byte(`{"site":"a","dataCentre":[{"name":"b"}]}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		entities := []burdockentity.Entity{{Key: key, Value: value}}
		if fleet, err := Assemble(entities); err == nil {
			Check(fleet, nil)
		}
		if profiles, err := burdockprofile.Assemble(entities); err == nil {
			burdockprofile.Check(profiles)
		}
	})
}
