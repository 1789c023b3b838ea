// Package burdockfleet decodes the entries of the configuration into services, profiles,
// upstreams, customers and key owners, with lookup maps for serving requests. Readers
// get an immutable snapshot without a lock.
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
	"burdockbend.example/burdockbend/internal/state/burdockowner"
)

// Snapshot is the fleet according to one state of the configuration. It is immutable
// once published.
type Snapshot struct {
	Digest    burdockconfig.Digest
	Profiles  map[burdockid.Profile]burdockprofile.Profile
	Services  map[burdockid.Service]burdockmember.Service
	Upstreams map[burdockid.Upstream]burdockmember.Upstream
	Customers map[burdockid.Customer]burdockmember.Customer
	Entries   map[burdockid.VM]burdockmember.Entry
	// KeyOwners are the homes of idempotency keys, by service.
	KeyOwners map[burdockid.Service]burdockowner.Owners
	// ByModel maps the name of a model to its service.
	ByModel map[string]burdockid.Service
	// ByKeyHash maps the hash of an API key to its customer.
	ByKeyHash map[string]burdockid.Customer
	// Routes are the routes of all plain services, longest prefix first.
	Routes []Route
	// Members has the upstreams of each service, sorted by name.
	Members map[burdockid.Service][]burdockmember.Upstream
}

// Profile returns the profile of a service. If the profile is unknown, the defaults
// apply, because serving requests with defaults is better than refusing them.
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

// Fleet holds the latest snapshot of the fleet and updates it with each change of a
// configuration view.
type Fleet struct {
	current  atomic.Pointer[Snapshot]
	findings atomic.Pointer[burdockfinding.List]
	invalid  map[string]error // by key of the entry; used by apply only
}

// Follow returns a Fleet that follows view. It must be called before the view's first
// merge.
func Follow(view *burdockconfig.View) *Fleet {
	f := &Fleet{invalid: map[string]error{}}
	f.current.Store(&Snapshot{})
	f.findings.Store(&burdockfinding.List{})
	view.Subscribe(f.apply)
	return f
}

// Now returns the current snapshot.
func (f *Fleet) Now() *Snapshot { return f.current.Load() }

// Findings returns a finding for each entry that can't be decoded. All other entries are
// in force.
func (f *Fleet) Findings() []burdockfinding.Finding { return f.findings.Load().All() }

// apply publishes a new snapshot. The view calls it after each merge, one call at a time.
func (f *Fleet) apply(changed []burdockconfig.Entry, digest burdockconfig.Digest) {
	next := f.Now().clone()
	next.Digest = digest
	for _, e := range changed {
		delete(f.invalid, e.Key)
		if err := next.put(e); err != nil {
			f.invalid[e.Key] = err
		}
	}
	next.index()
	f.updateFindings()
	f.current.Store(next)
}

func (f *Fleet) updateFindings() {
	var findings burdockfinding.List
	for key, err := range f.invalid {
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

// put applies one entry. If the entry can't be decoded, for example because a newer
// release wrote it, the previous value stays.
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
	case burdockowner.Prefix:
		return s.putKeyOwner(e)
	default:
		return nil // not used by the fleet
	}
}

// putKeyOwner applies the owner of one slot. The map of the service is shared with
// earlier snapshots, so it is copied.
func (s *Snapshot) putKeyOwner(e burdockconfig.Entry) error {
	service, slot, owner, err := burdockowner.Parse(e)
	if err != nil {
		return err
	}
	owners := clone(s.KeyOwners[service])
	owners[slot] = owner
	s.KeyOwners[service] = owners
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
