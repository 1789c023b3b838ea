package burdockbackpressure

import (
	"slices"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

func TestPausesExpire(t *testing.T) {
	p := NewPauses()
	p.Ask(0, "a", 5000)
	p.Ask(1000, "b", 1000)
	p.Ask(2000, "a", 1000) // ends before the longer one
	for _, c := range []struct {
		at   burdockclock.Millis
		over []burdockid.Upstream
		left int
	}{
		{1999, nil, 2},
		{2000, []burdockid.Upstream{"b"}, 1},
		{4999, nil, 1},
		{5000, []burdockid.Upstream{"a"}, 0},
		{5001, nil, 0},
	} {
		if got := p.Expire(c.at); !slices.Equal(got, c.over) || p.Len() != c.left {
			t.Errorf("at %d: got %v over and %d left, want %v and %d", c.at, got, p.Len(), c.over, c.left)
		}
	}
}

func TestAskReportsWhatIsNew(t *testing.T) {
	p := NewPauses()
	for i, c := range []struct {
		at, d burdockclock.Millis
		want  bool
	}{
		{0, 0, false}, {0, 3000, true}, {500, 1000, false}, {500, 2500, false}, {600, 3000, true},
	} {
		if got := p.Ask(c.at, "u", c.d); got != c.want {
			t.Errorf("ask %d: got new %v, want %v", i, got, c.want)
		}
	}
}
