package burdockrank

import (
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockspeed"
	"burdockbend.example/burdockbend/internal/external/burdockengine"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"github.com/joomcode/errorx"
)

// Errors is the namespace of the errors of messages between agents.
var Errors = errorx.NewNamespace("rank")

// ErrNotMember reports that an agent isn't in the requested group, or that a rank has no
// known agent.
var ErrNotMember = Errors.NewType("notMember")

// ErrLeaseLapsed reports that an order was not sent because the lease has expired.
var ErrLeaseLapsed = Errors.NewType("lapsed")

// ErrMalformed reports a message that no correct peer sends.
var ErrMalformed = Errors.NewType("malformed")

func orderToWire(group string, o burdockgroup.Order) *burdockwire.GroupOrder {
	msg := &burdockwire.GroupOrder{
		Group:       group,
		Fence:       uint64(o.Number.Fence),
		Seq:         o.Number.Seq,
		To:          int32(o.To),
		Incarnation: string(o.Incarnation),
	}
	switch body := o.Body.(type) {
	case burdockgroup.Read:
		msg.Kind, msg.Map = burdockwire.GroupOrderKind_GROUP_ORDER_KIND_READ, uint64(body.Want)
	case burdockgroup.Load:
		msg.Kind, msg.Map, msg.Content = burdockwire.GroupOrderKind_GROUP_ORDER_KIND_LOAD, uint64(body.Map), body.Content
	case burdockgroup.Arm:
		msg.Kind, msg.Map, msg.At = burdockwire.GroupOrderKind_GROUP_ORDER_KIND_ARM, uint64(body.Map), uint64(body.At)
	case burdockgroup.Commit:
		msg.Kind, msg.Map, msg.At = burdockwire.GroupOrderKind_GROUP_ORDER_KIND_COMMIT, uint64(body.Map), uint64(body.At)
	case burdockgroup.Release:
		msg.Kind, msg.At = burdockwire.GroupOrderKind_GROUP_ORDER_KIND_RELEASE, uint64(body.At)
	case burdockgroup.Abort:
		msg.Kind = burdockwire.GroupOrderKind_GROUP_ORDER_KIND_ABORT
	case burdockgroup.Withdraw:
		msg.Kind, msg.At = burdockwire.GroupOrderKind_GROUP_ORDER_KIND_WITHDRAW, uint64(body.At)
	case burdockgroup.Begin:
		msg.Kind, msg.Map = burdockwire.GroupOrderKind_GROUP_ORDER_KIND_BEGIN, uint64(body.Map)
	}
	return msg
}

func orderFromWire(msg *burdockwire.GroupOrder) (burdockgroup.Order, error) {
	o := burdockgroup.Order{
		Number:      burdockgroup.Number{Fence: burdockid.Fence(msg.GetFence()), Seq: msg.GetSeq()},
		To:          burdockid.Rank(msg.GetTo()),
		Incarnation: burdockid.Incarnation(msg.GetIncarnation()),
	}
	version, at := burdockid.MapVersion(msg.GetMap()), burdockid.Step(msg.GetAt())
	switch msg.GetKind() {
	case burdockwire.GroupOrderKind_GROUP_ORDER_KIND_READ:
		o.Body = burdockgroup.Read{Want: version}
	case burdockwire.GroupOrderKind_GROUP_ORDER_KIND_LOAD:
		o.Body = burdockgroup.Load{Map: version, Content: msg.GetContent()}
	case burdockwire.GroupOrderKind_GROUP_ORDER_KIND_ARM:
		o.Body = burdockgroup.Arm{Map: version, At: at}
	case burdockwire.GroupOrderKind_GROUP_ORDER_KIND_COMMIT:
		o.Body = burdockgroup.Commit{Map: version, At: at}
	case burdockwire.GroupOrderKind_GROUP_ORDER_KIND_RELEASE:
		o.Body = burdockgroup.Release{At: at}
	case burdockwire.GroupOrderKind_GROUP_ORDER_KIND_ABORT:
		o.Body = burdockgroup.Abort{}
	case burdockwire.GroupOrderKind_GROUP_ORDER_KIND_WITHDRAW:
		o.Body = burdockgroup.Withdraw{At: at}
	case burdockwire.GroupOrderKind_GROUP_ORDER_KIND_BEGIN:
		o.Body = burdockgroup.Begin{Map: version}
	default:
		// An unknown kind must not be taken for a read, which voids earlier orders.
		return o, ErrMalformed.New("order of kind %d", msg.GetKind())
	}
	return o, nil
}

func reportToWire(r burdockgroup.Report) *burdockwire.GroupReport {
	msg := &burdockwire.GroupReport{
		Fence:       uint64(r.Number.Fence),
		Seq:         r.Number.Seq,
		From:        int32(r.From),
		Incarnation: string(r.Incarnation),
		Refusal:     string(r.Refusal),
		Highest:     uint64(r.HighestFence),
		Content:     r.Content,
	}
	if r.Refusal == burdockgroup.RefusalNone {
		msg.Status = statusToWire(r.Status)
	}
	for _, v := range r.Kept {
		msg.Kept = append(msg.Kept, uint64(v))
	}
	return msg
}

