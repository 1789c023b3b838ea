package burdockhosted

import (
	"strings"
	"sync"
	"sync/atomic"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/serve/burdockrank"
	"burdockbend.example/burdockbend/internal/state/burdockkv"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
)

// ErrNoCoordinator means that no agent is known that divides the room of a service.
var ErrNoCoordinator = Errors.NewType("noCoordinator")

// roomCoordinator is the agent that divides the room of a service.
type roomCoordinator struct {
	name    burdockid.Group // of the service's first group
	group   string          // the name with its epoch
	fence   burdockid.Fence // of the group's lease
	address string          // IP:port of the agent
}

// roomDirectory finds the agent that divides the room of a service: the holder of the lease
// of the service's first group by name. It reads copies of records that an entry follows,
// so while the store is unavailable the last known holder stays.
type roomDirectory struct {
	site   *burdocksite.Site
	leases *burdockkv.Mirror // keys under prefixLease
	ranks  *burdockkv.Mirror // keys under prefixRank
	// changed is set when a mirror has changed since the maps below were built. Hundreds of
	// records change one by one when a fleet starts, so they are built on demand.
	changed atomic.Bool

	mu       sync.Mutex
	snapshot *burdocksite.Snapshot // that firstGroups is computed from
	groups   map[string]burdockid.Group
	agents   map[string]string // by engine address
	holders  map[burdockid.Group]leaseHolder
	// firstGroups caches the first group of each service; "" if it has none.
	firstGroups map[burdockid.Service]burdockid.Group
}

// leaseHolder is the holder of the lease of a group.
type leaseHolder struct {
	group  string // name with epoch
	fence  burdockid.Fence
	engine string // address of the holder's engine
}

// newRoomDirectory returns a directory that reads leases and ranks, which must not have
// received any keys yet.
func newRoomDirectory(site *burdocksite.Site, leases, ranks *burdockkv.Mirror) *roomDirectory {
	d := &roomDirectory{site: site, leases: leases, ranks: ranks}
	d.changed.Store(true)
	for _, m := range []*burdockkv.Mirror{leases, ranks} {
		m.Subscribe(func() { d.changed.Store(true) })
	}
	return d
}

// coordinator returns the agent that divides the room of a service.
func (d *roomDirectory) coordinator(service burdockid.Service) (roomCoordinator, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.update()
	name := d.firstGroup(service)
	if name == "" {
		return roomCoordinator{}, ErrNoCoordinator.New("no group of %s is known", service)
	}
	holder, ok := d.holders[name]
	if !ok {
		return roomCoordinator{}, ErrNoCoordinator.New("no agent holds the lease of group %s", name)
	}
	address := d.agents[holder.engine]
	if address == "" {
		return roomCoordinator{}, ErrNoCoordinator.New("the agent beside %s is not known", holder.engine)
	}
	return roomCoordinator{name: name, group: holder.group, fence: holder.fence, address: address}, nil
}

// update builds the maps if they are outdated. The lock must be held.
func (d *roomDirectory) update() {
	snapshot, changed := d.site.Now(), d.changed.Swap(false)
	if changed {
		ranks := d.ranks.Items()
		d.groups, d.agents, d.holders = readGroups(ranks), readAgents(ranks), readLeaseHolders(d.leases.Items())
	}
	if changed || snapshot != d.snapshot {
		d.snapshot, d.firstGroups = snapshot, map[burdockid.Service]burdockid.Group{}
	}
}

// firstGroup returns the first group of a service by name; "" if none is known. The lock
// must be held.
func (d *roomDirectory) firstGroup(service burdockid.Service) burdockid.Group {
	first, known := d.firstGroups[service]
	if known {
		return first
	}
	for _, u := range d.snapshot.Members(service) {
		if name := d.groups[u.Address]; name != "" && (first == "" || name < first) {
			first = name
		}
	}
	d.firstGroups[service] = first
	return first
}

// readAgents returns the addresses of the agents by that of their engine. The latest record
// of an engine counts.
func readAgents(items []burdockkv.Item) map[string]string {
	agents := make(map[string]string, len(items))
	written := make(map[string]burdockkv.Position, len(items))
	for _, item := range items {
		agent, engine, ok := strings.Cut(string(item.Value), " ")
		if !ok || item.Modified.Compare(written[engine]) < 0 {
			continue
		}
		agents[engine], written[engine] = agent, item.Modified
	}
	return agents
}

// prefixGroupLease is the prefix of the leases of groups.
var prefixGroupLease = prefixLease + burdockrank.LeaseName("")

// readLeaseHolders returns the holders of the groups' leases. A group that was formed again
// has another lease; while that of its former epoch has yet to expire, the later one counts.
func readLeaseHolders(items []burdockkv.Item) map[burdockid.Group]leaseHolder {
	holders := map[burdockid.Group]leaseHolder{}
	for _, item := range items {
		group, ok := strings.CutPrefix(item.Key, prefixGroupLease)
		engine, _, named := strings.Cut(string(item.Value), "/")
		if !ok || !named {
			continue
		}
		name, _, _ := strings.Cut(group, epochSeparator)
		fence := fenceAt(item.Created)
		if fence >= holders[burdockid.Group(name)].fence {
			holders[burdockid.Group(name)] = leaseHolder{group: group, fence: fence, engine: engine}
		}
	}
	return holders
}
