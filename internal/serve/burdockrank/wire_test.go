package burdockrank

import (
	"reflect"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/external/burdockengine"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
)

func TestOrdersPassTheWireUnchanged(t *testing.T) {
	bodies := []burdockgroup.OrderBody{
		burdockgroup.Read{Want: 3},
		burdockgroup.Load{Map: 4, Content: []byte("map")},
		burdockgroup.Arm{Map: 4, At: 9},
		burdockgroup.Commit{Map: 4, At: 9},
		burdockgroup.Release{At: 9},
		burdockgroup.Abort{},
		burdockgroup.Withdraw{At: 9},
		burdockgroup.Begin{Map: 4},
	}
	for _, body := range bodies {
		want := burdockgroup.Order{Number: burdockgroup.Number{Fence: 2, Seq: 7}, To: 1, Incarnation: "run", Body: body}
		got, err := orderFromWire(orderToWire("decks", want))
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, error %v; want %+v", got, err, want)
		}
	}
}

func TestReportsPassTheWireUnchanged(t *testing.T) {
	want := burdockgroup.Report{
		Number: burdockgroup.Number{Fence: 2, Seq: 7}, From: 1, Incarnation: "run", HighestFence: 2,
		Status: burdockgroup.EngineStatus{
			Next: 1, Base: 2, Switch: burdockgroup.Switch{Map: 3, At: 4}, Spare: 5, Loading: 6, Failed: 7,
			Held: true, HoldAt: 8, LastStep: 9, LastMap: 10,
		},
		Kept:    []burdockid.MapVersion{2, 3},
		Content: []byte("map"),
	}
	got, err := reportFromWire(reportToWire(want))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, error %v; want %+v", got, err, want)
	}
}

// Incomplete messages are refused. An order of an unknown kind would be taken for a read,
// which voids earlier orders. A report without a status would look like that of an empty
// engine, and the group would undo a change.
func TestIncompleteMessagesAreRefused(t *testing.T) {
	if got, err := orderFromWire(&burdockwire.GroupOrder{Kind: 99}); err == nil {
		t.Errorf("order of an unknown kind: got %+v, want an error", got)
	}
	if got, err := reportFromWire(&burdockwire.GroupReport{From: 1}); err == nil {
		t.Errorf("report without a status: got %+v, want an error", got)
	}
}

// MaxLoads must reach the controller: if engines can load only two new experts of a layer
// for one map, a controller that doesn't know it plans three, and a rank refuses the map.
func TestCountsPassTheWireUnchanged(t *testing.T) {
	want := burdockengine.GroupCounts{
		Incarnation: "run", Tokens: [][]burdockid.Tokens{{1, 2}, {3, 4}}, Slots: 5, MaxLoads: 2,
		ExpertBytes: 6, StoreRate: 7, Speed: 0.5,
	}
	if got := countsFromWire(countsToWire(want)); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
