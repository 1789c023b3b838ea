package burdockentry

import (
	"net/http"
	"strings"
	"testing"
)

// FuzzForwarded checks which of a hostile caller's headers are forwarded. The API key,
// Content-Length, hop-by-hop headers and headers with the prefix Burdock- must be
// dropped; all others must be forwarded unchanged.
func FuzzForwarded(f *testing.F) {
	f.Fuzz(func(t *testing.T, name, value, connection string) {
		h := http.Header{}
		h.Add("Authorization", "Bearer key")
		h.Add("Connection", connection)
		h.Add(name, value)
		forwarded := false
		for _, got := range forwardedHeaders(h) {
			canonical := http.CanonicalHeaderKey(got.GetName())
			if canonical == "Authorization" || hopHeaders[canonical] || strings.HasPrefix(canonical, headerPrefix) {
				t.Errorf("forwarded: %q", got.GetName())
			}
			if got.GetName() == http.CanonicalHeaderKey(name) && got.GetValue() == value {
				forwarded = true
			}
		}
		canonical := http.CanonicalHeaderKey(name)
		dropped := canonical == "Authorization" || canonical == "Content-Length" || hopHeaders[canonical] || strings.HasPrefix(canonical, headerPrefix)
		for part := range strings.SplitSeq(connection, ",") {
			dropped = dropped || http.CanonicalHeaderKey(strings.TrimSpace(part)) == canonical
		}
		if forwarded == dropped {
			t.Errorf("%q with connection %q: forwarded %v, want %v", name, connection, forwarded, !dropped)
		}
	})
}
