package burdocksite

import "testing"

// While a data centre is evacuated, its upstreams are no members; they are again when it
// is taken back.
func TestEvacuatedUpstreamsAreNoMembers(t *testing.T) {
	s := New()
	s.PutUpstream(Upstream{ID: "a", Service: "s", Address: "10.1.0.1:80", DataCentre: "a"})
	s.PutUpstream(Upstream{ID: "b", Service: "s", Address: "10.2.0.1:80", DataCentre: "b"})
	before := s.Now()
	s.Update(func(b *Batch) { b.SetEvacuated("a", true) })
	if got := s.Now().Members("s"); len(got) != 1 || got[0].ID != "b" {
		t.Errorf("members during the evacuation: got %v, want b", got)
	}
	if got, want := len(before.Members("s")), 2; got != want {
		t.Errorf("members of the snapshot before: got %d, want %d", got, want)
	}
	s.Update(func(b *Batch) { b.SetEvacuated("a", false) })
	if got, want := len(s.Now().Members("s")), 2; got != want {
		t.Errorf("members afterwards: got %d, want %d", got, want)
	}
}

func TestBatchWithoutChangePublishesNothing(t *testing.T) {
	s := New()
	s.SetConfig(Config{Version: 3})
	s.PutUpstream(Upstream{ID: "a"})
	generation := s.Now().Generation
	s.Update(func(b *Batch) {
		b.SetConfig(Config{Version: 2})
		b.PutUpstream(Upstream{ID: "a"})
		b.DropUpstream("b")
		b.SetEvacuated("x", false)
	})
	if got := s.Now().Generation; got != generation {
		t.Errorf("generation: got %d, want %d", got, generation)
	}
}
