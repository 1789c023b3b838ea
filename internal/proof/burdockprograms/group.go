package burdockprograms

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/config/burdockkey"
	"burdockbend.example/burdockbend/internal/serve/burdockrank"
	"burdockbend.example/burdockbend/internal/standin/burdockfakeengine"
)

// GroupName is the name of the lock-stepped group in tests.
const GroupName = "decks-1"

// GroupConfig sets the size and behaviour of a lock-stepped group.
type GroupConfig struct {
	Ranks      int
	Step       time.Duration
	Load       time.Duration // time to load a map
	Fenced     bool          // engines check fencing numbers
	IgnoreHold map[int]bool  // ranks whose engines report a hold but run on
	// DriftEvery is the number of steps after which other experts become popular; 0
	// keeps popularity constant.
	DriftEvery int
	Layers     int
	// ProfileExtra is TOML added to the profile.
	ProfileExtra string
}

// Group is a lock-stepped group of separate processes: a store, a membership list, a
// Lockstep that synchronises the engines, an engine and an agent for each rank, and an
// entry. The group steps without requests from callers. The entry is there to pass on the
// configuration while the store is down.
type Group struct {
	*Fleet
	Group    GroupConfig
	Lockstep *Standin
}

// StartGroup starts a group and applies its profile and membership.
func StartGroup(t testing.TB, cfg GroupConfig) *Group {
	t.Helper()
	f := &Fleet{
		Config: Config{Slots: 4, ProfileExtra: cfg.ProfileExtra},
		Key:    burdockkey.New(), dir: t.TempDir(), bin: Build(t),
	}
	g := &Group{Fleet: f, Group: cfg}
	f.Store = f.standin(t, "store")
	f.List = f.standin(t, "list")
	g.Lockstep = f.standin(t, "lockstep", "-ranks", strconv.Itoa(cfg.Ranks))
	f.Entries = append(f.Entries, newEntry(t, 0))
	f.startEntries(t)
	for i := range cfg.Ranks {
		g.addRank(t, i)
	}
	profiles := f.write(t, "profiles", f.ProfileTOML(defaultMaxQueued))
	f.Operate(t, "profile", "apply", "-store", f.Store.Address, profiles)
	f.Operate(t, "fleet", "apply", "-store", f.Store.Address, f.write(t, "fleet", g.groupTOML()))
	return g
}

func (g *Group) addRank(t testing.TB, i int) {
	t.Helper()
	a := &Agent{
		Name:     fmt.Sprintf("%s-%02d", ModelService, i+1),
		Service:  ModelService,
		Peer:     FreeAddress(t),
		Admin:    FreeAddress(t),
		Upstream: g.startEngine(t, i, "127.0.0.1:0"),
	}
	a.settings = g.write(t, a.Name, g.common(i, a.Name, a.Peer, a.Admin)+fmt.Sprintf(`
upstream = %q
engineAddress = %q
kind = "model"
slots = %d
`, a.Name, a.Upstream.Address, g.Config.Slots))
	g.Agents = append(g.Agents, a)
	g.StartAgent(t, a)
}

func (g *Group) startEngine(t testing.TB, rank int, listen string) *Standin {
	t.Helper()
	args := []string{
		"-listen", listen, "-models", Model,
		"-lockstep", g.Lockstep.Address, "-rank", strconv.Itoa(rank),
		"-group-step", g.Group.Step.String(), "-load", g.Group.Load.String(),
		"-layers", strconv.Itoa(g.Group.Layers), "-drift-every", strconv.Itoa(g.Group.DriftEvery),
	}
	if g.Group.Fenced {
		args = append(args, "-fenced")
	}
	if g.Group.IgnoreHold[rank] {
		args = append(args, "-deaf")
	}
	return g.standin(t, "engine", args...)
}

// ReplaceEngine kills the engine of a rank and starts a new one, without a map, at the
// same address.
func (g *Group) ReplaceEngine(t testing.TB, rank int) {
	t.Helper()
	a := g.Agents[rank]
	a.Upstream.Kill()
	a.Upstream = g.startEngine(t, rank, a.Upstream.Address)
}

func (g *Group) groupTOML() string {
	var b strings.Builder
	fmt.Fprintf(&b, "site = %q\n", site)
	for _, dc := range dataCentres {
		fmt.Fprintf(&b, "[[dataCentre]]\nname = %q\n", dc)
	}
	fmt.Fprintf(&b, "[[service]]\nname = %q\nkind = \"model\"\nprofile = \"bench\"\nmodels = [%q]\nmaxPromptTokens = 8192\n", ModelService, Model)
	for i, a := range g.Agents {
		fmt.Fprintf(&b, "[[upstream]]\nname = %q\nservice = %q\nvm = %q\ndataCentre = %q\nagent = %q\nfenced = %v\ngroup = %q\nrank = %d\n",
			a.Name, a.Service, a.Name, dataCentres[i%len(dataCentres)], a.Address(), g.Group.Fenced, GroupName, i)
	}
	for i, e := range g.Entries {
		fmt.Fprintf(&b, "[[entry]]\nvm = %q\ndataCentre = %q\npeer = %q\n", e.Name, dataCentres[i%len(dataCentres)], e.Peer)
	}
	fmt.Fprintf(&b, "[[customer]]\nname = %q\nkeyHash = %q\n", Customer, burdockkey.Hash(g.Key))
	return b.String()
}

// Log returns the finished steps of each rank.
func (g *Group) Log() burdockfakeengine.LockstepLog {
	var log burdockfakeengine.LockstepLog
	GetJSON("http://"+g.Lockstep.Address+burdockfakeengine.LockstepLogPath, &log)
	return log
}

// State returns the group state in the state dump of a rank's agent. It reports false if
// there is none.
func (g *Group) State(rank int) (burdockrank.State, bool) {
	var dump struct {
		Group *burdockrank.State `json:"group"`
	}
	if !GetJSON("http://"+g.Agents[rank].Admin+"/state", &dump) || dump.Group == nil {
		return burdockrank.State{}, false
	}
	return *dump.Group, true
}

// Last returns the last step that all ranks have finished. It reports false if a rank has
// finished none.
func Last(log burdockfakeengine.LockstepLog) (burdockid.Step, bool) {
	var last burdockid.Step
	for i, runs := range log.Ranks {
		if len(runs) == 0 {
			return 0, false
		}
		if to := runs[len(runs)-1].To; i == 0 || to < last {
			last = to
		}
	}
	return last, len(log.Ranks) > 0
}
