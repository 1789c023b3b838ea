package burdockcapacitylab

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/config/burdockkey"
	"burdockbend.example/burdockbend/internal/config/burdockmember"
	"burdockbend.example/burdockbend/internal/config/burdockprofile"
	"burdockbend.example/burdockbend/internal/external/burdockstore"
	"burdockbend.example/burdockbend/internal/proof/burdockprograms"
	"burdockbend.example/burdockbend/internal/state/burdockconfig"
)

func TestMain(m *testing.M) {
	status := m.Run()
	burdockprograms.CleanUp()
	os.Exit(status)
}

// counter forwards TCP connections to a target and counts their bytes.
type counter struct {
	target   string
	listener net.Listener
	bytes    atomic.Int64
}

func newCounter(t testing.TB, target string) *counter {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	c := &counter{target: target, listener: listener}
	go c.run()
	return c
}

func (c *counter) address() string { return c.listener.Addr().String() }

func (c *counter) run() {
	for {
		client, err := c.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", c.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		go (&counted{counter: c, from: client, to: server}).run()
		go (&counted{counter: c, from: server, to: client}).run()
	}
}

// counted is one direction of a connection.
type counted struct {
	counter *counter
	from    net.Conn
	to      net.Conn
}

// Write implements io.Writer.
func (c *counted) Write(b []byte) (int, error) {
	c.counter.bytes.Add(int64(len(b)))
	return c.to.Write(b)
}

func (c *counted) run() {
	_, _ = io.Copy(c, c.from)
	_ = c.to.Close()
	_ = c.from.Close()
}

// system is one entry and one agent with the configuration of a whole fleet. Traffic
// to each passes through a counter.
type system struct {
	*burdockprograms.Fleet
	toEntry *counter
	toAgent *counter
}

func startSystem(b *testing.B, size Size) *system {
	b.Helper()
	fleet := burdockprograms.Launch(b, burdockprograms.Config{Models: 1, Entries: 1, Slots: 16})
	s := &system{
		Fleet:   fleet,
		toEntry: newCounter(b, fleet.Entries[0].Peer),
		toAgent: newCounter(b, fleet.Agents[0].Peer),
	}
	s.configure(b, size)
	s.WaitReady(b)
	return s
}

// configure writes the configuration of a whole fleet to the store. The real agent
// replaces the first upstream, and the real entry is the only one.
func (s *system) configure(b *testing.B, size Size) {
	b.Helper()
	f := Fleet(size)
	f.Services[0].Models = []string{burdockprograms.Model}
	f.Upstreams[0].Name = "llm-pool-01"
	f.Upstreams[0].VM = "llm-pool-01"
	f.Upstreams[0].Agent = s.toAgent.address()
	f.Entries = []burdockmember.Entry{{VM: "entry-1", DataCentre: dataCentre(0), Peer: s.toEntry.address()}}
	f.Customers[0].KeyHash = burdockkey.Hash(s.Key)
	entries, err := Entries(f)
	if err != nil {
		b.Fatalf("Entries: %v", err)
	}
	var profile burdockprofile.Profile
	profile.SetDefaults()
	profile.Name = "bench"
	profiles, err := burdockprofile.Split([]burdockprofile.Profile{profile})
	if err != nil {
		b.Fatalf("Split: %v", err)
	}
	entries = append(entries, entry(profiles[0].Key, 1, profiles[0].Value))
	s.writeAll(b, entries)
}

const writerCount = 4

func (s *system) writeAll(b *testing.B, entries []burdockconfig.Entry) {
	b.Helper()
	var done sync.WaitGroup
	for i := range writerCount {
		done.Add(1)
		w := entryWriter{b: b, store: burdockstore.NewHTTP([]string{s.Store.Address}), entries: entries, first: i}
		go w.run(&done)
	}
	done.Wait()
}

// entryWriter writes every writerCount-th entry, beginning with first.
type entryWriter struct {
	b       *testing.B
	store   burdockstore.Store
	entries []burdockconfig.Entry
	first   int
}

