package burdocksite

import "testing"

// A read that was answered late brings an older configuration, in which a key
// that was taken away still works. It must not come into force again.
func TestConfigurationNeverGoesBack(t *testing.T) {
	s := New()
	told := 0
	s.Subscribe(func(*Snapshot) { told++ })
	s.SetConfig(Config{Version: 5, Customers: []Customer{{Name: "a", Keys: []string{"old"}}}})
	s.SetConfig(Config{Version: 8})
	if got := s.SetConfig(Config{Version: 5, Customers: []Customer{{Name: "a", Keys: []string{"old"}}}}); got {
		t.Error("an older version was taken as news")
	}
	if _, ok := s.Now().Config.ByKey("old"); ok || s.Now().Config.Version != 8 {
		t.Errorf("in force: got version %d, want 8 without the key", s.Now().Config.Version)
	}
	if got, want := told, 2; got != want {
		t.Errorf("changes told: got %d, want %d", got, want)
	}
}

// Readers hold a snapshot while upstreams come and go.
func TestSnapshotsDoNotChange(t *testing.T) {
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
