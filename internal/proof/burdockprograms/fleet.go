package burdockprograms

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/config/burdockkey"
	"burdockbend.example/burdockbend/internal/standin/burdockfakeengine"
	"burdockbend.example/burdockbend/internal/standin/burdockfault"
)

// Names that every test fleet uses.
const (
	ModelService = "llm-pool"
	PlainService = "bench-api"
	Model        = "netlist-writer"
	Customer     = "amplifier-lab"
	site         = "gt-gua"
)

var dataCentres = []string{"gua-hall-a", "gua-hall-b", "gua-hall-c"}

// Config sets the size and behaviour of a test fleet.
type Config struct {
	Models  int // replicas of the model service
	Plains  int // replicas of the plain service
	Entries int
	Slots   int
	Step    time.Duration // between two tokens
	Prefill time.Duration
	Lag     time.Duration // of the membership list
	// Links puts a link between the entries and each agent.
	Links bool
	// ProfileExtra is added to the profile's TOML, such as its stop behaviour.
	ProfileExtra string
}

// Standin is one stand-in process.
type Standin struct {
	*Process
	Address string
}

// Agent is one agent process and the upstream beside it.
type Agent struct {
	*Process
	Name     string
	Service  string
	Peer     string
	Admin    string
	Upstream *Standin
	// Link is what entries reach the agent through; nil without Config.Links.
	Link     *Link
	settings string
}

// Address returns where entries reach the agent.
func (a *Agent) Address() string {
	if a.Link != nil {
		return a.Link.Address
	}
	return a.Peer
}

// Entry is one entry process.
type Entry struct {
	*Process
	Name     string
	Callers  string
	Peer     string
	Admin    string
	settings string
}

// Fleet is a whole system of separate processes.
type Fleet struct {
	Config  Config
	Store   *Standin
	List    *Standin
	Agents  []*Agent
	Entries []*Entry
	Key     string // the customer's
	dir     string
	bin     string
}

// Start starts a fleet and waits until all of it holds its configuration.
func Start(t testing.TB, cfg Config) *Fleet {
	t.Helper()
	f := Launch(t, cfg)
	f.Apply(t)
	f.WaitReady(t)
	return f
}

// Launch starts the processes without any configuration.
func Launch(t testing.TB, cfg Config) *Fleet {
	t.Helper()
	f := &Fleet{Config: cfg, Key: burdockkey.New(), dir: t.TempDir(), bin: Build(t)}
	f.Store = f.standin(t, "store")
	f.List = f.standin(t, "list", "-lag", cfg.Lag.String())
	for i := range cfg.Models {
		f.addAgent(t, ModelService, "model", i, "-models", Model)
	}
	for i := range cfg.Plains {
		f.addAgent(t, PlainService, "plain", i)
	}
	for i := range cfg.Entries {
		f.addEntry(t, i)
	}
	return f
}

func (f *Fleet) program(name string) string { return filepath.Join(f.bin, name) }

func (f *Fleet) standin(t testing.TB, kind string, args ...string) *Standin {
	t.Helper()
	args = append([]string{"-kind", kind}, args...)
	p, address := start(t, kind, f.program(standinProgram), true, args...)
	return &Standin{Process: p, Address: address}
}

func (f *Fleet) addAgent(t testing.TB, service, kind string, i int, args ...string) {
	t.Helper()
	engineKind := map[string]string{"model": "engine", "plain": "plain"}[kind]
	args = append(args, "-step", f.Config.Step.String(), "-prefill", f.Config.Prefill.String())
	a := &Agent{
		Name:     fmt.Sprintf("%s-%02d", service, i+1),
		Service:  service,
		Peer:     FreeAddress(t),
		Admin:    FreeAddress(t),
		Upstream: f.standin(t, engineKind, args...),
	}
	a.settings = f.write(t, a.Name, f.common(i, a.Name, a.Peer, a.Admin)+fmt.Sprintf(`
upstream = %q
engineAddress = %q
kind = %q
slots = %d
`, a.Name, a.Upstream.Address, kind, f.Config.Slots))
	if f.Config.Links {
		a.Link = f.link(t, a.Peer)
	}
	f.Agents = append(f.Agents, a)
	f.StartAgent(t, a)
}

// StartAgent starts an agent's process, at first or again.
func (f *Fleet) StartAgent(t testing.TB, a *Agent) {
	t.Helper()
	a.Process, _ = start(t, a.Name, f.program(agentProgram), false, "-settings", a.settings)
}

