package burdocksharedrate

import "burdockbend.example/burdockbend/internal/base/burdockclock"

const (
	// minTurn exceeds 4 s and the greatest difference of two clocks together, so that no
	// span of 4 s touches more than two turns.
	minTurn = 10 * burdockclock.Second
	maxTurn = burdockclock.Minute
	// turnRequests is how many requests a rate allows in the length of a turn. A part of
	// the rate goes to the entries that take turns, a fifth at most.
	turnRequests = 5
)

// turnLength returns how long the turns for a rate are.
func turnLength(rate Rate) burdockclock.Millis {
	if rate <= 0 {
		return maxTurn
	}
	length := turnRequests / float64(rate) * float64(burdockclock.Second)
	return burdockclock.Millis(min(max(length, float64(minTurn)), float64(maxTurn)))
}

// turnAt returns the number of the turn at a wall clock time, and whether it is this entry's.
func (s share) turnAt(wall burdockclock.Millis) (number int64, own bool) {
	if s.turns == 0 {
		return 0, false
	}
	number = int64(wall / s.turnLength)
	return number, number%int64(s.turns) == int64(s.turn)
}

// nextTurn returns how long it is until this entry's next turn begins.
func (s share) nextTurn(wall burdockclock.Millis) burdockclock.Millis {
	number := int64(wall / s.turnLength)
	ahead := (int64(s.turn) - number%int64(s.turns) + int64(s.turns)) % int64(s.turns)
	if ahead == 0 {
		ahead = int64(s.turns)
	}
	return burdockclock.Millis(number+ahead)*s.turnLength - wall
}
