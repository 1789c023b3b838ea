package burdockagent

import (
	"context"
	"sync"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockledger"
)

// tasksAtOnce is how many slots are worked on beside each other. Load: a
// leaving agent hands over 64 slots while the store takes a second for each
// call. Harm: one after another they take two minutes, and the stop as long.
const tasksAtOnce = 16

// task is one slot's work with other agents and the store.
type task struct {
	homes   *KeySlotManager
	service burdockid.Service
	slot    burdockledger.Slot
	do      action
}

// action is what a task does: claiming, handing or settling.
type action interface{ isAction() }

// claiming writes this agent's name on a slot without a home.
type claiming struct{ move move }

// handing hands a slot over to another agent.
type handing struct{}

// settling tries a write again whose outcome is open.
type settling struct{ move move }

func (claiming) isAction() {}
func (handing) isAction()  {}
func (settling) isAction() {}

// run does the work and tells done.
func (t task) run(ctx context.Context, done *sync.WaitGroup) {
	defer done.Done()
	switch do := t.do.(type) {
	case claiming:
		t.homes.write(ctx, t.service, t.slot, do.move)
	case handing:
		t.homes.handOverSlot(ctx, t.service, t.slot)
	case settling:
		t.homes.settle(ctx, t.service, t.slot, do.move)
	}
}

// runAll does the work of all tasks beside each other. They have different
// slots, so none of them meets another.
func runAll(ctx context.Context, tasks []task) {
	var done sync.WaitGroup
	done.Add(len(tasks))
	for _, t := range tasks {
		go t.run(ctx, &done)
	}
	done.Wait()
}
