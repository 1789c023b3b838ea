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
	// queryTimeout bounds one query to a peer: many round trips.
	queryTimeout = time.Second
	// queryPause is the pause after a query before the same target is queried again. The
	// rank asks at each tick, so without a pause all agents that start during an outage
	// of the store would each send it twenty queries a second when it comes back.
	queryPause = burdockclock.Second / 2
	// storeTarget stands for the store among the targets of queries.
	storeTarget burdockid.Rank = -1
)

// fenceQueries sends a rank's queries for the highest fencing number and its
// notifications to the controller. It has at most one open query to each target.
type fenceQueries struct {
	member *member

	mu       sync.Mutex
	inFlight map[burdockid.Rank]bool
	// controller is the address of the agent whose orders had the highest fencing number;
	// fence is that number.
	controller string
	fence      burdockid.Fence
}

// noteController records the address of the agent that sent an order.
func (q *fenceQueries) noteController(fence burdockid.Fence, controller string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if fence >= q.fence && controller != "" {
		q.fence, q.controller = fence, controller
	}
}

// controllerAddress returns the address of the latest controller, or "".
func (q *fenceQueries) controllerAddress() string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.controller
}

// forgetController drops the address, so that the next notification goes to all agents.
func (q *fenceQueries) forgetController(address string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.controller == address {
		q.controller = ""
	}
}

func newFenceQueries(m *member) *fenceQueries {
	return &fenceQueries{member: m, inFlight: map[burdockid.Rank]bool{}}
}

// claim marks a query to the target as open. It returns false if one is open already or
// the member is closing. The caller calls finish at the query's end.
func (q *fenceQueries) claim(target burdockid.Rank) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.inFlight[target] || !q.member.addTask() {
		return false
	}
	q.inFlight[target] = true
	return true
}

func (q *fenceQueries) finish(target burdockid.Rank) {
	q.member.sleep(queryPause)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.inFlight[target] = false
	q.member.done.Done()
}

// queryStore asks the store for the fencing number of the group's lease.
func (q *fenceQueries) queryStore() {
	if q.claim(storeTarget) {
		go storeQuery{q}.run()
	}
}

type storeQuery struct{ queries *fenceQueries }

func (q storeQuery) run() {
	defer q.queries.finish(storeTarget)
	m := q.queries.member
	if fence, err := m.deps.Store.Fence(m.ctx, LeaseName(m.assignment.Group)); err == nil {
		m.handle(burdockgroup.FenceFromStore{Fence: fence})
	}
}

// queryPeer asks the agent of another rank for the highest fencing number that it knows.
func (q *fenceQueries) queryPeer(rank burdockid.Rank) {
	if q.claim(rank) {
		go peerQuery{q, rank}.run()
	}
}

type peerQuery struct {
	queries *fenceQueries
	rank    burdockid.Rank
}

func (q peerQuery) run() {
	defer q.queries.finish(q.rank)
	m := q.queries.member
	ctx, cancel := context.WithTimeout(m.ctx, queryTimeout)
	defer cancel()
	client, ok := m.client(q.rank)
	if !ok {
		return
	}
	res, err := client.AskFence(ctx, connect.NewRequest(&burdockwire.AskFenceRequest{Group: m.assignment.Group, From: int32(m.assignment.Rank)}))
	if err != nil {
		return
	}
	m.handle(burdockgroup.FenceAnswered{From: q.rank, Fence: burdockid.Fence(res.Msg.GetFence()), Known: res.Msg.GetKnown()})
}

// client returns a client for the agent of another rank.
func (m *member) client(rank burdockid.Rank) (burdockwire.GroupServiceClient, bool) {
	url := m.peerURL(rank)
	if url == "" {
		return nil, false
	}
	return burdockwire.NewGroupServiceClient(m.deps.Peers.Client, url, burdocktransport.ClientOptions()...), true
}

// notifyWaiting notifies the controller that this rank is waiting: the agent that sent
// the latest orders or, if it isn't known or doesn't answer, all agents of the group. The
// rank itself limits how often it calls this.
//
// In a large group that is stalled, every rank sends this notification. If each agent
// called every other one, the calls would fill the links that the next controller needs
// for its orders.
func (q *fenceQueries) notifyWaiting(out burdockgroup.NotifyWaiting) {
	if address := q.controllerAddress(); address != "" {
		if q.member.addTask() {
			go controllerNotification{q, address, out}.run()
		}
		return
	}
	for rank := range burdockid.Rank(q.member.assignment.Ranks) {
		if q.member.addTask() {
			go rankNotification{q.member, rank, out}.run()
		}
	}
}

// controllerNotification notifies the agent that sent the latest orders.
type controllerNotification struct {
	queries *fenceQueries
	address string
	out     burdockgroup.NotifyWaiting
}

func (c controllerNotification) run() {
	m := c.queries.member
	defer m.done.Done()
	ctx, cancel := context.WithTimeout(m.ctx, queryTimeout)
	defer cancel()
	client := burdockwire.NewGroupServiceClient(m.deps.Peers.Client, m.deps.Peers.URL(c.address), burdocktransport.ClientOptions()...)
	_, err := client.SayWaiting(ctx, connect.NewRequest(&burdockwire.SayWaitingRequest{Group: m.assignment.Group, From: int32(c.out.From)}))
	if err != nil {
		// The rank notifies again, and then all agents.
		c.queries.forgetController(c.address)
	}
}

type rankNotification struct {
	member *member
	to     burdockid.Rank
	out    burdockgroup.NotifyWaiting
}

func (c rankNotification) run() {
	defer c.member.done.Done()
	if c.to == c.member.assignment.Rank {
		c.member.leadership.handle(burdockgroup.RankWaiting(c.out))
		return
	}
	ctx, cancel := context.WithTimeout(c.member.ctx, queryTimeout)
	defer cancel()
	if client, ok := c.member.client(c.to); ok {
		// The rank repeats the notification for as long as it waits.
		_, _ = client.SayWaiting(ctx, connect.NewRequest(&burdockwire.SayWaitingRequest{Group: c.member.assignment.Group, From: int32(c.out.From)}))
	}
}
