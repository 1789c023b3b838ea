package burdockhome

import (
	"testing"

	"burdockbend.example/burdockbend/internal/decide/burdockledger"
	"burdockbend.example/burdockbend/internal/state/burdockconfig"
)

// FuzzParse reads hostile entries. What is taken is a slot that exists, under
// the one key that stands for it, with a home that has a name.
func FuzzParse(f *testing.F) {
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		service, slot, home, err := Parse(burdockconfig.Entry{Key: key, Version: 3, Value: value})
		if err != nil {
			return
		}
		if slot < 0 || slot >= burdockledger.SlotCount || home.Version != 3 {
			t.Errorf("got slot %d version %d, want a slot and version 3", slot, home.Version)
		}
		if got := Key(service, slot); got != key {
			t.Errorf("the entry %q stands for the slot of %q", key, got)
		}
		if home.Upstream == "" || home.Incarnation == "" || home.CompleteSince < 0 {
			t.Errorf("got home %+v, want a name, an incarnation and no time below 0", home.Owner)
		}
	})
}
