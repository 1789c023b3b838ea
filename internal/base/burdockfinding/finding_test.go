package burdockfinding

import (
	"errors"
	"testing"
)

func TestListReportsAllByLocation(t *testing.T) {
	var l List
	l.Add(Finding{File: "b.toml", Line: 2, Key: "share", What: "is -1", Want: "0 or more"})
	l.Add(Finding{File: "a.toml", Line: 9, Key: "x", What: "unknown key"})
	l.Add(Finding{File: "a.toml", Line: 3, What: "no data centre"})
	want := "a.toml:3: no data centre\na.toml:9: x: unknown key\nb.toml:2: share: is -1; want 0 or more"
	err := l.Err()
	if got := err.Error(); got != want {
		t.Errorf("Error() = %q, want %q", got, want)
	}
	var target *Error
	if !errors.As(err, &target) || len(target.Findings) != 3 {
		t.Errorf("errors.As findings = %v, want 3", target)
	}
}

func TestEmptyListIsNoError(t *testing.T) {
	var l List
	if got := l.Err(); got != nil {
		t.Errorf("Err() = %v, want nil", got)
	}
}
