package burdockagent

import (
	"context"
	"sync"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockledger"
)

// maxParallelTasks is how many slots are handled in parallel. If a draining agent hands
// over 64 slots one after another while the store takes a second for each call, the
// handover takes two minutes and delays the stop as long.
const maxParallelTasks = 16

// slotTask is an action on one slot that needs other agents or the store.
type slotTask struct {
	manager *KeySlotManager
	service burdockid.Service
	slot    burdockledger.Slot
	action  slotAction
}

// slotAction is the action of a task: claimAction, handOverAction or retryAction.
type slotAction interface{ isSlotAction() }

// claimAction makes this agent the owner of a slot that has no valid owner.
type claimAction struct{ ownerWrite ownerWrite }

// handOverAction hands a slot over to another agent.
type handOverAction struct{}

// retryAction retries a handover write whose result is unknown.
type retryAction struct{ ownerWrite ownerWrite }

func (claimAction) isSlotAction()    {}
func (handOverAction) isSlotAction() {}
func (retryAction) isSlotAction()    {}

// run executes the action and then calls done.Done.
func (t slotTask) run(ctx context.Context, done *sync.WaitGroup) {
	defer done.Done()
	switch action := t.action.(type) {
	case claimAction:
		t.manager.write(ctx, t.service, t.slot, action.ownerWrite)
	case handOverAction:
		t.manager.handOverSlot(ctx, t.service, t.slot)
	case retryAction:
		t.manager.writeHandover(ctx, t.service, t.slot, action.ownerWrite)
	}
}

// runAll runs all tasks in parallel. They have different slots and therefore don't
// conflict.
func runAll(ctx context.Context, tasks []slotTask) {
	var done sync.WaitGroup
	done.Add(len(tasks))
	for _, t := range tasks {
		go t.run(ctx, &done)
	}
	done.Wait()
}
