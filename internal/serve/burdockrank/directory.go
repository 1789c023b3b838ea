package burdockrank

import (
	"context"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/config/burdockmember"
	"burdockbend.example/burdockbend/internal/config/burdockprofile"
	"burdockbend.example/burdockbend/internal/external/burdockstore"
	"burdockbend.example/burdockbend/internal/state/burdockfleet"
)

// LeaseStore is the part of the configuration store that a group's controller needs. The
// methods are those of burdockstore.Store.
type LeaseStore interface {
	Acquire(ctx context.Context, name, holder string, ttl burdockclock.Millis) (burdockstore.Lease, error)
	Fence(ctx context.Context, name string) (burdockid.Fence, error)
	Release(ctx context.Context, name, holder string) error
}

// Assignment is a rank in a group; the zero value means none. State that was built for
// one assignment is never reused for another, except the content of maps, whose versions
// are unique in their group.
type Assignment struct {
	Group string
	Rank  burdockid.Rank
	Ranks int
}

// Directory provides the assignment of this agent's upstream and the addresses of the
// group's agents.
type Directory interface {
	// Assignment returns the rank assigned to this agent's upstream.
	Assignment() Assignment
	// Agent returns the IP:port of the agent of a rank, or "".
	Agent(group string, rank burdockid.Rank) string
	// Refresh requests that the addresses of a group's agents are read again, because one
	// is missing or doesn't answer. It doesn't wait.
	Refresh(group string)
	// Reload reads the addresses of a group's agents and waits for the result. Without an
	// answer the addresses known before are kept.
	Reload(ctx context.Context, group string)
	// Experts returns how the upstream's service weighs an even load of ranks against the
	// cost of moving experts.
	Experts() burdockprofile.Experts
}

// fleetDirectory is the Directory of the membership that operators configure.
type fleetDirectory struct {
	fleet    *burdockfleet.Fleet
	upstream burdockid.Upstream
}

// NewFleetDirectory returns a Directory that reads the membership that operators
// configure.
func NewFleetDirectory(fleet *burdockfleet.Fleet, upstream burdockid.Upstream) Directory {
	return fleetDirectory{fleet, upstream}
}

// Assignment implements Directory.
func (d fleetDirectory) Assignment() Assignment {
	fleet := d.fleet.Now()
	u, ok := fleet.Upstreams[d.upstream]
	if !ok || u.Group == "" {
		return Assignment{}
	}
	return Assignment{Group: u.Group, Rank: u.Rank, Ranks: len(groupOf(fleet, u))}
}

// Agent implements Directory.
func (d fleetDirectory) Agent(_ string, rank burdockid.Rank) string {
	fleet := d.fleet.Now()
	for _, u := range groupOf(fleet, fleet.Upstreams[d.upstream]) {
		if u.Rank == rank {
			return u.Agent
		}
	}
	return ""
}

// Refresh implements Directory. The fleet follows the membership by itself.
func (d fleetDirectory) Refresh(string) {}

// Reload implements Directory.
func (d fleetDirectory) Reload(context.Context, string) {}

// Experts implements Directory.
func (d fleetDirectory) Experts() burdockprofile.Experts {
	fleet := d.fleet.Now()
	return fleet.Profile(fleet.Upstreams[d.upstream].Service).Experts
}

// groupOf returns the members of an upstream's group.
func groupOf(fleet *burdockfleet.Snapshot, member burdockmember.Upstream) []burdockmember.Upstream {
	var members []burdockmember.Upstream
	for _, u := range fleet.Members[member.Service] {
		if u.Group == member.Group {
			members = append(members, u)
		}
	}
	return members
}
