package burdockprograms

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/config/burdockkey"
	"burdockbend.example/burdockbend/internal/standin/burdockfakeengine"
	"burdockbend.example/burdockbend/internal/standin/burdockfault"
)

// Names used in every test fleet.
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
	Step    time.Duration // between two tokens of an answer
	Prefill time.Duration
	Lag     time.Duration // of changes in the membership list
	// Links puts a Link between the entries and each agent.
	Links bool
	// ProfileExtra is TOML added to the profile, for example its stop settings.
	ProfileExtra string
}

// Standin is a stand-in process.
type Standin struct {
	*Process
	Address string
}

// Agent is an agent process with its upstream.
type Agent struct {
	*Process
	Name     string
	Service  string
	Peer     string
	Admin    string
	Upstream *Standin
	// Link is the link between entries and the agent; nil without Config.Links.
	Link     *Link
	settings string
}

// Address returns the address at which entries reach the agent.
func (a *Agent) Address() string {
	if a.Link != nil {
		return a.Link.Address
	}
	return a.Peer
}

// Entry is an entry process.
type Entry struct {
	*Process
	Name     string
	Callers  string
	Peer     string
	Admin    string
	settings string
}

// Fleet is a complete system of separate processes.
type Fleet struct {
	Config  Config
	Store   *Standin
	List    *Standin
	Agents  []*Agent
	Entries []*Entry
	Key     string // the customer's API key
	dir     string
	bin     string
}

// Start starts a fleet, applies its configuration and waits until all processes have it.
func Start(t testing.TB, cfg Config) *Fleet {
	t.Helper()
	f := Launch(t, cfg)
	f.Apply(t)
	f.WaitReady(t)
	return f
}

// Launch starts the processes of a fleet without applying a configuration.
func Launch(t testing.TB, cfg Config) *Fleet {
	t.Helper()
	f := &Fleet{Config: cfg, Key: burdockkey.New(), dir: t.TempDir(), bin: Build(t)}
	f.Store = f.standin(t, "store")
	f.List = f.standin(t, "list", "-lag", cfg.Lag.String())
	for i := range cfg.Entries {
		f.Entries = append(f.Entries, newEntry(t, i))
	}
	for i := range cfg.Models {
		f.addAgent(t, ModelService, "model", i, "-models", Model)
	}
	for i := range cfg.Plains {
		f.addAgent(t, PlainService, "plain", i)
	}
	f.startEntries(t)
	return f
}

// startEntries writes the settings of all entries and starts them. The entries' addresses
// must be set before, because the settings list all of them as peers.
func (f *Fleet) startEntries(t testing.TB) {
	t.Helper()
	for i, e := range f.Entries {
		e.settings = f.write(t, e.Name, f.common(i, e.Name, e.Peer, e.Admin)+fmt.Sprintf("listen = %q\n", e.Callers))
		f.StartEntry(t, e)
	}
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

// StartAgent starts or restarts an agent's process and waits until it is up.
func (f *Fleet) StartAgent(t testing.TB, a *Agent) {
	t.Helper()
	a.Process, _ = start(t, a.Name, f.program(agentProgram), false, "-settings", a.settings)
	waitUp(t, a.Name, a.Admin)
}

// newEntry returns an entry with free addresses, without starting it.
func newEntry(t testing.TB, i int) *Entry {
	t.Helper()
	return &Entry{
		Name:    fmt.Sprintf("entry-%d", i+1),
		Callers: FreeAddress(t),
		Peer:    FreeAddress(t),
		Admin:   FreeAddress(t),
	}
}

// StartEntry starts or restarts an entry's process and waits until it is up.
func (f *Fleet) StartEntry(t testing.TB, e *Entry) {
	t.Helper()
	e.Process, _ = start(t, e.Name, f.program(entryProgram), false, "-settings", e.settings)
	waitUp(t, e.Name, e.Admin)
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

// ProfileTOML returns the fleet's profile file. Different values of maxQueued make edits
// differ from each other.
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

// FleetTOML returns the fleet's membership file.
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

// Apply applies the profile and the membership with the operators' command-line tool.
func (f *Fleet) Apply(t testing.TB) {
	t.Helper()
	profiles := f.write(t, "profiles", f.ProfileTOML(defaultMaxQueued))
	members := f.write(t, "fleet", f.FleetTOML())
	f.Operate(t, "profile", "apply", "-store", f.Store.Address, profiles)
	f.Operate(t, "fleet", "apply", "-store", f.Store.Address, members)
}

// Remove removes an agent's upstream from the fleet and declares its VM gone. It does
// not stop the agent's process.
func (f *Fleet) Remove(t testing.TB, gone *Agent) {
	t.Helper()
	f.Agents = slices.DeleteFunc(f.Agents, func(a *Agent) bool { return a == gone })
	members := f.write(t, "fleet", f.FleetTOML())
	f.Operate(t, "fleet", "apply", "-store", f.Store.Address, "-gone", gone.Name, members)
}

// ApplyProfile applies a profile file and returns the command's output.
func (f *Fleet) ApplyProfile(t testing.TB, content string) string {
	t.Helper()
	return f.Operate(t, "profile", "apply", "-store", f.Store.Address, f.write(t, "edit", content))
}

// ApplyFleet applies a membership file and returns the command's output.
func (f *Fleet) ApplyFleet(t testing.TB, content string) string {
	t.Helper()
	return f.Operate(t, "fleet", "apply", "-store", f.Store.Address, f.write(t, "members", content))
}

// Operate runs the operators' command-line tool and returns its output. The test fails if
// the exit status is not 0.
func (f *Fleet) Operate(t testing.TB, args ...string) string {
	t.Helper()
	out, status := f.TryOperate(args...)
	if status != 0 {
		t.Fatalf("burdock %v: status %d\n%s", args, status, out)
	}
	return out
}

// TryOperate runs the operators' command-line tool and returns its output and exit
// status.
func (f *Fleet) TryOperate(args ...string) (string, int) {
	cmd := exec.Command(f.program(OperatorProgram), args...)
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

// WaitReady waits until every process is ready and all have the same configuration.
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

// Digest returns the configuration digest of the process with the given admin address. It
// reports false if the process is not ready.
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

// InFlight returns the number of requests that an engine is executing.
func (s *Standin) InFlight() int { return s.Runs().Running }

// Runs returns the request counts of a stand-in engine or plain service.
func (s *Standin) Runs() burdockfakeengine.Runs {
	var runs burdockfakeengine.Runs
	GetJSON("http://"+s.Address+"/runs", &runs)
	return runs
}

// SetFault sets the fault that a stand-in shows from now on.
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

// Counts returns the number of requests to a stand-in by "METHOD path".
func (s *Standin) Counts() map[string]int {
	counts := map[string]int{}
	GetJSON("http://"+s.Address+"/counts", &counts)
	return counts
}

const (
	getTimeout         = 5 * time.Second
	eventuallyTimeout  = 60 * time.Second
	eventuallyInterval = 50 * time.Millisecond
)

// Get returns the status and body of a GET request. The status is 0 if there was no
// complete response.
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

// GetJSON decodes the JSON response to a GET request into v. It reports whether the status
// was 200 and the body was valid.
func GetJSON(url string, v any) bool {
	status, body := Get(url)
	return status == http.StatusOK && json.Unmarshal([]byte(body), v) == nil
}

// Eventually waits until a condition is true, and fails the test after a timeout. The
// timeout is far longer than any machine needs, so that a slow machine does not fail the
// test.
func Eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(eventuallyTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %v: %s", eventuallyTimeout, what)
		}
		time.Sleep(eventuallyInterval)
	}
}
