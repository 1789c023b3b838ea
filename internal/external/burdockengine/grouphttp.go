package burdockengine

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
	"burdockbend.example/burdockbend/internal/wire/burdocktransport"
	"github.com/dghubble/sling"
)

// Paths of the HTTP interface of an engine in a lock-stepped group.
const (
	GroupOrderPath  = "/group/order"
	GroupStepsPath  = "/group/steps"
	GroupCountsPath = "/group/counts"
)

const (
	// groupTimeout bounds one call to an engine on the same VM. The engine answers before
	// a load of experts has finished, so no call waits for one.
	groupTimeout = 2 * time.Second
	// maxGroupBytes bounds an answer. It covers the JSON counts of the largest group.
	maxGroupBytes = 16 << 20
)

// GroupOrder is the JSON form of an order to an engine. One of the pointers is set; none
// stands for a ReadStatus.
type GroupOrder struct {
	Fence      burdockid.Fence          `json:"fence"`
	LoadMap    *burdockgroup.LoadMap    `json:"loadMap,omitempty"`
	HoldAt     *burdockgroup.HoldAt     `json:"holdAt,omitempty"`
	UseFrom    *burdockgroup.UseFrom    `json:"useFrom,omitempty"`
	Resume     *burdockgroup.Resume     `json:"resume,omitempty"`
	DropSwitch *burdockgroup.DropSwitch `json:"dropSwitch,omitempty"`
	BeginWith  *burdockgroup.BeginWith  `json:"beginWith,omitempty"`
}

// NewGroupOrder returns the JSON form of an order.
func NewGroupOrder(fence burdockid.Fence, order burdockgroup.EngineOrder) GroupOrder {
	g := GroupOrder{Fence: fence}
	switch o := order.(type) {
	case burdockgroup.LoadMap:
		g.LoadMap = &o
	case burdockgroup.HoldAt:
		g.HoldAt = &o
	case burdockgroup.UseFrom:
		g.UseFrom = &o
	case burdockgroup.Resume:
		g.Resume = &o
	case burdockgroup.DropSwitch:
		g.DropSwitch = &o
	case burdockgroup.BeginWith:
		g.BeginWith = &o
	}
	return g
}

// Order returns the order that g is the JSON form of.
func (g GroupOrder) Order() burdockgroup.EngineOrder {
	switch {
	case g.LoadMap != nil:
		return *g.LoadMap
	case g.HoldAt != nil:
		return *g.HoldAt
	case g.UseFrom != nil:
		return *g.UseFrom
	case g.Resume != nil:
		return *g.Resume
	case g.DropSwitch != nil:
		return *g.DropSwitch
	case g.BeginWith != nil:
		return *g.BeginWith
	}
	return burdockgroup.ReadStatus{}
}

type stepsQuery struct {
	From burdockid.Step `url:"from"`
}

// groupHTTP is the HTTP client of an engine in a lock-stepped group.
type groupHTTP struct {
	client *http.Client
	base   string
}

// NewGroupHTTP returns the GroupEngine at address, an IP and port. No call is sent a second
// time. The conditions on orders protect against an order that arrives after a later one,
// but a resend must not cause that itself.
func NewGroupHTTP(address string) GroupEngine {
	return &groupHTTP{
		base: "http://" + address,
		client: &http.Client{
			Timeout: groupTimeout,
			Transport: burdocktransport.New(&http.Transport{
				MaxResponseHeaderBytes: burdocktransport.MaxResponseHeader,
				DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
				IdleConnTimeout:        idleTimeout,
			}),
		},
	}
}

// Order implements GroupEngine.
func (g *groupHTTP) Order(ctx context.Context, fence burdockid.Fence, order burdockgroup.EngineOrder) (burdockgroup.EngineStatus, error) {
	var status burdockgroup.EngineStatus
	err := g.call(ctx, sling.New().Base(g.base).Post(GroupOrderPath).BodyJSON(NewGroupOrder(fence, order)), &status)
	return status, err
}

// Steps implements GroupEngine.
func (g *groupHTTP) Steps(ctx context.Context, from burdockid.Step) (GroupSteps, error) {
	var steps GroupSteps
	err := g.call(ctx, sling.New().Base(g.base).Get(GroupStepsPath).QueryStruct(stepsQuery{From: from}), &steps)
	return steps, err
}

// Counts implements GroupEngine.
func (g *groupHTTP) Counts(ctx context.Context) (GroupCounts, error) {
	var counts GroupCounts
	err := g.call(ctx, sling.New().Base(g.base).Get(GroupCountsPath), &counts)
	return counts, err
}

func (g *groupHTTP) call(ctx context.Context, b *sling.Sling, out any) error {
	req, err := b.Request()
	if err != nil {
		return ErrNotSent.Wrap(err, "build request")
	}
	res, err := g.client.Do(req.WithContext(ctx))
	if err != nil {
		return ErrBroken.Wrap(err, "%s %s", req.Method, req.URL.Path)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxGroupBytes))
	if err != nil {
		return ErrBroken.Wrap(err, "read answer to %s", req.URL.Path)
	}
	return decodeGroup(res.StatusCode, body, req.URL.Path, out)
}

func decodeGroup(status int, body []byte, path string, out any) error {
	switch status {
	case http.StatusOK:
		if err := json.Unmarshal(body, out); err != nil {
			return ErrBroken.Wrap(err, "decode answer to %s", path)
		}
		return nil
	case http.StatusConflict:
		return ErrOldFence.New("%s: %s", path, body)
	default:
		return ErrBroken.New("%s: status %d", path, status)
	}
}
