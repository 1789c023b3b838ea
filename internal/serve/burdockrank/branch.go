package burdockrank

import (
	"context"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/wire/burdocktransport"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
)

// branch sends orders to some ranks through the agent of the first of them.
//
// If that agent is dead, frozen or cut off, none of the ranks behind it gets its order,
// and the group is stalled until the controller resends them. An agent that doesn't
// acknowledge the orders within the request's timeout is therefore skipped, and the next
// one takes its place; the sender is notified of the ranks that were not reached. An
// order may reach its rank twice that way. The rank takes the second one for a repeated
// request.
type branch struct {
	member *member
	common *burdockwire.GroupRelayRequest // without orders
	orders []*burdockwire.GroupRelayOrder
	// results receives the results, and a last one with ended set.
	results chan<- branchResult
	// leaseValid, if set, is checked right before each call.
	leaseValid func() bool
}

// branchResult is a result of a branch, or of the agent's own rank.
type branchResult struct {
	res   *burdockwire.GroupRelayResponse
	ended bool
}

func (b branch) run(ctx context.Context) {
	defer func() { sendResult(ctx, b.results, branchResult{ended: true}) }()
	orders := b.orders
	for len(orders) > 0 && ctx.Err() == nil {
		if b.leaseValid != nil && !b.leaseValid() {
			return
		}
		unanswered, err := b.sendVia(ctx, orders)
		if err == nil && len(unanswered) == 0 {
			return
		}
		if len(unanswered) > 0 && unanswered[0] == orders[0] {
			sendResult(ctx, b.results, branchResult{res: relayFailure(burdockid.Rank(orders[0].GetTo()), err)})
			unanswered = unanswered[1:]
		}
		orders = unanswered
	}
}

// sendVia sends orders to the agent of the first rank and forwards the results. It
// returns the orders without a result.
func (b branch) sendVia(ctx context.Context, orders []*burdockwire.GroupRelayOrder) ([]*burdockwire.GroupRelayOrder, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req := proto.CloneOf(b.common)
	req.Orders = orders
	client := burdockwire.NewGroupServiceClient(b.member.deps.Peers.Client, b.member.deps.Peers.URL(orders[0].GetAgent()), burdocktransport.ClientOptions()...)
	ackTimer := time.AfterFunc(burdockclock.Millis(b.common.GetPatienceMillis()).Duration(), cancel)
	defer ackTimer.Stop()
	open := map[int32]bool{}
	for _, order := range orders {
		open[order.GetTo()] = true
	}
	b.member.traffic.relayed(req)
	stream, err := client.Relay(ctx, connect.NewRequest(req))
	if err != nil {
		return orders, err
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		ackTimer.Stop()
		for _, report := range stream.Msg().GetReports() {
			delete(open, report.GetFrom())
		}
		for _, failed := range stream.Msg().GetFailures() {
			delete(open, failed.GetRank())
		}
		sendResult(ctx, b.results, branchResult{res: proto.CloneOf(stream.Msg())})
	}
	var unanswered []*burdockwire.GroupRelayOrder
	for _, order := range orders {
		if open[order.GetTo()] {
			unanswered = append(unanswered, order)
		}
	}
	return unanswered, stream.Err()
}

// sendResult forwards a result unless its receiver has stopped waiting.
func sendResult(ctx context.Context, results chan<- branchResult, result branchResult) {
	select {
	case results <- result:
	case <-ctx.Done():
	}
}

// relayFailure is the result for a rank that its order did not reach.
func relayFailure(rank burdockid.Rank, err error) *burdockwire.GroupRelayResponse {
	reason := "no answer"
	if err != nil {
		reason = err.Error()
	}
	return &burdockwire.GroupRelayResponse{Failures: []*burdockwire.GroupRelayFailure{{Rank: int32(rank), Reason: reason}}}
}