func (w entryWriter) run(done *sync.WaitGroup) {
	defer done.Done()
	for i := w.first; i < len(w.entries); i += writerCount {
		value, err := burdockconfig.Encode(w.entries[i])
		if err == nil {
			_, err = w.store.CompareAndSwap(context.Background(), burdockconfig.StorePrefix+w.entries[i].Key, 0, value)
		}
		if err != nil {
			w.b.Errorf("write %s: %v", w.entries[i].Key, err)
			return
		}
	}
}

// metric returns the value of one metric of a process.
func metric(b *testing.B, admin, name string) float64 {
	b.Helper()
	_, body := burdockprograms.Get("http://" + admin + "/metrics")
	lines := bufio.NewScanner(strings.NewReader(body))
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			number, err := strconv.ParseFloat(value, 64)
			if err != nil {
				b.Fatalf("%s: %v", name, err)
			}
			return number
		}
	}
	b.Fatalf("no metric %s at %s", name, admin)
	return 0
}

const (
	settleTime = 10 * time.Second
	idleTime   = 30 * time.Second
)

// BenchmarkProcesses measures real processes with the configuration of a whole fleet:
// first idle, then serving requests, then while an agent restarts. It takes a minute for
// each size; run it with -benchtime 1x.
func BenchmarkProcesses(b *testing.B) {
	for _, size := range Sizes {
		b.Run(fmt.Sprint(size.Upstreams), func(b *testing.B) {
			for range b.N {
				s := startSystem(b, size)
				time.Sleep(settleTime)
				s.measureIdle(b)
				s.measureRequests(b)
				s.measureRestart(b)
			}
		})
	}
}

func (s *system) measureIdle(b *testing.B) {
	entry, agent := s.Entries[0].Admin, s.Agents[0].Admin
	cpuEntry, cpuAgent := metric(b, entry, "process_cpu_seconds_total"), metric(b, agent, "process_cpu_seconds_total")
	counts, bytes := s.Store.Counts(), s.toEntry.bytes.Load()
	time.Sleep(idleTime)
	b.ReportMetric(100*(metric(b, entry, "process_cpu_seconds_total")-cpuEntry)/idleTime.Seconds(), "entry-cpu-%")
	b.ReportMetric(100*(metric(b, agent, "process_cpu_seconds_total")-cpuAgent)/idleTime.Seconds(), "agent-cpu-%")
	b.ReportMetric(float64(s.toEntry.bytes.Load()-bytes)/idleTime.Seconds(), "agent-pull-B/s")
	b.ReportMetric(metric(b, entry, "process_resident_memory_bytes")/(1<<20), "entry-MiB")
	b.ReportMetric(metric(b, agent, "process_resident_memory_bytes")/(1<<20), "agent-MiB")
	b.ReportMetric(metric(b, entry, "process_resident_memory_anon_bytes")/(1<<20), "entry-anon-MiB")
	b.ReportMetric(metric(b, agent, "process_resident_memory_anon_bytes")/(1<<20), "agent-anon-MiB")
	for name, n := range s.Store.Counts() {
		b.Logf("store calls in %v idle: %s %d", idleTime, name, n-counts[name])
	}
}

const requests = 200

// measureRequests measures the bytes that a request adds between entry and agent beyond
// its own body and that of its answer.
func (s *system) measureRequests(b *testing.B) {
	call := burdockprograms.Chat("a deck", 10, false)
	before := s.toAgent.bytes.Load()
	answered, payload := 0, 0
	for range requests {
		answer := s.Send(context.Background(), s.Entries[0], call)
		if !answer.Whole() {
			continue
		}
		answered++
		payload += len(call.Body) + len(answer.Body)
	}
	if answered == 0 {
		b.Fatal("no request was served")
	}
	b.Logf("requests served by the one agent: %d of %d", answered, requests)
	b.ReportMetric(float64(s.toAgent.bytes.Load()-before-int64(payload))/float64(answered), "request-B")
}

// measureRestart measures what an agent without any configuration pulls when it starts.
func (s *system) measureRestart(b *testing.B) {
	agent := s.Agents[0]
	agent.Kill()
	before, counts := s.toEntry.bytes.Load(), s.Store.Counts()
	s.StartAgent(b, agent)
	s.WaitReady(b)
	b.ReportMetric(float64(s.toEntry.bytes.Load()-before), "start-pull-B")
	for name, n := range s.Store.Counts() {
		b.Logf("store calls of an agent's start: %s %d", name, n-counts[name])
	}
}
