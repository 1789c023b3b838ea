package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	secondRanks   = 16
	secondEntries = 5
	secondSlots   = 12
	secondLength  = 110 * time.Second
	// secondEvery is the time between two requests of all clients together.
	secondEvery = 12 * time.Millisecond
	// One rank is down for downFor, then the group forms. It is open for openFor.
	downFor  = 3 * time.Second
	formFor  = 600 * time.Millisecond
	openFor  = 1500 * time.Millisecond
	stallFor = 1500 * time.Millisecond
	// For garbleFor, from garbleAfter the loss of a rank on, garbleShare of the ranks send
	// garbleRate of their answers a second time, late.
	garbleAfter   = stallFor
	garbleFor     = 2500 * time.Millisecond
	garbleShare   = 0.6
	garbleRate    = 0.03
	streamEvents  = 10
	streamGap     = 30 * time.Millisecond
	streamPrefill = 40 * time.Millisecond
)

// group is a lock-step group of model replicas.
type group struct {
	site  *site
	ranks []*rank

	mu sync.Mutex
	// closed is closed when the group next loses a rank, opened when it next opens. atFault is
	// the rank that is down; "" while the group is open.
	closed   chan struct{}
	closedAt time.Time
	atFault  string
	runs     map[string]int // by request
	second   int            // second answers that were sent
	refusals int
}

// rank is one replica of the group.
type rank struct {
	group   *group
	name    string
	address string
	garbles bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

func (r *rank) start() error {
	address := r.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listener, r.address, r.conns = listener, listener.Addr().String(), map[net.Conn]bool{}
	go r.accept(listener)
	r.group.site.store.Put("servers/"+r.name, member{
		Service: "model", Address: r.address, Zone: zoneName, Version: "v1", Slots: secondSlots, State: "ready", Born: time.Now().UnixMilli(),
	})
	return nil
}

// stop ends the replica's process.
func (r *rank) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.listener.Close()
	for conn := range r.conns {
		_ = conn.Close()
	}
}

func (r *rank) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[conn] = true
		r.mu.Unlock()
		go r.serve(conn)
	}
}

// serve answers the requests of a connection, one after the other.
func (r *rank) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var late []byte // a second answer that is sent where the next one is expected
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get("Burdockbend-Attempt-Id")
		if late != nil {
			r.group.site.rec.add("rank %s sends a second answer, when %s has come", r.name, id)
			if _, err := conn.Write(late); err != nil {
				return
			}
			late = nil
			r.group.countSecond()
		}
		refusal := r.answer(conn, req, id)
		if refusal == nil {
			return
		}
		if len(refusal) > 0 && r.garbles && r.group.garbling() && rand.Float64() < garbleRate {
			late = refusal
		}
	}
}

// answer answers one request. It returns the refusal that it sent, an empty one after an
// answer, and nil if the connection is over.
func (r *rank) answer(conn net.Conn, req *http.Request, id string) []byte {
	if req.Header.Get("Burdockbend-Expect-Replica") != r.name {
		return r.refuse(conn, id, http.StatusMisdirectedRequest, r.name)
	}
	closed, atFault := r.group.await()
	if atFault != "" {
		return r.refuse(conn, id, http.StatusServiceUnavailable, atFault)
	}
	time.Sleep(streamPrefill)
	r.group.countRun(id, r.name)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nBurdockbend-Attempt-Id: %s\r\nBurdockbend-Replica-Stamp: stamp-of-%s\r\nBurdockbend-Replica-Load: 1,0,%d\r\n\r\n",
		id, id, secondSlots)
	if _, err := conn.Write([]byte(head)); err != nil {
		return nil
	}
	for n := 1; n <= streamEvents; n++ {
		event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return nil
		}
		select {
		case <-time.After(streamGap):
		case <-closed: // the whole group stalls, then its work is cut off
			time.Sleep(stallFor)
			return nil
		}
	}
	if _, err := conn.Write([]byte("0\r\n\r\n")); err != nil {
		return nil
	}
	return []byte{}
}

func (r *rank) refuse(conn net.Conn, id string, status int, atFault string) []byte {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: 0\r\nBurdockbend-Attempt-Id: %s\r\nBurdockbend-Not-Executed: 1\r\nBurdockbend-Replica-Id: %s\r\nBurdockbend-Replica-Load: 0,0,%d\r\nAt-Server: %s\r\n\r\n",
		status, http.StatusText(status), id, r.name, secondSlots, atFault)
	if _, err := conn.Write([]byte(text)); err != nil {
		return nil
	}
	r.group.site.rec.add("rank %s refuses %s: %d", r.name, id, status)
	r.group.countRefusal()
	return []byte(text)
}

