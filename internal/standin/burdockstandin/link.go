package burdockstandin

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/joomcode/errorx"
)

// LinkMode says what a link does with connections.
type LinkMode string

// Modes of a link.
const (
	// LinkOpen passes bytes both ways.
	LinkOpen LinkMode = "open"
	// LinkSilent swallows all bytes of the connections that are open when it is
	// set, for good, and closes none of them. New connections work, as when
	// something between two ends has lost track of the old ones.
	LinkSilent LinkMode = "silent"
	// LinkDark swallows the bytes of new connections as well.
	LinkDark LinkMode = "dark"
	// LinkCut closes the open connections.
	LinkCut LinkMode = "cut"
)

// Link is a stand-in for the network between two processes: it passes TCP
// connections on to a target. PUT /link on its control address sets its mode.
type Link struct {
	target   string
	listener net.Listener
	control  *http.Server
	address  string
	done     sync.WaitGroup

	mu    sync.Mutex
	dark  bool
	pipes map[*pipe]struct{}
}

// pipe is one connection through the link.
type pipe struct {
	link   *Link
	client net.Conn
	server net.Conn

	mu     sync.Mutex
	silent bool
}

// StartLink starts a link that listens on one port for connections to target,
// and on another for its control.
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

// Address returns where the link takes connections.
func (l *Link) Address() string { return l.listener.Addr().String() }

// ControlAddress returns where the link is told its mode.
func (l *Link) ControlAddress() string { return l.address }

// Close ends the link and all its connections.
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

// Set changes what the link does.
func (l *Link) Set(mode LinkMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dark = mode == LinkDark
	for p := range l.pipes {
		switch mode {
		case LinkSilent, LinkDark:
			p.silence()
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
		l.open(&pipe{link: l, client: client, server: server})
	}
}

func (l *Link) open(p *pipe) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.silent = l.dark
	l.pipes[p] = struct{}{}
	l.done.Add(2)
	go flow{p, p.client, p.server}.run()
	go flow{p, p.server, p.client}.run()
}

func (p *pipe) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = true
}

func (p *pipe) muted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent
}

func (p *pipe) close() {
	_ = p.client.Close()
	_ = p.server.Close()
}

// flow passes bytes one way.
type flow struct {
	pipe *pipe
	from net.Conn
	to   net.Conn
}

const flowBuffer = 32 << 10

func (f flow) run() {
	defer f.pipe.link.done.Done()
	buffer := make([]byte, flowBuffer)
	for {
		n, err := f.from.Read(buffer)
		if n > 0 && !f.pipe.muted() {
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

// end closes the other side too, unless the link has lost track of it.
func (f flow) end(err error) {
	if err == io.EOF && f.pipe.muted() {
		return
	}
	f.pipe.close()
	f.pipe.link.mu.Lock()
	defer f.pipe.link.mu.Unlock()
	delete(f.pipe.link.pipes, f.pipe)
}
