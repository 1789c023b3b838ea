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

// probe asks one upstream that gets no work how it is.
//
// Most requests may not run twice, so none of them is risked on an upstream
// that may be broken: the probe runs nothing. One that passes comes back at a
// quarter of its work, and real work judges it from there.
type probe struct {
	entry  *Entry
	pool   *pool
	target burdockmember.Upstream
}

func (p *probe) run() {
	defer p.entry.done.Done()
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	res, err := p.entry.agent(p.target.Agent).Describe(ctx, connect.NewRequest(&burdockwire.DescribeRequest{}))
	now := p.entry.deps.Clock.Boot()
	if err != nil || res.Msg.GetUpstream() != string(p.target.Name) || !res.Msg.GetUpstreamReachable() {
		p.pool.observe(now, p.target.Name, burdockeject.ConnectFailed{})
		p.pool.probeFailed(now, p.target.Name)
		return
	}
	p.pool.report(now, p.target.Name, res.Msg.GetLoad())
	if !res.Msg.GetLoad().GetLeaving() {
		p.pool.observe(now, p.target.Name, burdockeject.ProbeSucceeded{})
	}
}

// agent returns a client of the agent at address.
func (e *Entry) agent(address string) burdockwire.AgentServiceClient {
	return burdockwire.NewAgentServiceClient(e.deps.Peers.Client, e.deps.Peers.URL(address), burdocktransport.ClientOptions()...)
}
