package burdockrank

import (
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockexpert"
	"burdockbend.example/burdockbend/internal/decide/burdockspeed"
	"burdockbend.example/burdockbend/internal/external/burdockengine"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
	"google.golang.org/protobuf/proto"
)

// The message sizes that docs/design/mapchange.md states, for 32 ranks and 60 layers of
// 128 experts with six slots per rank and layer, 48-bit versions, steps of a month and
// counts of billions.
func TestMessageSizes(t *testing.T) {
	const ranks, layers, experts, slots = 32, 60, 128, 6
	const version, at, fence, seq = 1 << 47, 600_000_000, 1 << 31, 100_000
	popularity := burdockexpert.NewPopularity(layers, experts, popularityHalfLife)
	group := make([]burdockexpert.Rank, ranks)
	for r := range group {
		group[r] = burdockexpert.Rank{Slots: slots, Speed: float64(burdockspeed.Baseline)}
	}
	content, err := burdockexpert.Solve(popularity.Snapshot(), group).Encode()
	if err != nil {
		t.Fatalf("encode the map: %v", err)
	}
	counts := burdockengine.GroupCounts{Incarnation: burdockengine.Incarnation(burdockid.NewIncarnation()), Slots: slots, ExpertBytes: 44_000_000, StoreRate: 1_000_000_000}
	for range layers {
		tokens := make([]burdockid.Tokens, experts)
		for e := range tokens {
			tokens[e] = 2_000_000_000
		}
		counts.Tokens = append(counts.Tokens, tokens)
	}
	order := func(body burdockgroup.OrderBody) proto.Message {
		return orderToWire("decks-1", burdockgroup.Order{
			Number: burdockgroup.Number{Fence: fence, Seq: seq}, To: ranks - 1, Incarnation: burdockid.NewIncarnation(), Body: body,
		})
	}
	report := reportToWire(burdockgroup.Report{
		Number: burdockgroup.Number{Fence: fence, Seq: seq}, From: ranks - 1, Incarnation: burdockid.NewIncarnation(), HighestFence: fence,
		Status: burdockgroup.EngineStatus{
			Next: at, Base: version, Switch: burdockgroup.Switch{Map: version, At: at}, Held: true, HoldAt: at, LastStep: at, LastMap: version,
		},
		Kept: []burdockid.MapVersion{version, version + 1},
	})
	tests := []struct {
		name  string
		msg   proto.Message
		limit int
	}{
		{"read", order(burdockgroup.Read{}), 64},
		{"commit", order(burdockgroup.Commit{Map: version, At: at}), 80},
		{"load", order(burdockgroup.Load{Map: version, Content: content}), 20_000},
		{"report", report, 160},
		{"counts", countsToWire(counts), 45_000},
	}
	for _, test := range tests {
		got := proto.Size(test.msg)
		t.Logf("%s: %d bytes", test.name, got)
		if got > test.limit {
			t.Errorf("%s: got %d bytes, want at most %d", test.name, got, test.limit)
		}
	}
}
