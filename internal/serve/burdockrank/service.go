package burdockrank

import (
	"context"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"connectrpc.com/connect"
)

// maxOrderWait bounds how long an order waits for an engine that doesn't answer.
const maxOrderWait = 2 * time.Second

func (h *Host) memberFor(group string) (*member, error) {
	if m := h.memberOf(group); m != nil {
		return m, nil
	}
	return nil, connect.NewError(connect.CodeUnavailable, ErrNotMember.New("%s is not in group %q", h.upstream, group))
}

// Order implements burdockwire.GroupServiceHandler.
func (h *Host) Order(ctx context.Context, req *connect.Request[burdockwire.GroupOrder]) (*connect.Response[burdockwire.GroupReport], error) {
	m, err := h.memberFor(req.Msg.GetGroup())
	if err != nil {
		return nil, err
	}
	report, err := m.executeOrder(ctx, req.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(report), nil
}

// AskFence implements burdockwire.GroupServiceHandler.
func (h *Host) AskFence(_ context.Context, req *connect.Request[burdockwire.AskFenceRequest]) (*connect.Response[burdockwire.AskFenceResponse], error) {
	m, err := h.memberFor(req.Msg.GetGroup())
	if err != nil {
		return nil, err
	}
	answer := m.answerFence(burdockid.Rank(req.Msg.GetFrom()))
	return connect.NewResponse(&burdockwire.AskFenceResponse{Fence: uint64(answer.Fence), Known: answer.Known}), nil
}

// SayWaiting implements burdockwire.GroupServiceHandler.
func (h *Host) SayWaiting(_ context.Context, req *connect.Request[burdockwire.SayWaitingRequest]) (*connect.Response[burdockwire.SayWaitingResponse], error) {
	m, err := h.memberFor(req.Msg.GetGroup())
	if err != nil {
		return nil, err
	}
	m.leadership.handle(burdockgroup.RankWaiting{From: burdockid.Rank(req.Msg.GetFrom())})
	return connect.NewResponse(&burdockwire.SayWaitingResponse{}), nil
}

// Held implements burdockwire.GroupServiceHandler.
func (h *Host) Held(ctx context.Context, req *connect.Request[burdockwire.GroupHeldRequest]) (*connect.Response[burdockwire.GroupHeldResponse], error) {
	m, err := h.memberFor(req.Msg.GetGroup())
	if err != nil {
		return nil, err
	}
	version, experts, err := m.residentExperts(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(heldToWire(version, experts)), nil
}

// Counts implements burdockwire.GroupServiceHandler.
func (h *Host) Counts(ctx context.Context, req *connect.Request[burdockwire.GroupCountsRequest]) (*connect.Response[burdockwire.GroupCountsResponse], error) {
	m, err := h.memberFor(req.Msg.GetGroup())
	if err != nil {
		return nil, err
	}
	counts, err := m.deps.Engine.Counts(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	reported, reportID, difference := m.countsReporter.report(counts, req.Msg.GetSince())
	msg := countsToWire(reported)
	msg.Telling, msg.Difference = reportID, difference
	return connect.NewResponse(msg), nil
}
