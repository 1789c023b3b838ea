package burdocktransport

import (
	"context"
	"net"
	"sync"
)

// checkedConn is a connection from which a malformed head can't be read.
//
// net/http puts the connection of an answer without a body back for further requests before it
// returns the answer. Closed only then, the connection may have been taken by another request.
type checkedConn struct {
	net.Conn

	mu   sync.Mutex
	head headScanner
}

// expectAnswer has the head of the next answer checked.
func (c *checkedConn) expectAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.start()
}

// Read implements net.Conn.
func (c *checkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if malformed := c.scan(p[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
}

func (c *checkedConn) scan(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.scan(p)
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// checked returns a dialFunc whose connections are checked; nil stands for the default one.
func checked(dial dialFunc) dialFunc {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: conn}, nil
	}
}
