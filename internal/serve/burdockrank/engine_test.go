package burdockrank

import (
	"testing"

	"burdockbend.example/burdockbend/internal/group/burdockgroup"
)

// The status after an order also answers a status request that was queued meanwhile,
// unless the engine was lost or another order comes between them.
func TestStatusAnswersQueuedStatusRequest(t *testing.T) {
	read := func(ticket uint64) burdockgroup.OrderEngine {
		return burdockgroup.OrderEngine{Ticket: ticket, Order: burdockgroup.ReadStatus{}}
	}
	hold := burdockgroup.OrderEngine{Ticket: 2, Order: burdockgroup.HoldAt{Step: 5}}
	tests := map[string]struct {
		pending []burdockgroup.OrderEngine
		lost    bool
		want    uint64
	}{
		"nothing queued":     {nil, false, 1},
		"questions":          {[]burdockgroup.OrderEngine{read(2), read(3)}, false, 3},
		"engine lost":        {[]burdockgroup.OrderEngine{read(2)}, true, 1},
		"order, then a read": {[]burdockgroup.OrderEngine{hold, read(3)}, false, 1},
	}
	for name, test := range tests {
		q := newEngineQueue(nil)
		generation := q.currentGeneration()
		for _, order := range test.pending {
			q.add(order)
		}
		if test.lost {
			q.generation++
		}
		if got := q.answeredTicket(1, generation); got != test.want {
			t.Errorf("%s: got ticket %d, want %d", name, got, test.want)
		}
	}
}
