package burdockowner

import (
	"testing"

	"burdockbend.example/burdockbend/internal/decide/burdockledger"
	"burdockbend.example/burdockbend/internal/state/burdockconfig"
)

// FuzzParse parses arbitrary entries. An entry that is accepted has a valid slot, the
// only key of that slot, and a complete owner.
func FuzzParse(f *testing.F) {
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		service, slot, owner, err := Parse(burdockconfig.Entry{Key: key, Version: 3, Value: value})
		if err != nil {
			return
		}
		if slot < 0 || slot >= burdockledger.SlotCount || owner.Version != 3 {
			t.Errorf("got slot %d version %d, want a slot and version 3", slot, owner.Version)
		}
		if got := Key(service, slot); got != key {
			t.Errorf("Parse accepted key %q for the slot of key %q", key, got)
		}
		if owner.Upstream == "" || owner.Incarnation == "" || owner.CompleteSince < 0 {
			t.Errorf("got owner %+v, want an upstream, an incarnation and no negative time", owner.Owner)
		}
	})
}
