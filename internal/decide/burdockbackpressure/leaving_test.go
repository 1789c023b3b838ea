package burdockbackpressure

import "testing"

func TestLeavingIsForTheProcess(t *testing.T) {
	l := NewLeaving()
	if !l.Mark(0, "u", 7) || l.Mark(1, "u", 7) {
		t.Error("marking twice: got new, not new reversed, want new once")
	}
	if !l.Contains(2, "u", 7) || !l.Contains(2, "u", 0) || l.Contains(2, "u", 8) || l.Contains(2, "other", 7) {
		t.Error("got another process leaving, or not the marked one, want the marked one")
	}
	if !l.Mark(3, "u", 8) {
		t.Error("the next process leaves too: got not new, want new")
	}
}

func TestLeavingOutlastsAGapInTheList(t *testing.T) {
	l := NewLeaving()
	l.Mark(0, "u", 7)
	l.Expire(leavingRetention - 1)
	if !l.Contains(leavingRetention-1, "u", 7) {
		t.Error("in the retention: got forgotten, want kept")
	}
	l.Expire(2*leavingRetention - 1)
	if l.Len() != 0 {
		t.Error("not listed for long: got kept, want forgotten")
	}
}
