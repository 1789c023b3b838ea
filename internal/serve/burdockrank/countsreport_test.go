package burdockrank

import (
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/external/burdockengine"
	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"
)

func countsOf(life burdockengine.Incarnation, tokens ...burdockid.Tokens) burdockengine.GroupCounts {
	return burdockengine.GroupCounts{Incarnation: life, Tokens: [][]burdockid.Tokens{tokens}}
}

// The controller ends up with the engine's own counts, whichever reports are lost and
// whenever the engine restarts. A difference is sent only to a controller that has the
// report before it.
func TestReportedDifferencesAddUp(t *testing.T) {
	tests := []struct {
		name       string
		now        burdockengine.GroupCounts
		lost       bool // the response is lost
		difference bool
	}{
		{"first report", countsOf("a", 100, 2), false, false},
		{"next report", countsOf("a", 105, 2), false, true},
		{"lost report", countsOf("a", 110, 3), true, true},
		{"report after a lost one", countsOf("a", 120, 4), false, false},
		{"report after that", countsOf("a", 121, 4), false, true},
		{"restarted engine", countsOf("b", 1, 1), false, false},
		{"lower counts", countsOf("b", 0, 1), false, false},
	}
	agent := &countsReporter{}
	p := &planning{counts: make([]burdockengine.GroupCounts, 1), reportIDs: make([]uint64, 1)}
	for _, test := range tests {
		reported, id, difference := agent.report(test.now, p.lastReportID(0))
		if difference != test.difference {
			t.Errorf("%s: reported as a difference: got %t, want %t", test.name, difference, test.difference)
		}
		if test.lost {
			continue
		}
		msg := countsToWire(reported)
		msg.Telling, msg.Difference = id, difference
		got, err := p.fullCounts(0, msg)
		if err != nil {
			t.Fatalf("%s: %v", test.name, err)
		}
		p.counts[0] = got
		for e, want := range test.now.Tokens[0] {
			if got.Tokens[0][e] != want {
				t.Errorf("%s: expert %d: got %d, want %d", test.name, e, got.Tokens[0][e], want)
			}
		}
	}
}

// A difference from counts that the controller doesn't have must not be taken for full
// counts; the popularity would be wrong.
func TestDifferenceFromUnknownCountsIsRefused(t *testing.T) {
	p := &planning{counts: make([]burdockengine.GroupCounts, 1), reportIDs: []uint64{7}}
	msg := countsToWire(countsOf("a", 1, 2))
	msg.Telling, msg.Difference = 8, true
	if _, err := p.fullCounts(0, msg); !errorx.IsOfType(err, ErrMalformed) {
		t.Errorf("got error %v, want a malformed message", err)
	}
	if got := p.lastReportID(0); got != 0 {
		t.Errorf("last report ID: got %d, want 0, which requests full counts", got)
	}
}

// The counts of a rank with 10 layers of 384 experts a minute after the engine's start,
// and the difference after another tenth of a second.
func TestDifferenceOfCountsIsShort(t *testing.T) {
	const layers, experts = 10, 384
	before, now := burdockengine.GroupCounts{Incarnation: "a"}, burdockengine.GroupCounts{Incarnation: "a"}
	for range layers {
		tokens, later := make([]burdockid.Tokens, experts), make([]burdockid.Tokens, experts)
		for e := range tokens {
			tokens[e], later[e] = 40_000, 40_060
		}
		before.Tokens, now.Tokens = append(before.Tokens, tokens), append(now.Tokens, later)
	}
	agent := &countsReporter{}
	_, id, _ := agent.report(before, 0)
	reported, _, _ := agent.report(now, id)
	full, short := proto.Size(countsToWire(now)), proto.Size(countsToWire(reported))
	if limit := 2 * full / 5; short > limit {
		t.Errorf("difference: got %d bytes, want at most %d of %d", short, limit, full)
	}
}