// await waits while the group stalls. It returns a channel that is closed when the group next
// loses a rank, and the rank that is down, "" if the group is open.
func (g *group) await() (<-chan struct{}, string) {
	g.mu.Lock()
	closed, atFault, stall := g.closed, g.atFault, stallFor-time.Since(g.closedAt)
	g.mu.Unlock()
	if atFault != "" && stall > 0 {
		time.Sleep(stall)
	}
	return closed, atFault
}

// garbling reports whether ranks send second answers now.
func (g *group) garbling() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	since := time.Since(g.closedAt)
	return since >= garbleAfter && since < garbleAfter+garbleFor
}

func (g *group) countRun(id, name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.runs[id]++
	g.site.rec.add("rank %s runs %s, for the time number %d", name, id, g.runs[id])
}

func (g *group) countSecond() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.second++
}

func (g *group) countRefusal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refusals++
}

// crashes ends one rank after the other, each of which starts again under its ID.
func (g *group) crashes(ctx context.Context) {
	for every(ctx, openFor) {
		r := g.ranks[rand.IntN(len(g.ranks))]
		g.mu.Lock()
		close(g.closed)
		g.closed, g.closedAt, g.atFault = make(chan struct{}), time.Now(), r.name
		g.mu.Unlock()
		r.stop()
		g.site.rec.add("rank %s is down", r.name)
		time.Sleep(downFor)
		for r.start() != nil {
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(formFor)
		g.mu.Lock()
		g.atFault = ""
		g.mu.Unlock()
		g.site.rec.add("the group is open")
	}
}

// playSecond plays a lock-step group that loses a rank now and then, while some ranks send some
// of their answers a second time.
func playSecond(rec *recorder, trouble bool) (bool, error) {
	s, err := newSite(rec, []route{{
		Name: "draft", Hostname: hostName, Prefix: "/draft/", Type: "streaming", Timeout: 8000, Target: 500, Priority: 1,
		Service: "model", Attempts: 2, Sticky: true, Gap: 120,
	}}, []service{{
		Name: "model", HealthPath: "/health", MaxConns: 258, Protocol: "h1",
		Engine: &engine{
			Slots: secondSlots, KVCapacity: 280000, Stride: 4, Step: 4.55, PerSeq: 0.905, PerContext: 0.0183, ReadPerS: 61400, Chunk: 512, Usual: usual{Prompt: 835, Answer: 40},
			Sets: 4, Experts: 64, Places: 5, Spare: 2, ExpertMB: 2500, LinkMbps: 180000, ExpertShare: 0.85,
		},
	}})
	if err != nil {
		return false, err
	}
	defer s.close()
	g := &group{site: s, closed: make(chan struct{}), runs: map[string]int{}}
	for i := range secondRanks {
		r := &rank{group: g, name: fmt.Sprintf("rank-%d", i), garbles: trouble && float64(i+1) <= garbleShare*secondRanks}
		if err := r.start(); err != nil {
			return false, err
		}
		g.ranks = append(g.ranks, r)
	}
	for range secondEntries {
		if _, err := s.addEntry(); err != nil {
			return false, err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), secondLength)
	defer cancel()
	if trouble {
		go g.crashes(ctx)
	}
	var sent sync.WaitGroup
	n := 0
	for ; every(ctx, secondEvery); n++ {
		sent.Go(func() {
			own := rand.Uint32()
			askOnce(s, request{
				id: fmt.Sprintf("%016x", rand.Uint64()), method: http.MethodPost, path: fmt.Sprintf("/draft/%x", own), body: fmt.Appendf(nil, "prompt %x", own),
				budget: streamBudget, prompt: fmt.Sprintf("c0:40,%x:250", own),
			})
		})
	}
	sent.Wait()
	return g.judge(rec, n), nil
}

// judge counts the requests that ran more than once.
func (g *group) judge(rec *recorder, sent int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	twice := 0
	for id, n := range g.runs {
		if n > 1 {
			twice++
			rec.say("%s ran %d times", id, n)
		}
	}
	rec.say("%d requests sent, %d ran; %d refusals, %d of them sent a second time; ran more than once: %d", sent, len(g.runs), g.refusals, g.second, twice)
	return twice > 0
}
