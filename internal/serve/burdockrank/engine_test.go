package burdockrank

import (
	"testing"

	"burdockbend.example/burdockbend/internal/group/burdockgroup"
)

// The status after an order answers the question that the rank put meanwhile,
// but not once the engine was lost, nor if another order waits in between.
func TestAnswerStandsForTheQuestionPutMeanwhile(t *testing.T) {
	read := func(ticket uint64) burdockgroup.OrderEngine {
		return burdockgroup.OrderEngine{Ticket: ticket, Order: burdockgroup.ReadStatus{}}
	}
	hold := burdockgroup.OrderEngine{Ticket: 2, Order: burdockgroup.HoldAt{Step: 5}}
	tests := map[string]struct {
		pending []burdockgroup.OrderEngine
		lost    bool
		want    uint64
	}{
		"nothing put":        {nil, false, 1},
		"questions":          {[]burdockgroup.OrderEngine{read(2), read(3)}, false, 3},
		"engine lost":        {[]burdockgroup.OrderEngine{read(2)}, true, 1},
		"order, then a read": {[]burdockgroup.OrderEngine{hold, read(3)}, false, 1},
	}
	for name, test := range tests {
		q := newEngineQueue(nil)
		life := q.lives()
		for _, order := range test.pending {
			q.add(order)
		}
		if test.lost {
			q.life++
		}
		if got := q.answers(1, life); got != test.want {
			t.Errorf("%s: got ticket %d, want %d", name, got, test.want)
		}
	}
}
