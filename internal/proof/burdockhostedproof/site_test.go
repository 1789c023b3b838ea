// Package burdockhostedproof runs the entries of the users' platform as separate processes,
// against stand-ins of the platform's store and replicas.
package burdockhostedproof

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/proof/burdockprograms"
	"burdockbend.example/burdockbend/platform/burdockfakeplatform"
)

func TestMain(m *testing.M) {
	status := m.Run()
	burdockprograms.CleanUp()
	os.Exit(status)
}

const (
	settingsVariable = "BURDOCKBEND_BOOT"
	service          = "portal"
	apiKey           = "key-of-acme"
	host             = "portal.example"
	workTime         = 5 * time.Millisecond
)

// site is some entries, which are separate processes, and what the platform provides.
type site struct {
	store    *burdockfakeplatform.Store
	storeAt  string
	replicas []*burdockfakeplatform.Replica
	entries  []*entry
	version  int
	routes   []route
}

// entry is one entry process with its addresses.
type entry struct {
	*burdockprograms.Process
	name     string
	callers  string
	ready    string
	settings string
}

type route struct {
	Name      string `json:"name"`
	Hostname  string `json:"hostname"`
	Prefix    string `json:"prefix"`
	Type      string `json:"route_type"`
	Timeout   int    `json:"timeout_ms"`
	Objective int    `json:"target_latency_ms"`
	Service   string `json:"service"`
	Attempts  int    `json:"attempts"`
}

type config struct {
	Version  int        `json:"version"`
	Routes   []route    `json:"routes"`
	Services []struct{} `json:"services"`
	Tenants  []tenant   `json:"tenants"`
}

type tenant struct {
	Name string   `json:"name"`
	Keys []string `json:"api_keys"`
}

type member struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
}

// startSite starts a site and waits until all entries are ready. wrap, if not nil, is put
// in front of each replica.
func startSite(t *testing.T, entries, replicas int, wrap func(http.Handler) http.Handler) *site {
	t.Helper()
	s := &site{store: burdockfakeplatform.NewStore(), routes: []route{
		{Name: "check", Hostname: host, Prefix: "/my66/", Type: "idempotent", Timeout: 800, Objective: 100, Service: service, Attempts: 2},
		{Name: "verify", Hostname: host, Prefix: "/verify/", Type: "non_idempotent", Timeout: 800, Objective: 100, Service: service, Attempts: 1},
	}}
	s.storeAt = serve(t, s.store)
	for i := range replicas {
		s.addReplica(t, i, wrap)
	}
	s.configure()
	dir := t.TempDir()
	for i := range entries {
		s.addEntry(t, dir, i)
	}
	for _, e := range s.entries {
		e.waitReady(t)
	}
	return s
}

// serve starts a server and returns its address.
func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	web := httptest.NewServer(h)
	t.Cleanup(web.Close)
	return strings.TrimPrefix(web.URL, "http://")
}

func (s *site) addReplica(t *testing.T, i int, wrap func(http.Handler) http.Handler) {
	t.Helper()
	id := fmt.Sprint("replica-", i)
	replica := burdockfakeplatform.NewReplica(id, workTime, 0.14, uint64(i))
	var h http.Handler = replica
	if wrap != nil {
		h = wrap(replica)
	}
	s.replicas = append(s.replicas, replica)
	s.store.Put("servers/"+id, member{Service: service, Address: serve(t, h), Zone: "hall-a", Slots: 16, State: "ready"})
}

// configure writes the next version of the configuration.
func (s *site) configure() {
	s.version++
	s.store.Put("op/config", config{Version: s.version, Routes: s.routes, Services: []struct{}{}, Tenants: []tenant{{Name: "acme", Keys: []string{apiKey}}}})
}

func (s *site) addEntry(t *testing.T, dir string, i int) {
	t.Helper()
	e := &entry{name: fmt.Sprint("entry-", i), callers: burdockprograms.FreeAddress(t), ready: burdockprograms.FreeAddress(t)}
	_, admin, err := net.SplitHostPort(burdockprograms.FreeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	e.settings = filepath.Join(dir, e.name+".toml")
	text := fmt.Sprintf("vm = %q\ndataCentre = \"hall-a\"\nip = \"127.0.0.1\"\ncallerListen = %q\nreadyListen = %q\npeerPort = 1\nadminPort = %s\nstoreAddress = %q\n",
		e.name, e.callers, e.ready, admin, s.storeAt)
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s.entries = append(s.entries, e)
	e.start(t)
}

// start starts the entry's process, also in place of one that has ended.
func (e *entry) start(t *testing.T) {
	t.Helper()
	e.Process = burdockprograms.StartHosted(t, e.name, settingsVariable, e.settings)
}

func (e *entry) isReady() bool {
	status, _ := burdockprograms.Get("http://" + e.ready + "/ready")
	return status == http.StatusOK
}

func (e *entry) waitReady(t *testing.T) {
	t.Helper()
	burdockprograms.Eventually(t, e.name+" is ready", e.isReady)
}

// get sends a GET request to the entry and returns the status of the response.
func (e *entry) get(t *testing.T, path string) int {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+e.callers+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = host
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Burdockbend-Attempt-Id", "get-"+e.name)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	return res.StatusCode
}
