package burdockentry

import (
	"net/http"
	"strings"
	"testing"
)

// FuzzForwarded passes hostile headers on. The caller's key, what belongs to
// the connection and what callers may not say for the balancer stay behind;
// the rest arrives whole.
func FuzzForwarded(f *testing.F) {
	f.Fuzz(func(t *testing.T, name, value, connection string) {
		h := http.Header{}
		h.Add("Authorization", "Bearer key")
		h.Add("Connection", connection)
		h.Add(name, value)
		arrived := false
		for _, got := range forwardedHeaders(h) {
			canonical := http.CanonicalHeaderKey(got.GetName())
			if canonical == "Authorization" || hopHeaders[canonical] || strings.HasPrefix(canonical, headerPrefix) {
				t.Errorf("passed on: %q", got.GetName())
			}
			if got.GetName() == http.CanonicalHeaderKey(name) && got.GetValue() == value {
				arrived = true
			}
		}
		canonical := http.CanonicalHeaderKey(name)
		stays := canonical == "Authorization" || canonical == "Content-Length" || hopHeaders[canonical] || strings.HasPrefix(canonical, headerPrefix)
		for part := range strings.SplitSeq(connection, ",") {
			stays = stays || http.CanonicalHeaderKey(strings.TrimSpace(part)) == canonical
		}
		if arrived == stays {
			t.Errorf("%q with connection %q: passed on %v, want %v", name, connection, arrived, !stays)
		}
	})
}
