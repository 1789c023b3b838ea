package burdocksite

import (
	"slices"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/state/burdockkv"
)

// Guards against a return to an old configuration: a delayed read returns an older
// version, in which a key that was removed since still works.
func TestConfigurationNeverGoesBack(t *testing.T) {
	s := New()
	notifications := 0
	s.Subscribe(func(*Snapshot) { notifications++ })
	s.SetConfig(Config{Version: 5, Customers: []Customer{{Name: "a", Keys: []string{"old"}}}})
	s.SetConfig(Config{Version: 8})
	if got := s.SetConfig(Config{Version: 5, Customers: []Customer{{Name: "a", Keys: []string{"old"}}}}); got {
		t.Error("SetConfig applied an older version")
	}
	if _, ok := s.Now().Config.ByKey("old"); ok || s.Now().Config.Version != 8 {
		t.Errorf("configuration: got version %d, want 8 without the key", s.Now().Config.Version)
	}
	if got, want := notifications, 2; got != want {
		t.Errorf("notifications: got %d, want %d", got, want)
	}
}

// A reader's snapshot stays the same while upstreams are added and removed.
func TestSnapshotsAreImmutable(t *testing.T) {
	s := New()
	s.PutUpstream(Upstream{ID: "a", Service: "s"})
	before := s.Now()
	s.PutUpstream(Upstream{ID: "b", Service: "s"})
	s.DropUpstream("a")
	if got, want := len(before.Members("s")), 1; got != want {
		t.Errorf("members of the old snapshot: got %d, want %d", got, want)
	}
	if got := s.Now().Members("s"); len(got) != 1 || got[0].ID != "b" {
		t.Errorf("members now: got %v, want b", got)
	}
}

// Guards against offers to a process that no longer exists but whose record has not yet
// expired. The process that now has its address refuses them.
func TestAddressHasOneMember(t *testing.T) {
	s := New()
	s.PutUpstream(Upstream{ID: "new", Service: "s", Address: "10.1.0.1:80", Created: burdockkv.Position{Revision: 7}})
	s.PutUpstream(Upstream{ID: "old", Service: "s", Address: "10.1.0.1:80", Created: burdockkv.Position{Revision: 3}})
	s.PutUpstream(Upstream{ID: "other", Service: "s", Address: "10.1.0.2:80", Created: burdockkv.Position{Revision: 1}})
	s.PutUpstream(Upstream{ID: "reused", Service: "s", Address: "10.1.0.3:80", Created: burdockkv.Position{Revision: 2}})
	s.PutUpstream(Upstream{ID: "reuser", Service: "another", Address: "10.1.0.3:80", Created: burdockkv.Position{Revision: 5}})
	var got []string
	for _, u := range s.Now().Members("s") {
		got = append(got, string(u.ID))
	}
	if want := []string{"new", "other"}; !slices.Equal(got, want) {
		t.Errorf("members: got %v, want %v", got, want)
	}
}

// Guards against services that share admission although all their streams are equally
// urgent, and against those that don't although some streams are more urgent.
func TestMixedUrgencyComparesStreamingRoutes(t *testing.T) {
	route := func(service burdockid.Service, stream bool, priority int, objective burdockclock.Millis) Route {
		return Route{Stream: stream, Priority: priority, Objective: objective, Shares: []Share{{Service: "other", Weight: 1}, {Service: service, Weight: 1}}}
	}
	for _, c := range []struct {
		name   string
		routes []Route
		want   bool
	}{
		{"no route", nil, false},
		{"one stream", []Route{route("s", true, 3, 500)}, false},
		{"equal streams", []Route{route("s", true, 3, 500), route("s", true, 3, 500)}, false},
		{"different priorities", []Route{route("s", true, 3, 500), route("s", true, 4, 500)}, true},
		{"different objectives", []Route{route("s", true, 3, 500), route("s", true, 3, 900)}, true},
		{"a route without streams", []Route{route("s", true, 3, 500), route("s", false, 4, 900)}, false},
		{"a route of another service", []Route{route("s", true, 3, 500), route("t", true, 4, 900)}, false},
	} {
		cfg := Config{Routes: c.routes}
		if got := cfg.MixedUrgency("s"); got != c.want {
			t.Errorf("%s: got %t, want %t", c.name, got, c.want)
		}
	}
}
