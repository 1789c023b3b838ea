// Package burdocklistener tests that each listener of an entry and an agent rejects
// invalid input without leaking goroutines or file descriptors.
package burdocklistener

import (
	"context"
	"net/http"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/config/burdockentity"
	"burdockbend.example/burdockbend/internal/config/burdockkey"
	"burdockbend.example/burdockbend/internal/config/burdockmember"
	"burdockbend.example/burdockbend/internal/config/burdockprofile"
	"burdockbend.example/burdockbend/internal/config/burdocksettings"
	"burdockbend.example/burdockbend/internal/external/burdockstore"
	"burdockbend.example/burdockbend/internal/proof/burdockprograms"
	"burdockbend.example/burdockbend/internal/serve/burdockprocess"
	"burdockbend.example/burdockbend/internal/standin/burdockfakeengine"
	"burdockbend.example/burdockbend/internal/standin/burdockstandin"
	"burdockbend.example/burdockbend/internal/state/burdocksync"
	"go.uber.org/zap"
)

const (
	anyPort   = "127.0.0.1:0"
	modelName = "netlist-writer"
	upstream  = "llm-pool-01"
)

// fleet is one entry and one agent that run in the test process.
type fleet struct {
	engine *burdockstandin.Running
	agent  *burdockprocess.Agent
	entry  *burdockprocess.Entry
	key    string
}

// startFleet starts a fleet; change edits the common settings of entry and agent.
func startFleet(t *testing.T, change func(*burdocksettings.Common)) *fleet {
	t.Helper()
	f := &fleet{key: burdockkey.New()}
	store := startStandin(t, burdockstandin.Config{Kind: burdockstandin.Store})
	list := startStandin(t, burdockstandin.Config{Kind: burdockstandin.List})
	f.engine = startStandin(t, burdockstandin.Config{Kind: burdockstandin.Engine, Engine: burdockfakeengine.Config{Models: []string{modelName}}})
	common := func(c *burdocksettings.Common, vm string) {
		c.Site, c.DataCentre = "gt-gua", "gua-hall-a"
		c.PeerListen, c.AdminListen = anyPort, anyPort
		c.StoreAddresses, c.MembershipAddress = []string{store.Address()}, list.Address()
		c.PlainText = burdocksettings.PlainTextAccepted
		change(c)
	}
	var agent burdocksettings.Agent
	agent.SetDefaults()
	common(&agent.Common, upstream)
	agent.VM, agent.Upstream, agent.EngineAddress, agent.Kind = upstream, upstream, f.engine.Address(), burdockmember.KindModel
	var entry burdocksettings.Entry
	entry.SetDefaults()
	common(&entry.Common, "entry-1")
	entry.VM, entry.Listen = "entry-1", anyPort
	var err error
	if f.agent, err = burdockprocess.StartAgent(agent, zap.NewNop()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.agent.Stop)
	if f.entry, err = burdockprocess.StartEntry(entry, zap.NewNop()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.entry.Stop)
	f.configure(t, store.Address())
	return f
}

func startStandin(t *testing.T, cfg burdockstandin.Config) *burdockstandin.Running {
	t.Helper()
	cfg.Address = anyPort
	running, err := burdockstandin.Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(running.Close)
	return running
}

