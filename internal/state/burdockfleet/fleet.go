// Package burdockfleet turns the configuration's entries into what requests
// are served by: services, their profiles, upstreams, customers. Readers get
// an immutable snapshot without a lock.
package burdockfleet

import (
	"encoding/json"
	"maps"
	"strings"
	"sync/atomic"

	"burdockbend.example/burdockbend/internal/base/burdockfinding"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/config/burdockentity"
	"burdockbend.example/burdockbend/internal/config/burdockmember"
	"burdockbend.example/burdockbend/internal/config/burdockprofile"
	"burdockbend.example/burdockbend/internal/state/burdockconfig"
	"burdockbend.example/burdockbend/internal/state/burdockhome"
)

// Snapshot is the fleet at one digest of the configuration. It is never
// changed once it can be seen.
type Snapshot struct {
	Digest    burdockconfig.Digest
	Profiles  map[burdockid.Profile]burdockprofile.Profile
	Services  map[burdockid.Service]burdockmember.Service
	Upstreams map[burdockid.Upstream]burdockmember.Upstream
	Customers map[burdockid.Customer]burdockmember.Customer
	Entries   map[burdockid.VM]burdockmember.Entry
	// KeyOwners are the homes of idempotency keys, by service.
	KeyOwners map[burdockid.Service]burdockhome.Owners
	// ByModel finds the service behind a model's name.
	ByModel map[string]burdockid.Service
	// ByKeyHash finds the customer behind the hash of a key.
	ByKeyHash map[string]burdockid.Customer
	// Routes are those of all plain services, the longest prefix first.
	Routes []Route
	// Members are the upstreams of each service, by name.
	Members map[burdockid.Service][]burdockmember.Upstream
}

// Profile returns the profile that a service runs under. Until it is known,
// the defaults hold: work without a profile is better served than refused.
func (s *Snapshot) Profile(service burdockid.Service) burdockprofile.Profile {
	p, ok := s.Profiles[s.Services[service].Profile]
	if !ok {
		p.SetDefaults()
	}
	if len(p.Classes) == 0 {
		var c burdockprofile.Class
		c.SetDefaults()
		c.Name = defaultClass
		p.Classes = []burdockprofile.Class{c}
		p.DefaultClass = defaultClass
	}
	return p
}

const defaultClass = "default"

// Fleet follows a configuration view.
type Fleet struct {
	current  atomic.Pointer[Snapshot]
	findings atomic.Pointer[burdockfinding.List]
	broken   map[string]error // entries that can't be read; used by apply alone
}

// Follow returns a Fleet that follows view from now on. It must be called
// before the view's first merge.
func Follow(view *burdockconfig.View) *Fleet {
	f := &Fleet{broken: map[string]error{}}
	f.current.Store(&Snapshot{})
	f.findings.Store(&burdockfinding.List{})
	view.Subscribe(f.apply)
	return f
}

// Now returns the fleet as it is known now.
func (f *Fleet) Now() *Snapshot { return f.current.Load() }

// Findings returns the entries that could not be read. The rest is in force.
func (f *Fleet) Findings() []burdockfinding.Finding { return f.findings.Load().All() }

// apply is called by the view, one merge at a time.
func (f *Fleet) apply(changed []burdockconfig.Entry, digest burdockconfig.Digest) {
	next := f.Now().clone()
	next.Digest = digest
	for _, e := range changed {
		delete(f.broken, e.Key)
		if err := next.put(e); err != nil {
			f.broken[e.Key] = err
		}
	}
	next.index()
	f.report()
	f.current.Store(next)
}

func (f *Fleet) report() {
	var findings burdockfinding.List
	for key, err := range f.broken {
		findings.Add(burdockfinding.Finding{Key: key, What: err.Error()})
	}
	f.findings.Store(&findings)
}

func (s *Snapshot) clone() *Snapshot {
	return &Snapshot{
		Profiles:  clone(s.Profiles),
		Services:  clone(s.Services),
		Upstreams: clone(s.Upstreams),
		Customers: clone(s.Customers),
		Entries:   clone(s.Entries),
		KeyOwners: clone(s.KeyOwners),
	}
}

func clone[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}

// put takes in one entry. An entry that can't be read leaves what was there:
// a newer release may write what this one doesn't know.
func (s *Snapshot) put(e burdockconfig.Entry) error {
	kind, name, _ := strings.Cut(e.Key, "/")
	switch kind + "/" {
	case burdockentity.ProfilePrefix:
		return set(s.Profiles, burdockid.Profile(name), e)
	case burdockentity.ServicePrefix:
		return set(s.Services, burdockid.Service(name), e)
	case burdockentity.UpstreamPrefix:
		return set(s.Upstreams, burdockid.Upstream(name), e)
	case burdockentity.CustomerPrefix:
		return set(s.Customers, burdockid.Customer(name), e)
	case burdockentity.EntryPrefix:
		return set(s.Entries, burdockid.VM(name), e)
	case burdockhome.Prefix:
		return s.putHome(e)
	default:
		return nil // a kind for other readers
	}
}

// putHome takes in the home of one slot. The map of a service is shared with
// earlier snapshots, so it is copied.
func (s *Snapshot) putHome(e burdockconfig.Entry) error {
	service, slot, home, err := burdockhome.Parse(e)
	if err != nil {
		return err
	}
	homes := clone(s.KeyOwners[service])
	homes[slot] = home
	s.KeyOwners[service] = homes
	return nil
}

func set[K comparable, V any](m map[K]V, name K, e burdockconfig.Entry) error {
	if e.Deleted {
		delete(m, name)
		return nil
	}
	var v V
	if err := json.Unmarshal(e.Value, &v); err != nil {
		return err
	}
	m[name] = v
	return nil
}
