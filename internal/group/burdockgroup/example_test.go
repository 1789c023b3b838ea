package burdockgroup_test

import (
	"fmt"

	"burdockbend.example/burdockbend/internal/group/burdockgroup"
)

// An agent passes events to its rank and carries out the outputs.
func ExampleRank_Handle() {
	rank := burdockgroup.NewRank(burdockgroup.DefaultRankConfig(0, 2, "a"))
	show := func(outs []burdockgroup.RankOutput) {
		for _, out := range outs {
			fmt.Printf("%T in phase %s\n", out, rank.State().Phase)
		}
	}
	show(rank.Handle(1, burdockgroup.FenceFromStore{Fence: 7}))
	show(rank.Handle(2, burdockgroup.EngineAnswered{Ticket: 1, Status: burdockgroup.EngineStatus{Next: 5, Base: 1, Spare: 2}}))
	arm := burdockgroup.Order{
		Number:      burdockgroup.Number{Fence: 7, Seq: 1},
		Incarnation: "a",
		Body:        burdockgroup.Arm{Map: 2, At: 9},
	}
	show(rank.Handle(3, burdockgroup.OrderReceived{Order: arm}))
	held := burdockgroup.EngineStatus{Next: 6, Base: 1, Spare: 2, Held: true, HoldAt: 9}
	show(rank.Handle(4, burdockgroup.EngineAnswered{Ticket: 2, Status: held}))
	// Output:
	// burdockgroup.OrderEngine in phase ordering
	// burdockgroup.OrderEngine in phase ordering
	// burdockgroup.SendReport in phase armed
}

// A controller that acquires the group's lease first reads every rank.
func ExampleController_Handle() {
	controller := burdockgroup.NewController(burdockgroup.DefaultControllerConfig(2))
	lease := burdockgroup.Lease{Fence: 7, Until: 5000}
	for _, out := range controller.Handle(1, burdockgroup.LeaseHeld{Lease: lease}) {
		if send, ok := out.(burdockgroup.SendOrder); ok {
			fmt.Printf("rank %d: %T, not after %d\n", send.Order.To, send.Order.Body, send.NotAfter)
		}
	}
	// Output:
	// rank 0: burdockgroup.Read, not after 5000
	// rank 1: burdockgroup.Read, not after 5000
}