func reportFromWire(msg *burdockwire.GroupReport) (burdockgroup.Report, error) {
	r := burdockgroup.Report{
		Number:       burdockgroup.Number{Fence: burdockid.Fence(msg.GetFence()), Seq: msg.GetSeq()},
		From:         burdockid.Rank(msg.GetFrom()),
		Incarnation:  burdockid.Incarnation(msg.GetIncarnation()),
		Refusal:      burdockgroup.Refusal(msg.GetRefusal()),
		HighestFence: burdockid.Fence(msg.GetHighest()),
		Content:      msg.GetContent(),
	}
	if r.Refusal == burdockgroup.RefusalNone {
		if msg.GetStatus() == nil {
			// A missing status would look like that of an empty engine, and the group
			// would undo a change.
			return r, ErrMalformed.New("report without a status or a refusal")
		}
		r.Status = statusFromWire(msg.GetStatus())
	}
	for _, v := range msg.GetKept() {
		r.Kept = append(r.Kept, burdockid.MapVersion(v))
	}
	return r, nil
}

func statusToWire(s burdockgroup.EngineStatus) *burdockwire.GroupStatus {
	return &burdockwire.GroupStatus{
		Next:      uint64(s.Next),
		Base:      uint64(s.Base),
		SwitchMap: uint64(s.Switch.Map),
		SwitchAt:  uint64(s.Switch.At),
		Spare:     uint64(s.Spare),
		Loading:   uint64(s.Loading),
		Failed:    uint64(s.Failed),
		Held:      s.Held,
		HoldAt:    uint64(s.HoldAt),
		LastStep:  uint64(s.LastStep),
		LastMap:   uint64(s.LastMap),
	}
}

func statusFromWire(msg *burdockwire.GroupStatus) burdockgroup.EngineStatus {
	return burdockgroup.EngineStatus{
		Next:     burdockid.Step(msg.GetNext()),
		Base:     burdockid.MapVersion(msg.GetBase()),
		Switch:   burdockgroup.Switch{Map: burdockid.MapVersion(msg.GetSwitchMap()), At: burdockid.Step(msg.GetSwitchAt())},
		Spare:    burdockid.MapVersion(msg.GetSpare()),
		Loading:  burdockid.MapVersion(msg.GetLoading()),
		Failed:   burdockid.MapVersion(msg.GetFailed()),
		Held:     msg.GetHeld(),
		HoldAt:   burdockid.Step(msg.GetHoldAt()),
		LastStep: burdockid.Step(msg.GetLastStep()),
		LastMap:  burdockid.MapVersion(msg.GetLastMap()),
	}
}

func heldToWire(version burdockid.MapVersion, experts [][]burdockid.Expert) *burdockwire.GroupHeldResponse {
	msg := &burdockwire.GroupHeldResponse{Map: uint64(version)}
	for _, held := range experts {
		layer := &burdockwire.LayerExperts{}
		for _, e := range held {
			layer.Experts = append(layer.Experts, int32(e))
		}
		msg.Layers = append(msg.Layers, layer)
	}
	return msg
}

func heldFromWire(msg *burdockwire.GroupHeldResponse) (burdockid.MapVersion, [][]burdockid.Expert) {
	var experts [][]burdockid.Expert
	for _, layer := range msg.GetLayers() {
		held := make([]burdockid.Expert, len(layer.GetExperts()))
		for i, e := range layer.GetExperts() {
			held[i] = burdockid.Expert(e)
		}
		experts = append(experts, held)
	}
	return burdockid.MapVersion(msg.GetMap()), experts
}

func countsToWire(c burdockengine.GroupCounts) *burdockwire.GroupCountsResponse {
	msg := &burdockwire.GroupCountsResponse{
		Life:        string(c.Incarnation),
		Slots:       int32(c.Slots),
		ExpertBytes: int64(c.ExpertBytes),
		StoreRate:   int64(c.StoreRate),
		MaxLoads:    int32(c.MaxLoads),
		Speed:       float64(c.Speed),
	}
	for _, tokens := range c.Tokens {
		layer := &burdockwire.LayerCounts{}
		for _, n := range tokens {
			layer.Tokens = append(layer.Tokens, int64(n))
		}
		msg.Layers = append(msg.Layers, layer)
	}
	return msg
}

func countsFromWire(msg *burdockwire.GroupCountsResponse) burdockengine.GroupCounts {
	c := burdockengine.GroupCounts{
		Incarnation: burdockengine.Incarnation(msg.GetLife()),
		Slots:       int(msg.GetSlots()),
		ExpertBytes: burdockid.Bytes(msg.GetExpertBytes()),
		StoreRate:   burdockid.BytesPerSecond(msg.GetStoreRate()),
		MaxLoads:    int(msg.GetMaxLoads()),
		Speed:       burdockspeed.Speed(msg.GetSpeed()),
	}
	for _, layer := range msg.GetLayers() {
		tokens := make([]burdockid.Tokens, len(layer.GetTokens()))
		for e, n := range layer.GetTokens() {
			tokens[e] = burdockid.Tokens(n)
		}
		c.Tokens = append(c.Tokens, tokens)
	}
	return c
}
