package burdockcapacitylab

import (
	"testing"

	"burdockbend.example/burdockbend/internal/decide/burdockledger"
)

// The measured configuration must be valid: processes skip entries that they can't read,
// which costs less than applying them.
func TestEntriesAreApplied(t *testing.T) {
	for _, size := range Sizes[:2] {
		entries, err := Entries(Fleet(size))
		if err != nil {
			t.Fatalf("Entries: %v", err)
		}
		s := newState(entries)
		if got := s.fleet.Findings(); len(got) != 0 {
			t.Errorf("findings: got %v, want none", got)
		}
		fleet := s.fleet.Now()
		got := Size{Upstreams: len(fleet.Upstreams), Customers: len(fleet.Customers), Services: len(fleet.Services), Entries: len(fleet.Entries)}
		if got != size {
			t.Errorf("applied size: got %+v, want %+v", got, size)
		}
		for service := range fleet.Services {
			if got, want := len(fleet.KeyOwners[service]), burdockledger.SlotCount; got != want {
				t.Errorf("slot owners of %s: got %d, want %d", service, got, want)
			}
		}
	}
}

func TestHeapOfCountsRetainedBytes(t *testing.T) {
	const size = 8 << 20
	kept, got := heapOf(func() []byte { return make([]byte, size) })
	if got < size || got > 2*size {
		t.Errorf("heap of %d bytes: got %d", len(kept), got)
	}
}
