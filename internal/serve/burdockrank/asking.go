package burdockrank

import (
	"context"
	"sync"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
	"burdockbend.example/burdockbend/internal/wire/burdocktransport"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"connectrpc.com/connect"
)

const (
	// askTimeout bounds one question to a peer, many round trips away.
	askTimeout = time.Second
	// askPause is the time between two questions to the same one. The rank asks
	// with each tick; when the store is out all agents that start would
	// otherwise greet its return with twenty questions a second each.
	askPause = burdockclock.Second / 2
	// askStore stands for the store among those who are asked.
	askStore burdockid.Rank = -1
)

// asking puts a rank's questions, each one at a time.
type asking struct {
	member *member

	mu   sync.Mutex
	open map[burdockid.Rank]bool
	// controller is the address of the agent whose orders had the highest fencing
	// number.
	controller string
	fence      burdockid.Fence
}

// heardFrom notes the address of the agent that an order comes from.
func (a *asking) heardFrom(fence burdockid.Fence, controller string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if fence >= a.fence && controller != "" {
		a.fence, a.controller = fence, controller
	}
}

// knownController returns the address of the latest controller, or "".
func (a *asking) knownController() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller
}

// forgetController has the next call go to all agents again.
func (a *asking) forgetController(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.controller == address {
		a.controller = ""
	}
}

func newAsking(m *member) *asking { return &asking{member: m, open: map[burdockid.Rank]bool{}} }

// claim reports whether nobody else asks the same now.
func (a *asking) claim(whom burdockid.Rank) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.open[whom] || !a.member.enter() {
		return false
	}
	a.open[whom] = true
	return true
}

func (a *asking) settle(whom burdockid.Rank) {
	a.member.sleep(askPause)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open[whom] = false
	a.member.done.Done()
}

// store asks the store for the fencing number of the group's lease.
func (a *asking) store() {
	if a.claim(askStore) {
		go storeQuestion{a}.run()
	}
}

type storeQuestion struct{ asking *asking }

func (q storeQuestion) run() {
	defer q.asking.settle(askStore)
	m := q.asking.member
	if fence, err := m.deps.Store.Fence(m.ctx, LeaseName(m.seat.Group)); err == nil {
		m.handle(burdockgroup.FenceFromStore{Fence: fence})
	}
}

// peer asks the agent of another rank for the highest fencing number.
func (a *asking) peer(rank burdockid.Rank) {
	if a.claim(rank) {
		go peerQuestion{a, rank}.run()
	}
}

type peerQuestion struct {
	asking *asking
	rank   burdockid.Rank
}

func (q peerQuestion) run() {
	defer q.asking.settle(q.rank)
	m := q.asking.member
	ctx, cancel := context.WithTimeout(m.ctx, askTimeout)
	defer cancel()
	client, ok := m.client(q.rank)
	if !ok {
		return
	}
	res, err := client.AskFence(ctx, connect.NewRequest(&burdockwire.AskFenceRequest{Group: m.seat.Group, From: int32(m.seat.Rank)}))
	if err != nil {
		return
	}
	m.handle(burdockgroup.FenceAnswered{From: q.rank, Fence: burdockid.Fence(res.Msg.GetFence()), Known: res.Msg.GetKnown()})
}

// client returns the way to the agent of another rank.
func (m *member) client(rank burdockid.Rank) (burdockwire.GroupServiceClient, bool) {
	url := m.peer(rank)
	if url == "" {
		return nil, false
	}
	return burdockwire.NewGroupServiceClient(m.deps.Peers.Client, url, burdocktransport.ClientOptions()...), true
}

// sayWaiting tells the agent that gave the latest orders or, if that is not known
// or doesn't answer, all agents of the group. The rank spaces these calls out
// itself.
//
// Load: a large group that stands, each rank of which calls. Harm prevented: a
// call from each agent to each other one, which fills the links that the orders
// of the next controller need.
func (a *asking) sayWaiting(out burdockgroup.NotifyWaiting) {
	if address := a.knownController(); address != "" {
		if a.member.enter() {
			go controllerCall{a, address, out}.run()
		}
		return
	}
	for rank := range burdockid.Rank(a.member.seat.Ranks) {
		if a.member.enter() {
			go waitingCall{a.member, rank, out}.run()
		}
	}
}

// controllerCall tells the agent that gave the latest orders.
type controllerCall struct {
	asking  *asking
	address string
	out     burdockgroup.NotifyWaiting
}

func (c controllerCall) run() {
	m := c.asking.member
	defer m.done.Done()
	ctx, cancel := context.WithTimeout(m.ctx, askTimeout)
	defer cancel()
	client := burdockwire.NewGroupServiceClient(m.deps.Peers.Client, m.deps.Peers.URL(c.address), burdocktransport.ClientOptions()...)
	_, err := client.SayWaiting(ctx, connect.NewRequest(&burdockwire.SayWaitingRequest{Group: m.seat.Group, From: int32(c.out.From)}))
	if err != nil {
		// The rank calls again, and then all agents.
		c.asking.forgetController(c.address)
	}
}

type waitingCall struct {
	member *member
	to     burdockid.Rank
	out    burdockgroup.NotifyWaiting
}

func (c waitingCall) run() {
	defer c.member.done.Done()
	if c.to == c.member.seat.Rank {
		c.member.duty.handle(burdockgroup.RankWaiting(c.out))
		return
	}
	ctx, cancel := context.WithTimeout(c.member.ctx, askTimeout)
	defer cancel()
	if client, ok := c.member.client(c.to); ok {
		// The rank says it again for as long as it waits.
		_, _ = client.SayWaiting(ctx, connect.NewRequest(&burdockwire.SayWaitingRequest{Group: c.member.seat.Group, From: int32(c.out.From)}))
	}
}
