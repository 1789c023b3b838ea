package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"burdockbend.example/burdockbend/platform/burdockfakeplatform"
)

// Names and bounds that all cases use. The bounds are those of the users' sheets for the
// smallest deployments.
const (
	hostName     = "desk.example"
	apiKey       = "key-of-acme"
	tenantName   = "acme"
	zoneName     = "hall-a"
	settingsName = "BURDOCKBEND_BOOT"
	deployFile   = "deploy/system.toml"
	stableWindow = 3 * time.Second
	graceTime    = 8 * time.Second
	drainTime    = 2 * time.Second
	memoryMB     = 284
	// idleTimeout is what the configuration states for connections of clients. Clients use
	// a connection again that has been idle for up to four fifths of it.
	idleTimeout = 15 * time.Second
	// readyInterval and readyMisses are how the platform asks whether an entry is ready.
	readyInterval = time.Second
	readyMisses   = 2
	startTimeout  = 20 * time.Second
	startTries    = 3
	// recordLapse is how long after its end a replica's record is removed: three heartbeats.
	recordLapse = 3600 * time.Millisecond
)

var (
	// errSetup means that a case could not run.
	errSetup = errors.New("the case could not run")
	// errEnded means that a process ended at its start.
	errEnded = errors.New("the process ended at its start")
)

// recorder writes what happened to a file, with the time since the start.
type recorder struct {
	mu    sync.Mutex
	w     *bufio.Writer
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{w: bufio.NewWriter(file), file: file, start: time.Now()}, nil
}

