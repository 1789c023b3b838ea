package burdockkey

import "testing"

func TestHashMatchesItsKeyOnly(t *testing.T) {
	key, other := New(), New()
	if key == other {
		t.Fatalf("New() = %q twice, want different keys", key)
	}
	if !Matches(Hash(key), key) {
		t.Error("Matches = false for its own key, want true")
	}
	if Matches(Hash(key), other) || Matches("", key) || Matches(key, key) {
		t.Error("Matches = true for another key, want false")
	}
}

func TestIsHash(t *testing.T) {
	const want = "sha256:e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"
	if got := Hash(""); got != want {
		t.Errorf("Hash of nothing = %q, want %q", got, want)
	}
	for s, want := range map[string]bool{
		want: true, want[:len(want)-1]: false, want[1:]: false, want + "0": false, "sha256:": false, New(): false,
		"sha256:E3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855": false,
	} {
		if got := IsHash(s); got != want {
			t.Errorf("IsHash(%q) = %t, want %t", s, got, want)
		}
	}
}

// Guards against a 401 for a proper key because of how its scheme is written.
func TestFromAuthorization(t *testing.T) {
	for _, c := range []struct {
		header, want string
		wantOK       bool
	}{
		{"Bearer abc", "abc", true}, {"bearer abc", "abc", true}, {"BEARER  abc ", "abc", true},
		{"Basic abc", "", false}, {"Bearerabc", "", false}, {"", "", false},
	} {
		if got, ok := FromAuthorization(c.header); got != c.want || ok != c.wantOK {
			t.Errorf("%q: got %q, %v, want %q, %v", c.header, got, ok, c.want, c.wantOK)
		}
	}
}
