package burdockratelimit

import (
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/decide/burdocksharedrate"
)

// step is a response and the limit that is known after it; -1 for none.
type step struct {
	at, offeredAt burdockclock.Millis
	statement     Statement
	refused       bool
	want          Rate
}

const none Rate = -1

func TestObserve(t *testing.T) {
	for name, steps := range map[string][]step{
		"named and ended": {
			{at: 10, offeredAt: 5, statement: Limited{2}, want: 2},
			{at: 30, offeredAt: 20, statement: Unlimited{}, want: none},
		},
		"not ended by the response to an earlier request": {
			{at: 10, offeredAt: 5, statement: Limited{2}, want: 2},
			{at: 30, offeredAt: 9, statement: Unlimited{}, want: 2},
		},
		"not ended by the response to a request offered before it was last stated": {
			{at: 10, offeredAt: 5, statement: Limited{2}, want: 2},
			{at: 40, offeredAt: 30, statement: Limited{2}, want: 2},
			{at: 50, offeredAt: 20, statement: Unlimited{}, want: 2},
		},
		"not ended by a refusal": {
			{at: 10, offeredAt: 5, statement: Limited{2}, want: 2},
			{at: 30, offeredAt: 20, statement: Unlimited{}, refused: true, want: 2},
		},
		"lowered by any response, raised by a later one only": {
			{at: 10, offeredAt: 5, statement: Limited{2}, want: 2},
			{at: 20, offeredAt: 5, statement: Limited{1}, want: 1},
			{at: 30, offeredAt: 15, statement: Limited{3}, want: 1},
			{at: 50, offeredAt: 40, statement: Limited{3}, want: 3},
		},
		"kept when it can't be read": {
			{at: 10, offeredAt: 5, statement: Limited{2}, want: 2},
			{at: 30, offeredAt: 20, statement: Unreadable{"x"}, want: 2},
		},
		"named again after its end": {
			{at: 10, offeredAt: 5, statement: Limited{2}, want: 2},
			{at: 30, offeredAt: 20, statement: Unlimited{}, want: none},
			{at: 50, offeredAt: 40, statement: Limited{1}, refused: true, want: 1},
		},
	} {
		l := New(&burdocksharedrate.Entries{})
		for i, s := range steps {
			l.Observe(s.at, "u", Response{Statement: s.statement, OfferedAt: s.offeredAt, Refused: s.refused})
			got := none
			if known := l.limits["u"]; known != nil {
				got = known.Rate()
			}
			if got != s.want {
				t.Errorf("%s: after step %d: got limit %v, want %v", name, i, got, s.want)
			}
		}
	}
}
