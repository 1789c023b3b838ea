package burdockconfig

import (
	"bytes"
	"testing"

	"burdockbend.example/burdockbend/internal/external/burdockstore"
)

// FuzzDecode reads hostile values of the store. What is taken is the entry of
// its own key, has a version, and is the same after being written again.
func FuzzDecode(f *testing.F) {
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		e, err := Decode(burdockstore.Entry{Key: key, Value: value})
		if err != nil {
			return
		}
		if got := StorePrefix + e.Key; got != key {
			t.Errorf("%q holds the entry of %q", key, got)
		}
		if e.Key == "" || e.Version == 0 {
			t.Errorf("got key %q version %d, want both", e.Key, e.Version)
		}
		encoded, err := Encode(e)
		if err != nil {
			t.Fatalf("Encode: %v", err)
		}
		again, err := Decode(burdockstore.Entry{Key: key, Value: encoded})
		if err != nil || again.Version != e.Version || again.Mark != e.Mark || again.Deleted != e.Deleted || !bytes.Equal(again.Value, e.Value) {
			t.Errorf("written again: got %+v, %v; want %+v", again, err, e)
		}
	})
}
