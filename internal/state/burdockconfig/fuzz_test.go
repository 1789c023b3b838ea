package burdockconfig

import (
	"bytes"
	"testing"

	"burdockbend.example/burdockbend/internal/external/burdockstore"
)

// FuzzDecode decodes arbitrary store values. An entry that is accepted belongs to the
// key that it is stored under, has a version, and survives a round trip.
func FuzzDecode(f *testing.F) {
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		e, err := Decode(burdockstore.Entry{Key: key, Value: value})
		if err != nil {
			return
		}
		if got := StorePrefix + e.Key; got != key {
			t.Errorf("Decode accepted at key %q the entry of %q", key, got)
		}
		if e.Key == "" || e.Version == 0 {
			t.Errorf("Decode accepted key %q with version %d, want neither to be empty", e.Key, e.Version)
		}
		encoded, err := Encode(e)
		if err != nil {
			t.Fatalf("Encode: %v", err)
		}
		decoded, err := Decode(burdockstore.Entry{Key: key, Value: encoded})
		if err != nil || decoded.Version != e.Version || decoded.Mark != e.Mark || decoded.Deleted != e.Deleted || !bytes.Equal(decoded.Value, e.Value) {
			t.Errorf("after a round trip: got %+v, %v; want %+v", decoded, err, e)
		}
	})
}
