package burdockrank

import (
	"context"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockexpert"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"connectrpc.com/connect"
	"go.uber.org/zap"
)

// Relay implements burdockwire.GroupServiceHandler.
func (h *Host) Relay(ctx context.Context, req *connect.Request[burdockwire.GroupRelayRequest], stream *connect.ServerStream[burdockwire.GroupRelayResponse]) error {
	m, err := h.find(req.Msg.GetGroup())
	if err != nil {
		return err
	}
	if err := checkRelay(req.Msg, m.seat); err != nil {
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	// Nothing yet: the sender learns that the orders have come.
	if err := stream.Send(&burdockwire.GroupRelayResponse{}); err != nil {
		return err
	}
	return newRelay(m, req.Msg).serve(ctx, stream.Send)
}

// checkRelay returns what is wrong with the orders of a branch.
func checkRelay(req *burdockwire.GroupRelayRequest, seat Assignment) error {
	if len(req.GetOrders()) == 0 || req.GetDegree() < 1 {
		return ErrMalformed.New("%d orders for branches of %d", len(req.GetOrders()), req.GetDegree())
	}
	seen := map[int32]bool{}
	for _, order := range req.GetOrders() {
		if to := order.GetTo(); to < 0 || int(to) >= seat.Ranks || seen[to] {
			return ErrMalformed.New("an order to rank %d, which is none of %d or has one already", to, seat.Ranks)
		}
		seen[order.GetTo()] = true
	}
	if first := burdockid.Rank(req.GetOrders()[0].GetTo()); first != seat.Rank {
		return ErrMalformed.New("the first order is for rank %d, this is rank %d", first, seat.Rank)
	}
	return nil
}

// relay carries out the order of this agent's rank and passes the others on.
type relay struct {
	member *member
	req    *burdockwire.GroupRelayRequest
	out    chan relayed
}

func newRelay(m *member, req *burdockwire.GroupRelayRequest) *relay {
	return &relay{member: m, req: req, out: make(chan relayed, len(req.GetOrders())+1)}
}

// serve sends what comes back as it comes, all that is there in one message.
func (r *relay) serve(ctx context.Context, send func(*burdockwire.GroupRelayResponse) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	working := 1
	go r.run(ctx)
	for _, part := range parted(r.req.GetOrders()[1:], int(r.req.GetDegree())) {
		working++
		go branch{member: r.member, common: withoutOrders(r.req), orders: part, out: r.out}.run(ctx)
	}
	for working > 0 {
		res := &burdockwire.GroupRelayResponse{}
		ended, err := r.gather(ctx, res)
		if err != nil {
			return err
		}
		working -= ended
		if len(res.GetReports())+len(res.GetFailures()) == 0 {
			continue
		}
		if err := send(res); err != nil {
			return err
		}
	}
	return nil
}

// gather waits for something and takes all that is there. It returns how many
// senders have ended.
func (r *relay) gather(ctx context.Context, into *burdockwire.GroupRelayResponse) (int, error) {
	ended := 0
	take := func(got relayed) {
		if got.ended {
			ended++
		}
		into.Reports = append(into.Reports, got.res.GetReports()...)
		into.Failures = append(into.Failures, got.res.GetFailures()...)
	}
	select {
	case got := <-r.out:
		take(got)
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	for {
		select {
		case got := <-r.out:
			take(got)
		default:
			return ended, nil
		}
	}
}

// run carries out the order of the agent's own rank.
func (r *relay) run(ctx context.Context) {
	defer func() { emit(ctx, r.out, relayed{ended: true}) }()
	own := burdockid.Rank(r.req.GetOrders()[0].GetTo())
	report, err := r.own(ctx)
	if err != nil {
		emit(ctx, r.out, relayed{res: failure(own, err)})
		return
	}
	emit(ctx, r.out, relayed{res: &burdockwire.GroupRelayResponse{Reports: []*burdockwire.GroupReport{report}}})
}

func (r *relay) own(ctx context.Context) (*burdockwire.GroupReport, error) {
	content, err := r.member.wholeContent(r.req)
	if err != nil {
		r.member.deps.Log.Info("a map can't be made of what is known; it has to be sent whole",
			zap.Uint64("map", r.req.GetMap()), zap.Uint64("base", r.req.GetBase()), zap.Error(err))
		return nil, err
	}
	to := r.req.GetOrders()[0]
	return r.member.carryOut(ctx, &burdockwire.GroupOrder{
		Group: r.req.GetGroup(), Controller: r.req.GetController(), Fence: r.req.GetFence(), Seq: to.GetSeq(), To: to.GetTo(),
		Incarnation: to.GetIncarnation(), Kind: r.req.GetKind(), Map: r.req.GetMap(), At: r.req.GetAt(), Content: content,
	})
}

// carryOut gives the rank an order as it came from a peer, and returns its report.
func (m *member) carryOut(ctx context.Context, msg *burdockwire.GroupOrder) (*burdockwire.GroupReport, error) {
	order, err := orderFromWire(msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	m.asking.heardFrom(order.Number.Fence, msg.GetController())
	ctx, cancel := context.WithTimeout(ctx, mostOrderWait)
	defer cancel()
	report, err := m.order(ctx, order)
	if err != nil {
		return nil, connect.NewError(connect.CodeDeadlineExceeded, err)
	}
	res := reportToWire(report)
	res.Speed = float64(m.speed())
	return res, nil
}

// wholeContent returns the content that a load brings, which may be told by its
// difference from a map that this agent has.
func (m *member) wholeContent(req *burdockwire.GroupRelayRequest) ([]byte, error) {
	if req.GetBase() == 0 {
		return req.GetContent(), nil
	}
	known := m.content(burdockid.MapVersion(req.GetBase()))
	if known == nil {
		return nil, ErrMalformed.New("map %d is not known", req.GetBase())
	}
	base, err := burdockexpert.Decode(known)
	if err != nil {
		return nil, err
	}
	whole, err := base.Apply(req.GetContent(), req.GetDigest())
	if err != nil {
		return nil, err
	}
	return whole.Encode()
}

// withoutOrders returns what the orders of a branch have in common.
func withoutOrders(req *burdockwire.GroupRelayRequest) *burdockwire.GroupRelayRequest {
	return &burdockwire.GroupRelayRequest{
		Group: req.GetGroup(), Fence: req.GetFence(), Kind: req.GetKind(), Map: req.GetMap(), At: req.GetAt(),
		Content: req.GetContent(), Base: req.GetBase(), Digest: req.GetDigest(), Degree: req.GetDegree(),
		PatienceMillis: req.GetPatienceMillis(), Controller: req.GetController(),
	}
}
