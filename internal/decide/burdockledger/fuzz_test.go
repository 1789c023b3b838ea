package burdockledger

import (
	"strings"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// FuzzBirth reads hostile keys. A time of birth is that of the first 48 bits
// of a time-ordered UUID, never negative, and nothing else has one.
func FuzzBirth(f *testing.F) {
	f.Fuzz(func(t *testing.T, key string) {
		at, ok := CreationTime(burdockid.IdempotencyKey(key))
		if at < 0 || (!ok && at != 0) {
			t.Errorf("Birth(%q) = %d, %v; want none below 0", key, at, ok)
		}
		if !ok {
			return
		}
		for i, c := range key {
			separates := i == 8 || i == 13 || i == 18 || i == 23
			if separates != (c == '-') || (!separates && !strings.ContainsRune("0123456789abcdefABCDEF", c)) {
				t.Errorf("Birth(%q) = %d; want none, it is no UUID", key, at)
			}
		}
		if got, want := string(dated(at))[:13], key[:13]; !equalFold(got, want) {
			t.Errorf("Birth(%q) = %d, which is written %s", key, at, got)
		}
	})
}

// equalFold compares digits in either case.
func equalFold(a, b string) bool {
	for i := range len(a) {
		if a[i]|0x20 != b[i]|0x20 {
			return false
		}
	}
	return len(a) == len(b)
}
