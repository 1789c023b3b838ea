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
	m, err := h.memberFor(req.Msg.GetGroup())
	if err != nil {
		return err
	}
	if err := checkRelay(req.Msg, m.assignment); err != nil {
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	// The empty message tells the sender that the orders have arrived.
	if err := stream.Send(&burdockwire.GroupRelayResponse{}); err != nil {
		return err
	}
	return newRelay(m, req.Msg).serve(ctx, stream.Send)
}

// checkRelay returns an error if the orders of a branch are malformed.
func checkRelay(req *burdockwire.GroupRelayRequest, assignment Assignment) error {
	if len(req.GetOrders()) == 0 || req.GetDegree() < 1 {
		return ErrMalformed.New("%d orders for branches of %d", len(req.GetOrders()), req.GetDegree())
	}
	seen := map[int32]bool{}
	for _, order := range req.GetOrders() {
		if to := order.GetTo(); to < 0 || int(to) >= assignment.Ranks || seen[to] {
			return ErrMalformed.New("an order to rank %d, which is none of %d or has one already", to, assignment.Ranks)
		}
		seen[order.GetTo()] = true
	}
	if first := burdockid.Rank(req.GetOrders()[0].GetTo()); first != assignment.Rank {
		return ErrMalformed.New("the first order is for rank %d, this is rank %d", first, assignment.Rank)
	}
	return nil
}

// relay executes the order for this agent's rank and relays the others.
type relay struct {
	member  *member
	req     *burdockwire.GroupRelayRequest
	results chan branchResult
}

func newRelay(m *member, req *burdockwire.GroupRelayRequest) *relay {
	return &relay{member: m, req: req, results: make(chan branchResult, len(req.GetOrders())+1)}
}

// serve sends results as they arrive. Results that are available at the same time share
// one message.
func (r *relay) serve(ctx context.Context, send func(*burdockwire.GroupRelayResponse) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	active := 1
	go r.run(ctx)
	for _, part := range partition(r.req.GetOrders()[1:], int(r.req.GetDegree())) {
		active++
		go branch{member: r.member, common: commonFields(r.req), orders: part, results: r.results}.run(ctx)
	}
	for active > 0 {
		res := &burdockwire.GroupRelayResponse{}
		ended, err := r.gather(ctx, res)
		if err != nil {
			return err
		}
		active -= ended
		if len(res.GetReports())+len(res.GetFailures()) == 0 {
			continue
		}
		if err := send(res); err != nil {
			return err
		}
	}
	return nil
}

// gather waits for a result and then takes all that are available. It returns how many
// senders have ended.
func (r *relay) gather(ctx context.Context, into *burdockwire.GroupRelayResponse) (int, error) {
	ended := 0
	take := func(result branchResult) {
		if result.ended {
			ended++
		}
		into.Reports = append(into.Reports, result.res.GetReports()...)
		into.Failures = append(into.Failures, result.res.GetFailures()...)
	}
	select {
	case result := <-r.results:
		take(result)
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	for {
		select {
		case result := <-r.results:
			take(result)
		default:
			return ended, nil
		}
	}
}

// run executes the order for this agent's rank.
func (r *relay) run(ctx context.Context) {
	defer func() { sendResult(ctx, r.results, branchResult{ended: true}) }()
	rank := burdockid.Rank(r.req.GetOrders()[0].GetTo())
	report, err := r.executeOwn(ctx)
	if err != nil {
		sendResult(ctx, r.results, branchResult{res: relayFailure(rank, err)})
		return
	}
	sendResult(ctx, r.results, branchResult{res: &burdockwire.GroupRelayResponse{Reports: []*burdockwire.GroupReport{report}}})
}

func (r *relay) executeOwn(ctx context.Context) (*burdockwire.GroupReport, error) {
	content, err := r.member.fullContent(r.req)
	if err != nil {
		r.member.deps.Log.Info("map difference can't be applied; the full map is needed",
			zap.Uint64("map", r.req.GetMap()), zap.Uint64("base", r.req.GetBase()), zap.Error(err))
		return nil, err
	}
	order := r.req.GetOrders()[0]
	return r.member.executeOrder(ctx, &burdockwire.GroupOrder{
		Group: r.req.GetGroup(), Controller: r.req.GetController(), Fence: r.req.GetFence(), Seq: order.GetSeq(), To: order.GetTo(),
		Incarnation: order.GetIncarnation(), Kind: r.req.GetKind(), Map: r.req.GetMap(), At: r.req.GetAt(), Content: content,
	})
}

// executeOrder passes an order received from a peer to the rank and returns the rank's
// report.
func (m *member) executeOrder(ctx context.Context, msg *burdockwire.GroupOrder) (*burdockwire.GroupReport, error) {
	order, err := orderFromWire(msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	m.queries.noteController(order.Number.Fence, msg.GetController())
	ctx, cancel := context.WithTimeout(ctx, maxOrderWait)
	defer cancel()
	report, err := m.order(ctx, order)
	if err != nil {
		return nil, connect.NewError(connect.CodeDeadlineExceeded, err)
	}
	res := reportToWire(report)
	res.Speed = float64(m.engineSpeed())
	return res, nil
}

// fullContent returns the map content of a load order, which may contain only the
// difference from a map that this agent stores.
func (m *member) fullContent(req *burdockwire.GroupRelayRequest) ([]byte, error) {
	if req.GetBase() == 0 {
		return req.GetContent(), nil
	}
	content := m.content(burdockid.MapVersion(req.GetBase()))
	if content == nil {
		return nil, ErrMalformed.New("map %d is not known", req.GetBase())
	}
	base, err := burdockexpert.Decode(content)
	if err != nil {
		return nil, err
	}
	full, err := base.Apply(req.GetContent(), req.GetDigest())
	if err != nil {
		return nil, err
	}
	return full.Encode()
}

// commonFields returns the request without its orders.
func commonFields(req *burdockwire.GroupRelayRequest) *burdockwire.GroupRelayRequest {
	return &burdockwire.GroupRelayRequest{
		Group: req.GetGroup(), Fence: req.GetFence(), Kind: req.GetKind(), Map: req.GetMap(), At: req.GetAt(),
		Content: req.GetContent(), Base: req.GetBase(), Digest: req.GetDigest(), Degree: req.GetDegree(),
		PatienceMillis: req.GetPatienceMillis(), Controller: req.GetController(),
	}
}
