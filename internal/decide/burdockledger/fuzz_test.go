package burdockledger

import (
	"strings"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// FuzzCreationTime checks that the creation time is the first 48 bits of a
// time-ordered UUID, never negative, and that no other key has one.
func FuzzCreationTime(f *testing.F) {
	f.Fuzz(func(t *testing.T, key string) {
		at, ok := CreationTime(burdockid.IdempotencyKey(key))
		if at < 0 || (!ok && at != 0) {
			t.Errorf("CreationTime(%q) = %d, %v; want at least 0, and 0 for no time", key, at, ok)
		}
		if !ok {
			return
		}
		for i, c := range key {
			separates := i == 8 || i == 13 || i == 18 || i == 23
			if separates != (c == '-') || (!separates && !strings.ContainsRune("0123456789abcdefABCDEF", c)) {
				t.Errorf("CreationTime(%q) = %d; want none, as it is no UUID", key, at)
			}
		}
		if got, want := string(timeOrderedKey(at))[:13], key[:13]; !equalFold(got, want) {
			t.Errorf("CreationTime(%q) = %d, which is encoded as %s", key, at, got)
		}
	})
}

// equalFold reports whether a and b are equal regardless of case.
func equalFold(a, b string) bool {
	for i := range len(a) {
		if a[i]|0x20 != b[i]|0x20 {
			return false
		}
	}
	return len(a) == len(b)
}
