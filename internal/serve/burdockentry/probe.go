package burdockentry

import (
	"context"
	"time"

	"burdockbend.example/burdockbend/internal/config/burdockmember"
	"burdockbend.example/burdockbend/internal/decide/burdockeject"
	"burdockbend.example/burdockbend/internal/wire/burdocktransport"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"connectrpc.com/connect"
)

const probeTimeout = 2 * time.Second

// probe asks the agent of an upstream that gets no requests whether it can take them
// again.
//
// Most requests must not run twice, so none is risked on an upstream that may be
// broken: a probe runs no request. An upstream that passes starts again with a quarter
// of its weight and is then judged by its requests.
type probe struct {
	entry  *Entry
	pool   *pool
	target burdockmember.Upstream
}

func (p *probe) run() {
	defer p.entry.wg.Done()
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	res, err := p.entry.agentClient(p.target.Agent).Describe(ctx, connect.NewRequest(&burdockwire.DescribeRequest{}))
	now := p.entry.deps.Clock.Boot()
	if err != nil || res.Msg.GetUpstream() != string(p.target.Name) || !res.Msg.GetUpstreamReachable() {
		p.pool.observeHealth(now, p.target.Name, burdockeject.ConnectFailed{})
		p.pool.probeFailed(now, p.target.Name)
		return
	}
	p.pool.reportLoad(now, p.target.Name, res.Msg.GetLoad())
	if !res.Msg.GetLoad().GetLeaving() {
		p.pool.observeHealth(now, p.target.Name, burdockeject.ProbeSucceeded{})
	}
}

// agentClient returns a client for the agent at address.
func (e *Entry) agentClient(address string) burdockwire.AgentServiceClient {
	return burdockwire.NewAgentServiceClient(e.deps.Peers.Client, e.deps.Peers.URL(address), burdocktransport.ClientOptions()...)
}
