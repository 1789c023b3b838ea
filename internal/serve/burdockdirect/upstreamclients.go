package burdockdirect

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/wire/burdocktransport"
)

const (
	// upstreamDialTimeout bounds the opening of a connection, at some two hundred times
	// the latency between data centres. An upstream that takes longer is unreachable, and
	// since nothing was sent, another one can still answer in time.
	upstreamDialTimeout = 400 * time.Millisecond
	// upstreamIdleTimeout is how long an unused connection is kept. Upstreams close theirs
	// after seconds, and if that happens while a request is on its way, the request's
	// outcome is unknown.
	upstreamIdleTimeout = 3 * time.Second
	// maxIdlePerUpstream is the number of idle connections kept for one upstream: as many
	// as one entry uses there at a time during a burst.
	maxIdlePerUpstream = 16
)

// upstreamClients are the HTTP clients by which offers reach upstreams.
type upstreamClients struct {
	// kept keeps connections and uses them again, fresh opens one for each offer.
	kept, fresh *http.Client
}

func newUpstreamClients() upstreamClients {
	return upstreamClients{kept: newUpstreamClient(false), fresh: newUpstreamClient(true)}
}

func newUpstreamClient(fresh bool) *http.Client {
	return &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: burdocktransport.New(&http.Transport{
			DialContext:         dialUpstream,
			MaxIdleConnsPerHost: maxIdlePerUpstream,
			IdleConnTimeout:     upstreamIdleTimeout,
			DisableKeepAlives:   fresh,
			DisableCompression:  true,

			MaxResponseHeaderBytes: burdocktransport.MaxResponseHeader,
		}),
	}
}

// forOffer returns the client for an offer of a request, of which earlier ones were made. Unnamed
// means that refusals of the service have lately named no request.
//
// A response names its request and not its offer. On a connection that has carried an offer of the
// request, a late second copy of its refusal would be taken for the response to the next one,
// which runs; the request would then run twice. A request without an ID can't be told from any
// other one, nor can a refusal without one be told from a copy of another request's refusal.
func (c upstreamClients) forOffer(req *request, earlier int, unnamed bool) *http.Client {
	if req.ID == "" || !req.route.Repeatable() && (earlier > 0 || unnamed) {
		return c.fresh
	}
	return c.kept
}

// unnamedRefusalTTL is how long after a refusal that named no request others are expected.
const unnamedRefusalTTL = burdockclock.Minute

// unnamedRefusals remembers that upstreams of a service leave the request's ID out of refusals.
type unnamedRefusals struct{ until atomic.Int64 }

func (u *unnamedRefusals) observe(now burdockclock.Millis) {
	u.until.Store(int64(now + unnamedRefusalTTL))
}

func (u *unnamedRefusals) expected(now burdockclock.Millis) bool {
	return now < burdockclock.Millis(u.until.Load())
}

// dialUpstream connects to an upstream so that closing the connection discards what has
// not arrived.
//
// If a caller leaves while its request waits in the buffers of a frozen VM, the upstream
// would otherwise get the request when the VM wakes, seconds after anybody wanted the
// answer. Answers are read to their end before a connection is closed in order, so nothing
// that is wanted is lost.
func dialUpstream(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: upstreamDialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		// Without it, the connection is merely closed later.
		_ = tcp.SetLinger(0)
	}
	return conn, nil
}