func (f *Fleet) addEntry(t testing.TB, i int) {
	t.Helper()
	e := &Entry{
		Name:    fmt.Sprintf("entry-%d", i+1),
		Callers: FreeAddress(t),
		Peer:    FreeAddress(t),
		Admin:   FreeAddress(t),
	}
	e.settings = f.write(t, e.Name, f.common(i, e.Name, e.Peer, e.Admin)+fmt.Sprintf("listen = %q\n", e.Callers))
	f.Entries = append(f.Entries, e)
	f.StartEntry(t, e)
}

// StartEntry starts an entry's process, at first or again.
func (f *Fleet) StartEntry(t testing.TB, e *Entry) {
	t.Helper()
	e.Process, _ = start(t, e.Name, f.program(entryProgram), false, "-settings", e.settings)
}

func (f *Fleet) common(i int, vm, peer, admin string) string {
	peers := make([]string, len(f.Entries))
	for i, e := range f.Entries {
		peers[i] = fmt.Sprintf("%q", e.Peer)
	}
	return fmt.Sprintf(`site = %q
dataCentre = %q
vm = %q
peerListen = %q
adminListen = %q
storeAddresses = [%q]
peers = [%s]
membershipAddress = %q
plainText = "accepted on this network"
`, site, dataCentres[i%len(dataCentres)], vm, peer, admin, f.Store.Address, strings.Join(peers, ", "), f.List.Address)
}

func (f *Fleet) write(t testing.TB, name, content string) string {
	t.Helper()
	path := filepath.Join(f.dir, name+".toml")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatalf("write %s: %v", path, err)
	}
	return path
}

// ProfileTOML returns the profile file of the fleet. The comment makes each
// edit differ.
func (f *Fleet) ProfileTOML(maxQueued int) string {
	return fmt.Sprintf(`[[profile]]
name = "bench"
defaultClass = "draft"
%s
[[profile.class]]
name = "urgent"
maxWaitMillis = 10000
[[profile.class]]
name = "draft"
maxWaitMillis = 60000
[profile.queue]
maxQueued = %d
`, f.Config.ProfileExtra, maxQueued)
}

// FleetTOML returns the membership file of the fleet.
func (f *Fleet) FleetTOML() string {
	var b strings.Builder
	fmt.Fprintf(&b, "site = %q\n", site)
	for _, dc := range dataCentres {
		fmt.Fprintf(&b, "[[dataCentre]]\nname = %q\n", dc)
	}
	fmt.Fprintf(&b, "[[service]]\nname = %q\nkind = \"model\"\nprofile = \"bench\"\nmodels = [%q]\nmaxPromptTokens = 8192\n", ModelService, Model)
	if f.Config.Plains > 0 {
		fmt.Fprintf(&b, "[[service]]\nname = %q\nkind = \"plain\"\nprofile = \"bench\"\n", PlainService)
		b.WriteString("[[service.route]]\npathPrefix = \"/licence\"\nidempotent = true\nclass = \"urgent\"\n")
		b.WriteString("[[service.route]]\npathPrefix = \"/model-cards\"\nidempotent = false\n")
	}
	for i, a := range f.Agents {
		fmt.Fprintf(&b, "[[upstream]]\nname = %q\nservice = %q\nvm = %q\ndataCentre = %q\nagent = %q\n",
			a.Name, a.Service, a.Name, dataCentres[i%len(dataCentres)], a.Address())
	}
	for i, e := range f.Entries {
		fmt.Fprintf(&b, "[[entry]]\nvm = %q\ndataCentre = %q\npeer = %q\n", e.Name, dataCentres[i%len(dataCentres)], e.Peer)
	}
	fmt.Fprintf(&b, "[[customer]]\nname = %q\nkeyHash = %q\n", Customer, burdockkey.Hash(f.Key))
	return b.String()
}

const defaultMaxQueued = 256

// Apply puts profile and membership in force by the operators' command line.
func (f *Fleet) Apply(t testing.TB) {
	t.Helper()
	profiles := f.write(t, "profiles", f.ProfileTOML(defaultMaxQueued))
	members := f.write(t, "fleet", f.FleetTOML())
	f.Operate(t, "profile", "apply", "-store", f.Store.Address, profiles)
	f.Operate(t, "fleet", "apply", "-store", f.Store.Address, members)
}

