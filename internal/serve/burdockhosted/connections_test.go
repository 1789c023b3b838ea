package burdockhosted

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

const testConnections = 3

// boundedServer is a server with a bounded number of connections whose handler waits for
// release.
type boundedServer struct {
	connections *connections
	address     string
	started     chan struct{}
	release     chan struct{}
}

func startBounded(t *testing.T) *boundedServer {
	t.Helper()
	b := &boundedServer{started: make(chan struct{}, 10), release: make(chan struct{})}
	b.connections = newConnections(func() int { return testConnections }, metrics.NewSet(), zap.NewNop())
	web := newServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		b.started <- struct{}{}
		<-b.release
		_, _ = io.WriteString(w, "served")
	}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b.address = l.Addr().String()
	go server{web, b.connections.bound(web, l), zap.NewNop()}.run()
	t.Cleanup(func() { _ = web.Close() })
	return b
}

func (b *boundedServer) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", b.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	return conn
}

func ask(conn net.Conn) { _, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n") }

func wantServed(t *testing.T, what string, conn net.Conn, want bool) {
	t.Helper()
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if got := err == nil && res.StatusCode == http.StatusOK; got != want {
		t.Errorf("%s served: got %v (%v), want %v", what, got, err, want)
	}
}

func (b *boundedServer) awaitOpen(n int) {
	for b.connections.size() != n {
		time.Sleep(time.Millisecond)
	}
}

// Guards against closing connections that are in use for new ones.
func TestConnectionsInUseStay(t *testing.T) {
	b := startBounded(t)
	var used []net.Conn
	for range testConnections {
		conn := b.dial(t)
		ask(conn)
		<-b.started
		used = append(used, conn)
	}
	time.Sleep(quietTime)
	beyond := b.dial(t)
	ask(beyond)
	wantServed(t, "connection beyond the limit", beyond, false)
	close(b.release)
	for _, conn := range used {
		wantServed(t, "connection in use", conn, true)
	}
	if got, want := b.connections.refused.Get(), uint64(1); got != want {
		t.Errorf("refused: got %d, want %d", got, want)
	}
}

// Guards against new callers that are turned away for connections on which nothing is sent.
func TestQuietConnectionsGiveWay(t *testing.T) {
	b := startBounded(t)
	close(b.release)
	answered := b.dial(t)
	ask(answered)
	wantServed(t, "first connection", answered, true)
	for range testConnections - 1 {
		b.dial(t)
	}
	b.awaitOpen(testConnections)
	time.Sleep(quietTime + 10*time.Millisecond)
	for range testConnections {
		conn := b.dial(t)
		ask(conn)
		wantServed(t, "new connection", conn, true)
	}
	if got, want := b.connections.evicted.Get(), uint64(testConnections); got != want {
		t.Errorf("evicted: got %d, want %d", got, want)
	}
	if got, want := b.connections.size(), testConnections; got != want {
		t.Errorf("open: got %d, want %d", got, want)
	}
}

func TestConnectionsForDescriptors(t *testing.T) {
	for descriptors, want := range map[uint64]int{0: minConnections, 100: 18, 200: 68, 4100: 2018, 1 << 40: (1<<20 - reservedDescriptors) / 2} {
		if got := connectionsFor(descriptors); got != want {
			t.Errorf("%d descriptors: got %d connections, want %d", descriptors, got, want)
		}
	}
}