// configure writes the configuration of a fleet with one upstream to the store, and
// waits until entry and agent apply it and serve a request.
func (f *fleet) configure(t *testing.T, store string) {
	t.Helper()
	var profile burdockprofile.Profile
	profile.SetDefaults()
	profile.Name, profile.DefaultClass = "bench", "draft"
	var class burdockprofile.Class
	class.SetDefaults()
	class.Name = "draft"
	profile.Classes = []burdockprofile.Class{class}
	profiles, err := burdockprofile.Split([]burdockprofile.Profile{profile})
	if err != nil {
		t.Fatal(err)
	}
	members, err := burdockmember.Split(burdockmember.Fleet{
		Site:        "gt-gua",
		DataCentres: []burdockmember.DataCentre{{Name: "gua-hall-a"}},
		Services: []burdockmember.Service{{Name: "llm-pool", Kind: burdockmember.KindModel, Profile: "bench",
			Models: []string{modelName}, MaxPromptTokens: 200}},
		Upstreams: []burdockmember.Upstream{{Name: upstream, Service: "llm-pool", VM: upstream, DataCentre: "gua-hall-a", Agent: f.agent.PeerAddress()}},
		Customers: []burdockmember.Customer{{Name: "amplifier-lab", KeyHash: burdockkey.Hash(f.key)}},
	})
	if err != nil {
		t.Fatal(err)
	}
	writer := burdocksync.NewWriter(burdockstore.NewHTTP([]string{store}))
	for _, entity := range append(profiles, members...) {
		f.write(t, writer, entity)
	}
	burdockprograms.Eventually(t, "entry and agent apply the configuration", func() bool {
		return f.entry.Ready() == "" && f.agent.Ready() == "" && f.entry.Digest() == f.agent.Digest() && f.sendChat(t) == http.StatusOK
	})
}

func (f *fleet) write(t *testing.T, writer *burdocksync.Writer, entity burdockentity.Entity) {
	t.Helper()
	if _, err := writer.Write(context.Background(), burdocksync.Edit{Key: entity.Key, Value: entity.Value, AnyBase: true}); err != nil {
		t.Fatal(err)
	}
}

const chatBody = `{"model":"netlist-writer","max_tokens":2,"messages":[{"role":"user","content":"hello"}]}`

// sendChat sends a valid request and returns the response's status, or 0 if there
// is no response.
func (f *fleet) sendChat(t *testing.T) int {
	t.Helper()
	req := f.request(t, http.MethodPost, "/v1/chat/completions", chatBody)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

func (f *fleet) request(t *testing.T, method, path, body string) *http.Request {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+f.entry.Address()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+f.key)
	req.Header.Set("Content-Type", "application/json")
	return req
}

// runs returns how many requests the engine has started.
func (f *fleet) runs(t *testing.T) int {
	t.Helper()
	var runs burdockfakeengine.Runs
	if !burdockprograms.GetJSON("http://"+f.engine.Address()+"/runs", &runs) {
		t.Fatal("the engine does not report its counts")
	}
	n := 0
	for _, count := range runs.Started {
		n += count
	}
	return n
}

// resourceUsage counts what can leak in the process.
type resourceUsage struct{ goroutines, descriptors int }

func currentUsage(t *testing.T) resourceUsage {
	t.Helper()
	http.DefaultClient.CloseIdleConnections()
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return resourceUsage{goroutines: runtime.NumGoroutine(), descriptors: len(entries)}
}

// expectNoLeak waits until the process uses no more than before. Idle connections
// between the components open and close, so it compares the minimum of several samples
// before with that after.
func expectNoLeak(t *testing.T, before resourceUsage) {
	t.Helper()
	burdockprograms.Eventually(t, "goroutines and descriptors are no more than before", func() bool {
		now := minUsage(t)
		return now.goroutines <= before.goroutines && now.descriptors <= before.descriptors
	})
}

const usageSamples = 20

func minUsage(t *testing.T) resourceUsage {
	t.Helper()
	smallest := currentUsage(t)
	for range usageSamples {
		time.Sleep(10 * time.Millisecond)
		now := currentUsage(t)
		smallest.goroutines = min(smallest.goroutines, now.goroutines)
		smallest.descriptors = min(smallest.descriptors, now.descriptors)
	}
	return smallest
}

// smallLimits sets limits that a test can reach quickly.
func smallLimits(c *burdocksettings.Common) {
	c.Limits.MaxHeaderBytes = 4 << 10
	c.Limits.MaxBodyBytes = 4 << 10
	c.Limits.BodyTimeoutMillis = 300 * burdockclock.Millis(1)
	c.Limits.ReadHeaderTimeoutMillis = 300 * burdockclock.Millis(1)
}