// ApplyProfile puts a profile file in force.
func (f *Fleet) ApplyProfile(t testing.TB, content string) string {
	t.Helper()
	return f.Operate(t, "profile", "apply", "-store", f.Store.Address, f.write(t, "edit", content))
}

// Operate runs one command of the operators, which must succeed.
func (f *Fleet) Operate(t testing.TB, args ...string) string {
	t.Helper()
	out, status := f.TryOperate(args...)
	if status != 0 {
		t.Fatalf("burdock %v: status %d\n%s", args, status, out)
	}
	return out
}

// TryOperate runs one command of the operators, and returns its exit status.
func (f *Fleet) TryOperate(args ...string) (string, int) {
	cmd := exec.Command(f.program(OperatorProgram), args...)
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

// Ports below those that Linux gives to outgoing connections by default. One
// from among those may be taken by a connection of another process before the
// process that it was meant for listens.
const (
	firstPort = 20000
	portCount = 12000
)

// given holds the addresses that FreeAddress has returned.
var given sync.Map

// FreeAddress returns an address on loopback that nobody listens on, and that
// it has not returned before.
func FreeAddress(t testing.TB) string {
	t.Helper()
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		if _, taken := given.LoadOrStore(address, true); !taken {
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

// WaitReady waits until every process is ready and all hold the same
// configuration.
func (f *Fleet) WaitReady(t testing.TB) {
	t.Helper()
	Eventually(t, "every process is ready with the same configuration", func() bool {
		digests := map[string]bool{}
		for _, admin := range f.admins() {
			digest, ok := Digest(admin)
			if !ok {
				return false
			}
			digests[digest] = true
		}
		return len(digests) == 1
	})
}

func (f *Fleet) admins() []string {
	var admins []string
	for _, e := range f.Entries {
		admins = append(admins, e.Admin)
	}
	for _, a := range f.Agents {
		admins = append(admins, a.Admin)
	}
	return admins
}

// Digest returns the digest of the configuration that a ready process holds.
func Digest(admin string) (string, bool) {
	if status, _ := Get("http://" + admin + "/readyz"); status != http.StatusOK {
		return "", false
	}
	var dump struct {
		Config struct {
			Digest json.Number `json:"digest"`
		} `json:"config"`
	}
	if !GetJSON("http://"+admin+"/state", &dump) {
		return "", false
	}
	return dump.Config.Digest.String(), true
}

// InFlight returns how many requests run on an engine.
func (s *Standin) InFlight() int { return s.Runs().Running }

// Runs returns the counts of a stand-in engine or plain service.
func (s *Standin) Runs() burdockfakeengine.Runs {
	var runs burdockfakeengine.Runs
	GetJSON("http://"+s.Address+"/runs", &runs)
	return runs
}

// SetFault tells a stand-in how to fail from now on.
func (s *Standin) SetFault(t testing.TB, setting burdockfault.Setting) {
	t.Helper()
	body, err := json.Marshal(setting)
	if err != nil {
		t.Fatalf("encode fault: %v", err)
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+s.Address+"/fault", bytes.NewReader(body))
	if err != nil {
		t.Fatalf("build request: %v", err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatalf("set fault of %s: %v", s.Name, err)
	}
	_ = res.Body.Close()
}

// Counts returns how often a stand-in was asked for what.
func (s *Standin) Counts() map[string]int {
	counts := map[string]int{}
	GetJSON("http://"+s.Address+"/counts", &counts)
	return counts
}

const (
	getTimeout      = 5 * time.Second
	eventuallyMost  = 60 * time.Second
	eventuallyPause = 50 * time.Millisecond
)

// Get returns the status and body of a GET; status 0 when there was no answer.
func Get(url string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), getTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, ""
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, ""
	}
	return res.StatusCode, string(body)
}

// GetJSON decodes the answer to a GET, and reports whether there was one.
func GetJSON(url string, v any) bool {
	status, body := Get(url)
	return status == http.StatusOK && json.Unmarshal([]byte(body), v) == nil
}

// Eventually waits for a condition. Its limit is far beyond what any machine
// needs, so that it fails only when the condition never comes.
func Eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(eventuallyMost)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("did not come about within %v: %s", eventuallyMost, what)
		}
		time.Sleep(eventuallyPause)
	}
}