// add writes a line.
func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%9.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line and prints it.
func (r *recorder) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf("%9.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}

// configuration is the operators' configuration as the platform's store holds it.
type configuration struct {
	Version  int       `json:"version"`
	Routes   []route   `json:"routes"`
	Services []service `json:"services"`
	Limits   limits    `json:"limits"`
	Tenants  []tenant  `json:"tenants"`
}

type route struct {
	Name     string `json:"name"`
	Hostname string `json:"hostname"`
	Prefix   string `json:"prefix"`
	Type     string `json:"route_type"`
	Timeout  int    `json:"timeout_ms"`
	Target   int    `json:"target_latency_ms"`
	Priority int    `json:"priority"`
	Service  string `json:"service"`
	Attempts int    `json:"attempts"`
	// Sticky, Resumable and Gap are for streams.
	Sticky    bool `json:"sticky"`
	Resumable bool `json:"resumable"`
	Gap       int  `json:"gap_aim_ms,omitempty"`
}

type service struct {
	Name       string `json:"name"`
	HealthPath string `json:"health_path"`
	MaxConns   int    `json:"max_conns"`
	Protocol   string `json:"protocol"`
	// Engine is nil for a plain service.
	Engine *engine `json:"engine,omitempty"`
}

// engine holds the figures of a service's model replicas.
type engine struct {
	Slots      int     `json:"slots"`
	KVCapacity int     `json:"kv_capacity"`
	Stride     int     `json:"stride"`
	Step       float64 `json:"step_ms"`
	PerSeq     float64 `json:"per_seq_ms"`
	PerContext float64 `json:"context_per_k"`
	ReadPerS   float64 `json:"read_per_s"`
	Chunk      int     `json:"chunk"`
	Usual      usual   `json:"usual"`
}

type usual struct {
	Prompt int `json:"prompt"`
	Answer int `json:"answer"`
}

type limits struct {
	HeaderBytes   int `json:"header_bytes"`
	BodyBytes     int `json:"max_body_bytes"`
	HeaderTimeout int `json:"header_timeout_ms"`
	IdleTimeout   int `json:"idle_timeout_ms"`
}

type tenant struct {
	Name string   `json:"name"`
	Keys []string `json:"api_keys"`
}

// member is a replica's record in the platform's store.
type member struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Version string `json:"version"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	Cold    int    `json:"cold_left_ms"`
	Born    int64  `json:"born"`
}

// site is a small deployment: the platform's store in this process, and entries that are
// processes of their own.
type site struct {
	rec     *recorder
	store   *burdockfakeplatform.Store
	storeAt string
	network string // first three bytes of the entries' addresses
	dir     string
	command []string
	entries []*entryProcess
}

// newSite starts the platform's store with a configuration.
func newSite(rec *recorder, routes []route, services []service) (*site, error) {
	command, err := entryCommand()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "burdock-review-")
	if err != nil {
		return nil, err
	}
	s := &site{
		rec: rec, store: burdockfakeplatform.NewStore(), dir: dir, command: command,
		network: fmt.Sprintf("127.%d.%d.", 80+rand.IntN(100), 1+rand.IntN(250)),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.storeAt = listener.Addr().String()
	go func() { _ = http.Serve(listener, s.store) }()
	s.store.Put("op/config", configuration{
		Version: 7, Routes: routes, Services: services,
		Limits:  limits{HeaderBytes: 16384, BodyBytes: 4194304, HeaderTimeout: 3000, IdleTimeout: int(idleTimeout.Milliseconds())},
		Tenants: []tenant{{Name: tenantName, Keys: []string{apiKey}}},
	})
	return s, nil
}

// entryCommand returns the command of the deploy file that starts an entry.
func entryCommand() ([]string, error) {
	data, err := os.ReadFile(deployFile)
	if err != nil {
		return nil, err
	}
	role := ""
	for line := range strings.SplitSeq(string(data), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[roles.") {
			role = strings.TrimSuffix(strings.TrimPrefix(line, "[roles."), "]")
		}
		if value, ok := strings.CutPrefix(line, "run = "); ok && role == "entry" {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, fmt.Errorf("%s has no command for the role entry", deployFile)
}

// close ends all processes and removes the temporary folder.
func (s *site) close() {
	for _, e := range s.entries {
		e.kill()
	}
	_ = os.RemoveAll(s.dir)
}

// entryProcess is an entry that runs as a process of its own.
type entryProcess struct {
	site     *site
	name     string
	callers  string
	ready    string
	settings string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	in    bool // gets new connections
}

// addEntry starts an entry and waits until it is ready. If its process ends at once, as one of
// its ports was taken meanwhile, it gets others.
func (s *site) addEntry() (*entryProcess, error) {
	n := len(s.entries) + 1
	e := &entryProcess{site: s, name: fmt.Sprintf("entry-%d", n)}
	s.entries = append(s.entries, e)
	err := errEnded
	for try := 0; try < startTries && errors.Is(err, errEnded); try++ {
		if err = e.configure(s.network + fmt.Sprint(n)); err != nil {
			return nil, err
		}
		err = e.start()
	}
	return e, err
}

// configure draws the entry's ports and writes its settings.
func (e *entryProcess) configure(ip string) error {
	// Both ports are held until both are known, so that they differ.
	for _, address := range []*string{&e.callers, &e.ready} {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return err
		}
		defer func() { _ = listener.Close() }()
		*address = listener.Addr().String()
	}
	e.settings = filepath.Join(e.site.dir, e.name+".toml")
	// What the platform makes of deploy/settings.toml.
	text := fmt.Sprintf("vm = %q\ndataCentre = %q\nip = %q\ncallerListen = %q\nreadyListen = %q\npeerPort = 7340\nstoreAddress = %q\nstoreHistoryMillis = 20000\ngraceMillis = %d\nmemoryMB = %d\nlinkMbps = 1000.0\n",
		e.name, zoneName, ip, e.callers, e.ready, e.site.storeAt, graceTime.Milliseconds(), memoryMB)
	return os.WriteFile(e.settings, []byte(text), 0o600)
}

// start starts the process, also in place of one that has ended, and waits until it is ready.
func (e *entryProcess) start() error {
	log, err := os.OpenFile(filepath.Join(e.site.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(e.site.command[0], e.site.command[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", settingsName + "=" + e.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	e.mu.Lock()
	e.cmd, e.ended = cmd, ended
	e.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
		e.site.rec.add("%s ended: %v", e.name, cmd.ProcessState)
	}()
	for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		select {
		case <-ended:
			text, _ := os.ReadFile(log.Name())
			e.site.rec.add("%s ended at its start: %s", e.name, text)
			return errEnded
		default:
		}
		if e.askReady() {
			e.setIn(true)
			e.site.rec.add("%s is ready, pid %d", e.name, cmd.Process.Pid)
			return nil
		}
	}
	text, _ := os.ReadFile(log.Name())
	return fmt.Errorf("%s is not ready: %s", e.name, text)
}

// terminate asks the process to stop, and kills it at the end of the grace time as the
// platform does.
func (e *entryProcess) terminate() {
	e.mu.Lock()
	cmd, ended := e.cmd, e.ended
	e.mu.Unlock()
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(graceTime):
		e.site.rec.add("%s is killed at the end of its grace time", e.name)
		_ = cmd.Process.Kill()
		<-ended
	}
}

func (e *entryProcess) kill() {
	e.mu.Lock()
	cmd, ended := e.cmd, e.ended
	e.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-ended
}

func (e *entryProcess) isIn() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.in
}

func (e *entryProcess) setIn(in bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.in = in
}

func (e *entryProcess) askReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + e.ready + "/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// watchReady asks an entry whether it is ready, as the platform does.
func (e *entryProcess) watchReady(ctx context.Context) {
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for misses := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if e.askReady() {
			misses = 0
			e.setIn(true)
			continue
		}
		if misses++; misses == readyMisses {
			e.setIn(false)
			e.site.rec.add("%s gets no new connections", e.name)
		}
	}
}

// pickEntry returns an entry that gets new connections.
func (s *site) pickEntry() *entryProcess {
	var in []*entryProcess
	for _, e := range s.entries {
		if e.isIn() {
			in = append(in, e)
		}
	}
	if len(in) == 0 {
		in = s.entries
	}
	return in[rand.IntN(len(in))]
}

// kept is a client's connection to an entry.
type kept struct {
	net.Conn
	reader *bufio.Reader
	entry  *entryProcess
}

func dial(e *entryProcess) (*kept, error) {
	conn, err := net.DialTimeout("tcp", e.callers, time.Second)
	if err != nil {
		return nil, err
	}
	return &kept{Conn: conn, reader: bufio.NewReader(conn), entry: e}, nil
}

// request is what a client sends.
type request struct {
	id, method, path string
	body             []byte
	budget           time.Duration
	prompt           string // the parts of the prompt; "" for none
}

// head returns the head of the request as it is sent.
func (q request) head() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nBurdockbend-Attempt-Id: %s\r\nBurdockbend-Time-Budget-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		q.method, q.path, hostName, q.id, q.budget.Milliseconds(), apiKey)
	if q.prompt != "" {
		fmt.Fprintf(&b, "Burdockbend-Model: m\r\nBurdockbend-Token-Count: 700,32\r\nBurdockbend-Prompt-Prefix: %s\r\n", q.prompt)
	}
	if q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n")
	return b.String()
}

// answer is what a client got.
type answer struct {
	status int
	stamp  string
	body   string
	closes bool // the connection can't be used again
	err    error
}

// ask sends a request and reads its answer.
func (k *kept) ask(q request) answer {
	if _, err := k.Write(append([]byte(q.head()), q.body...)); err != nil {
		return answer{err: fmt.Errorf("write: %w", err), closes: true}
	}
	return k.readAnswer(q)
}

// readAnswer reads the answer to a request that has been sent.
func (k *kept) readAnswer(q request) answer {
	_ = k.SetReadDeadline(time.Now().Add(q.budget))
	res, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		return answer{err: err, closes: true}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return answer{
		status: res.StatusCode, stamp: res.Header.Get("Burdockbend-Replica-Stamp"), body: string(body),
		closes: err != nil || res.Close, err: err,
	}
}

// run is one run of a request at a replica.
type run struct {
	id, path, replica string
	began, ended      time.Time
	complete          bool // the replica has written its whole answer
}

// replica is a plain replica. It runs some requests at a time and queues the others.
type replica struct {
	site    *site
	id      string
	service string
	slots   int
	// work returns how long a request takes.
	work func(r *http.Request) time.Duration
	// prefill is how long the replica reads a prompt before it begins to answer. An answer is
	// a stream of events, one each eventGap, if events isn't 0.
	prefill  time.Duration
	events   int
	eventGap time.Duration
	// fatal reports whether a request crashes the replica as it begins to run it, after its
	// prompt was read; nil if none does.
	fatal func(r *http.Request) bool
	// downtime is how long after a crash the replica starts again. keepID makes it start under
	// the ID that it had.
	downtime time.Duration
	keepID   bool

	mu      sync.Mutex
	address string
	name    string // ID of the present process
	starts  int
	server  *http.Server
	slot    chan struct{}
	running int
	waiting int
	runs    []*run
	crashes []time.Time
}

// start starts the replica and writes its record.
func (p *replica) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	address := p.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	p.address = listener.Addr().String()
	p.starts++
	p.name = p.id
	if !p.keepID {
		p.name = fmt.Sprintf("%s-%d", p.id, p.starts)
	}
	p.slot = make(chan struct{}, p.slots)
	p.running, p.waiting = 0, 0
	p.server = &http.Server{Handler: process{p, p.name, p.slot}}
	go func(server *http.Server) { _ = server.Serve(listener) }(p.server)
	p.site.store.Put("servers/"+p.name, member{
		Service: p.service, Address: p.address, Zone: zoneName, Version: "v1", Slots: p.slots, State: "ready", Born: time.Now().UnixMilli(),
	})
	p.site.rec.add("replica %s started at %s", p.name, p.address)
	return nil
}

// crash ends the replica's process: its connections break, and new ones are refused until it
// has started again.
func (p *replica) crash(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.server == nil || p.name != name {
		return
	}
	p.crashes = append(p.crashes, time.Now())
	p.site.rec.add("replica %s crashed, the crash number %d", p.name, len(p.crashes))
	_ = p.server.Close()
	p.server = nil
	if old := p.name; !p.keepID {
		time.AfterFunc(recordLapse, func() { p.site.store.Delete("servers/" + old) })
	}
	time.AfterFunc(p.downtime, func() {
		for p.start() != nil {
			time.Sleep(100 * time.Millisecond)
		}
	})
}

func (p *replica) allRuns() []run {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]run, len(p.runs))
	for i, r := range p.runs {
		all[i] = *r
	}
	return all
}

func (p *replica) crashTimes() []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]time.Time(nil), p.crashes...)
}

// process is one process of a replica.
type process struct {
	replica *replica
	name    string
	slot    chan struct{}
}

// ServeHTTP implements http.Handler.
func (x process) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p := x.replica
	h := w.Header()
	id := r.Header.Get("Burdockbend-Attempt-Id")
	h.Set("Burdockbend-Attempt-Id", id)
	h.Set("Burdockbend-Replica-Id", x.name)
	if expected := r.Header.Get("Burdockbend-Expect-Replica"); expected != "" && expected != x.name {
		h.Set("Burdockbend-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	x.count(0, 1)
	select {
	case x.slot <- struct{}{}:
		x.count(1, -1)
	case <-r.Context().Done():
		x.count(0, -1)
		return
	}
	defer func() { <-x.slot; x.count(-1, 0) }()
	this := &run{id: id, path: r.URL.Path, replica: x.name, began: time.Now()}
	p.mu.Lock()
	p.runs = append(p.runs, this)
	p.mu.Unlock()
	p.site.rec.add("replica %s runs %s %s, tenant %s", x.name, id, r.URL.Path, r.Header.Get("Burdockbend-Tenant"))
	if !x.pause(r, this, p.prefill) {
		return
	}
	if p.fatal != nil && p.fatal(r) {
		p.crash(x.name)
		panic(http.ErrAbortHandler)
	}
	if p.events > 0 {
		x.stream(w, r, this)
		return
	}
	if !x.pause(r, this, p.work(r)) {
		return
	}
	h.Set("Burdockbend-Replica-Stamp", "stamp-of-"+id)
	h.Set("Burdockbend-Replica-Load", x.load())
	_, err := fmt.Fprintf(w, "answer to %s", id)
	x.end(this, err == nil)
}

// pause waits, and reports false if the connection closes meanwhile.
func (x process) pause(r *http.Request, this *run, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		x.end(this, false)
		x.replica.site.rec.add("replica %s: the connection of %s closed while it ran", x.name, this.id)
		return false
	}
}

// stream answers with events. The first one that is sent follows the one that the request
// names.
func (x process) stream(w http.ResponseWriter, r *http.Request, this *run) {
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Burdockbend-Replica-Stamp", "stamp-of-"+this.id)
	h.Set("Burdockbend-Replica-Load", x.load())
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	control := http.NewResponseController(w)
	for n := last + 1; n <= x.replica.events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n); err != nil || control.Flush() != nil {
			x.end(this, false)
			return
		}
		if !x.pause(r, this, x.replica.eventGap) {
			return
		}
	}
	x.end(this, true)
}

func (x process) end(this *run, complete bool) {
	x.replica.mu.Lock()
	defer x.replica.mu.Unlock()
	this.ended, this.complete = time.Now(), complete
}

func (x process) count(running, waiting int) {
	x.replica.mu.Lock()
	defer x.replica.mu.Unlock()
	if x.replica.name != x.name {
		return
	}
	x.replica.running += running
	x.replica.waiting += waiting
}

func (x process) load() string {
	x.replica.mu.Lock()
	defer x.replica.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", x.replica.running, x.replica.waiting, x.replica.slots)
}
