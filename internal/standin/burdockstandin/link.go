package burdockstandin

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/joomcode/errorx"
)

// LinkMode is how a link treats connections.
type LinkMode string

// Modes of a link.
const (
	// LinkOpen forwards the bytes of new connections both ways.
	LinkOpen LinkMode = "open"
	// LinkSilent permanently drops all bytes of the connections that are open when it
	// is set, without closing them. New connections work. It simulates a middlebox
	// that has lost its state of the old connections.
	LinkSilent LinkMode = "silent"
	// LinkDark drops the bytes of new connections as well, also permanently.
	LinkDark LinkMode = "dark"
	// LinkCut closes the open connections.
	LinkCut LinkMode = "cut"
)

// Link is a TCP proxy that stands in for the network between two processes. It forwards
// connections to a target; PUT /link on its control address sets its mode.
type Link struct {
	target   string
	listener net.Listener
	control  *http.Server
	address  string
	done     sync.WaitGroup

	mu      sync.Mutex
	dropNew bool
	pipes   map[*pipe]struct{}
}

// pipe is one connection through the link, accepted from client and dialled to server.
type pipe struct {
	link   *Link
	client net.Conn
	server net.Conn

	mu       sync.Mutex
	dropping bool
}

// StartLink starts a link to target. It listens on one loopback port for connections and
// on another for control requests.
func StartLink(target string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errorx.Decorate(err, "link to %s", target)
	}
	control, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errorx.Decorate(err, "control of the link to %s", target)
	}
	l := &Link{target: target, listener: listener, address: control.Addr().String(), pipes: map[*pipe]struct{}{}}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /link", l.serveControl)
	l.control = &http.Server{Handler: mux}
	l.done.Add(2)
	go l.run()
	go linkControl{l, control}.run()
	return l, nil
}

// linkControl serves the control interface of a link.
type linkControl struct {
	link     *Link
	listener net.Listener
}

func (c linkControl) run() {
	defer c.link.done.Done()
	_ = c.link.control.Serve(c.listener)
}

// Address returns the address on which the link accepts connections.
func (l *Link) Address() string { return l.listener.Addr().String() }

// ControlAddress returns the address of the link's control interface.
func (l *Link) ControlAddress() string { return l.address }

// Close stops the link and closes all its connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	_ = l.control.Close()
	l.Set(LinkCut)
	l.done.Wait()
}

func (l *Link) serveControl(w http.ResponseWriter, r *http.Request) {
	var mode LinkMode
	if err := json.NewDecoder(r.Body).Decode(&mode); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.Set(mode)
}

// Set sets the link's mode.
func (l *Link) Set(mode LinkMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropNew = mode == LinkDark
	for p := range l.pipes {
		switch mode {
		case LinkSilent, LinkDark:
			p.startDropping()
		case LinkCut:
			p.close()
		}
	}
}

func (l *Link) run() {
	defer l.done.Done()
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		l.forward(&pipe{link: l, client: client, server: server})
	}
}

func (l *Link) forward(p *pipe) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.dropping = l.dropNew
	l.pipes[p] = struct{}{}
	l.done.Add(2)
	go flow{p, p.client, p.server}.run()
	go flow{p, p.server, p.client}.run()
}

func (p *pipe) startDropping() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropping = true
}

func (p *pipe) isDropping() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dropping
}

func (p *pipe) close() {
	_ = p.client.Close()
	_ = p.server.Close()
}

// flow forwards bytes in one direction.
type flow struct {
	pipe *pipe
	from net.Conn
	to   net.Conn
}

const flowBufferBytes = 32 << 10

func (f flow) run() {
	defer f.pipe.link.done.Done()
	buffer := make([]byte, flowBufferBytes)
	for {
		n, err := f.from.Read(buffer)
		if n > 0 && !f.pipe.isDropping() {
			if _, werr := f.to.Write(buffer[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			f.end(err)
			return
		}
	}
}

// end closes both sides of the connection, unless the source closed a connection whose
// bytes are dropped: the other side must not learn of that.
func (f flow) end(err error) {
	if err == io.EOF && f.pipe.isDropping() {
		return
	}
	f.pipe.close()
	f.pipe.link.mu.Lock()
	defer f.pipe.link.mu.Unlock()
	delete(f.pipe.link.pipes, f.pipe)
}
