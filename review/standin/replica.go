package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Headers of the platform.
const (
	headerAttempt  = "Burdockbend-Attempt-Id"
	headerBudget   = "Burdockbend-Time-Budget-Ms"
	headerExpect   = "Burdockbend-Expect-Replica"
	headerNotRun   = "Burdockbend-Not-Executed"
	headerLoad     = "Burdockbend-Replica-Load"
	headerStamp    = "Burdockbend-Replica-Stamp"
	headerAtServer = "At-Server"
)

// registration is a replica's entry in the store.
type registration struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Version int    `json:"version"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	Cold    int64  `json:"cold_left_ms"`
	Seq     int64  `json:"seq"`
	Born    int64  `json:"born"`
}

// replica is one replica of a service. It serves one request at a time on a connection.
type replica struct {
	id      string
	service string
	zone    string
	slots   int
	// serve answers a request that is meant for this replica. It reports whether the
	// connection stays open.
	serve func(*exchange) bool
	// report returns what GET /report says; nil for a plain service.
	report func() any

	address  string
	listener net.Listener

	mu      sync.Mutex
	conns   map[net.Conn]struct{}
	stopped bool
	running int
	answers int // whole answers to requests so far, refusals too
}

// start makes the replica listen, at the address that it had before if there is one.
func (p *replica) start() error {
	if p.address == "" {
		p.address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.address, p.listener = l.Addr().String(), l
	p.conns, p.stopped, p.running = map[net.Conn]struct{}{}, false, 0
	go p.run(l)
	return nil
}

// stop ends the replica's process: nothing listens any more, and its connections break.
func (p *replica) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	_ = p.listener.Close()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *replica) registration(state string) registration {
	return registration{Service: p.service, Address: p.address, Zone: p.zone, Version: 1, Slots: p.slots, State: state, Seq: 1, Born: born}
}

// born is the start of all replicas that never restart.
var born = time.Now().UnixMilli()

func (p *replica) run(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.conns[c] = struct{}{}
		p.mu.Unlock()
		go p.converse(c)
	}
}

// converse serves the requests of one connection.
func (p *replica) converse(c net.Conn) {
	defer func() {
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
		_ = c.Close()
	}()
	r := bufio.NewReader(c)
	refused := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		x := &exchange{replica: p, conn: c, req: req, id: req.Header.Get(headerAttempt), at: time.Now(), refusedBefore: refused}
		if !p.dispatch(x) {
			return
		}
		refused = x.refusedNow
	}
}

func (p *replica) dispatch(x *exchange) bool {
	switch {
	case x.req.URL.Path == "/report" && p.report != nil:
		return x.json(p.report())
	case x.req.URL.Path == "/picked" && p.report != nil:
		return x.json(map[string]any{"step": 1, "epoch": 1, "counts": []int{}})
	case x.req.URL.Path == "/order" && p.report != nil:
		return x.send(http.StatusConflict, nil, "")
	case x.id == "":
		return x.refuse(http.StatusBadRequest, "")
	case x.req.Header.Get(headerExpect) != "" && x.req.Header.Get(headerExpect) != p.id:
		return x.refuse(http.StatusMisdirectedRequest, "")
	}
	return p.serve(x)
}

func (p *replica) load() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprintf("%d,0,%d", p.running, p.slots)
}

func (p *replica) runningCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running
}

// tryBegin takes a slot; it reports false if there is none.
func (p *replica) tryBegin() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running >= p.slots {
		return false
	}
	p.running++
	return true
}

func (p *replica) begin(delta int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running += delta
}

func (p *replica) countAnswer() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answers++
}

func (p *replica) answerCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answers
}

// exchange is one request that a replica has read.
type exchange struct {
	replica *replica
	conn    net.Conn
	req     *http.Request
	id      string
	at      time.Time
	// refusedBefore is the refusal that was the previous answer on this connection, as it
	// was sent; refusedNow is that of this exchange.
	refusedBefore, refusedNow string
}

// head returns the status line and the headers of an answer.
func (x *exchange) head(status int, header map[string]string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s: %s\r\n", status, http.StatusText(status), headerAttempt, x.id, headerLoad, x.replica.load())
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	return b.String()
}

// respond sends a whole answer to a request with a length.
func (x *exchange) respond(status int, header map[string]string, body string) bool {
	x.replica.countAnswer()
	return x.send(status, header, body)
}

func (x *exchange) send(status int, header map[string]string, body string) bool {
	_, err := io.WriteString(x.conn, x.head(status, header)+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
	return err == nil
}

// refuse answers that the request has not run and never will.
func (x *exchange) refuse(status int, at string) bool {
	header := map[string]string{headerNotRun: "1"}
	if at != "" {
		header[headerAtServer] = at
	}
	x.replica.countAnswer()
	x.refusedNow = x.head(status, header) + "Content-Length: 0\r\n\r\n"
	_, err := io.WriteString(x.conn, x.refusedNow)
	return err == nil
}

func (x *exchange) json(body any) bool {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // unreachable: plain values
	}
	return x.send(http.StatusOK, map[string]string{"Content-Type": "application/json"}, string(data))
}

// startStream sends the head of a stream of events.
func (x *exchange) startStream(stamp string) bool {
	_, err := io.WriteString(x.conn, x.head(http.StatusOK, map[string]string{
		headerStamp: stamp, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked",
	})+"\r\n")
	return err == nil
}

// event sends one event of a stream.
func (x *exchange) event(n int, text string) bool {
	event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, text)
	_, err := fmt.Fprintf(x.conn, "%x\r\n%s\r\n", len(event), event)
	return err == nil
}

// endStream sends the end of a stream.
func (x *exchange) endStream() bool {
	x.replica.countAnswer()
	_, err := io.WriteString(x.conn, "0\r\n\r\n")
	return err == nil
}

// comesAgain reports whether the previous answer on this connection was a refusal of the same
// request.
func (x *exchange) comesAgain() bool {
	return strings.Contains(x.refusedBefore, headerAttempt+": "+x.id+"\r\n")
}

// again sends an answer that belongs to an earlier request.
func (x *exchange) again(answer string) bool {
	_, err := io.WriteString(x.conn, answer)
	return err == nil
}
