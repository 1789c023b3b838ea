package burdockroom

import (
	"fmt"
	"math"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// Guards against less urgent work that is served in place of urgent work, entries that keep
// a small share, and entries that together run more than fits.
func TestDemandBeyondTheRoom(t *testing.T) {
	for _, c := range []struct{ entries, room int }{{4, 640}, {16, 640}, {64, 640}, {350, 1400}, {350, 700}} {
		t.Run(fmt.Sprintf("%d entries, room %d", c.entries, c.room), func(t *testing.T) {
			room := float64(c.room)
			f := newFleet(t, c.entries, c.room, map[int]float64{0: 0.4 * room, 4: 0.4 * room, 9: 0.7 * room})
			f.run(3 * burdockclock.Second)
			if got := f.run(20 * burdockclock.Second); float64(got) > 1.05*room || float64(got) < 0.9*room {
				t.Errorf("most streams at once: got %d, want 0.9 to 1.05 of %d", got, c.room)
			}
			for _, p := range [][2]int{{0, 4}, {4, 9}} {
				if urgent, other := f.servedShare(p[0]), f.servedShare(p[1]); urgent < other-0.05 {
					t.Errorf("served of priority %d: got %.3f, want at least the %.3f of priority %d less 0.05", p[0], urgent, other, p[1])
				}
			}
			if got := f.servedShare(0); got < 0.99 {
				t.Errorf("served of the most urgent: got %.3f, want at least 0.99", got)
			}
			f.checkRefusals()
		})
	}
}

// checkRefusals compares entries with equal demand. Of n refusals, random arrivals alone
// make a difference of about the square root of n; three times that is allowed for.
func (f *fleet) checkRefusals() {
	for size := range 4 {
		least, most := math.MaxInt, 0
		for i := size; i < len(f.entries); i += 4 {
			n := 0
			for _, refused := range f.entries[i].refused {
				n += refused
			}
			least, most = min(least, n), max(most, n)
		}
		if a, b := float64(least), float64(most); b-3*math.Sqrt(b) > 1.5*(a+3*math.Sqrt(a+1)) {
			f.t.Errorf("refusals at entries of weight %v: got %d to %d, want within 1.5 times", weightOf(size), least, most)
		}
	}
}
