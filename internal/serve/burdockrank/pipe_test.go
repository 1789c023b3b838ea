package burdockrank

import (
	"context"
	"net"
	"net/http"
	"testing"

	"burdockbend.example/burdockbend/internal/wire/burdocktransport"
)

// pipeNetwork connects clients and servers by pipes, so that those in a synctest bubble
// run in simulated time, which stands still while any of them works.
type pipeNetwork map[string]*pipeListener // by address

// serve starts a server, until the end of the test. All servers are to be added before the
// first call.
func (n pipeNetwork) serve(t *testing.T, address string, h http.Handler) {
	t.Helper()
	l, server := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}, &http.Server{Handler: h}
	n[address] = l
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
}

// peers returns a client of the servers, until the end of the test.
func (n pipeNetwork) peers(t *testing.T) *burdocktransport.Peers {
	t.Helper()
	peers := burdocktransport.NewPeers(nil)
	peers.Client.Transport = burdocktransport.New(&http.Transport{DialContext: n.dial})
	t.Cleanup(peers.DropIdle)
	return peers
}

func (n pipeNetwork) dial(ctx context.Context, _, address string) (net.Conn, error) {
	l := n[address]
	if l == nil {
		return nil, net.ErrClosed
	}
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// pipeListener accepts the connections that pipeNetwork.dial creates.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. It is called once.
func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }
